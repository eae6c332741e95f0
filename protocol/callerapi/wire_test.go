package callerapi_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
)

// A renamed field or value changes the caller API: requests would be refused, and
// clients would miss fields of responses and problems.
func TestBytesOfCallerMessages(t *testing.T) {
	rows := []struct {
		name  string
		value any
		want  string
	}{
		{"request", callerapi.Request{
			Input: "in", MaxTokens: 1, Prefix: []callerapi.Part{{ID: "a", Tokens: 2}, {ID: "b", Tokens: 3}},
		}, `{"input":"in","max_tokens":1,"prefix":[{"id":"a","tokens":2},{"id":"b","tokens":3}]}`},
		{"response", callerapi.Response{RequestID: "r", Pipeline: "p", SchemaVersion: 1, Output: "out", Tokens: 2}, `{"request_id":"r","pipeline":"p","schema_version":1,"output":"out","tokens":2}`},
		{"token event", callerapi.TokenEvent{Token: "t"}, `{"token":"t"}`},
		{"problem", callerapi.Problem{
			Type: "type", Title: "title", Status: 1, Detail: "detail", RequestID: "r", Outcome: callerapi.OutcomeRan,
			Step: "step", Peer: "peer", Field: "field", RetryAfterMS: 2,
		}, `{"type":"type","title":"title","status":1,"detail":"detail","request_id":"r","outcome":"ran","step":"step","peer":"peer","field":"field","retry_after_ms":2}`},
		{"request status", callerapi.RequestStatus{
			RequestID: "r", Pipeline: "p", SchemaVersion: 1, Account: "a", Tier: "t", State: "state",
			Outcome: callerapi.OutcomeNotRun, DeadlineMS: 2, ElapsedMS: 3,
			Stages: []callerapi.StageStatus{{Stage: "s", Attempts: []callerapi.AttemptStatus{{
				AttemptID: "x", Target: "target", Result: "result", ElapsedMS: 4, WorkMS: 5, Tokens: 6, PrefillTokens: 7, Error: "error",
			}}}},
		}, `{"request_id":"r","pipeline":"p","schema_version":1,"account":"a","tier":"t","state":"state","outcome":"not_run","deadline_ms":2,"elapsed_ms":3,"stages":[{"stage":"s","attempts":[{"attempt_id":"x","target":"target","result":"result","elapsed_ms":4,"work_ms":5,"tokens":6,"prefill_tokens":7,"error":"error"}]}]}`},
		{"empty problem", callerapi.Problem{}, `{"type":"","title":"","status":0,"outcome":""}`},
		{"empty status", callerapi.RequestStatus{}, `{"request_id":"","pipeline":"","schema_version":0,"account":"","tier":"","state":"","deadline_ms":0,"elapsed_ms":0,"stages":null}`},
		{"empty attempt", callerapi.AttemptStatus{}, `{"attempt_id":"","target":"","result":"","elapsed_ms":0,"work_ms":0}`},
		{"empty request", callerapi.Request{}, `{"input":""}`},
		{"empty response", callerapi.Response{}, `{"request_id":"","pipeline":"","schema_version":0,"output":""}`},
		{"outcomes", []callerapi.Outcome{callerapi.OutcomeNotRun, callerapi.OutcomeRan, callerapi.OutcomeUnknown}, `["not_run","ran","unknown"]`},
		{"events", []string{callerapi.EventToken, callerapi.EventDone, callerapi.EventError}, `["token","done","error"]`},
		{"media types", []string{callerapi.MediaJSON, callerapi.MediaStream, callerapi.MediaProblem}, `["application/json","text/event-stream","application/problem+json"]`},
		{"headers", []string{
			callerapi.HeaderIdempotencyKey, callerapi.HeaderSchemaVersion, callerapi.HeaderRequestID, callerapi.HeaderRetryAfter,
		}, `["Idempotency-Key","Ivyhollow-Schema-Version","Request-Id","Retry-After"]`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			got, err := json.Marshal(row.value)
			require.NoError(t, err)
			require.Equal(t, row.want, string(got))
		})
	}
}
