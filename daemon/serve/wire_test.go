package serve

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/outcome"
	"github.com/ivyhollow/ivyhollow/daemon/execute"
	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/state/requests"
)

// filledProblem returns a problem with every field set.
func filledProblem() *callerapi.Problem {
	return &callerapi.Problem{
		Type: "type", Title: "title", Status: 400, Detail: "detail", RequestID: "r", Outcome: callerapi.OutcomeUnknown,
		Step: "step", Peer: "peer", Field: "field", RetryAfterMS: 1,
	}
}

// filledStatus returns a request's status with every field set.
func filledStatus() *requests.Status {
	return &requests.Status{
		Info: requests.Info{
			ID: "r", Pipeline: "p", SchemaVersion: 1, Account: "a", Tier: "t", Stages: []string{"s", "unused"},
			Deadline: 2 * time.Millisecond, StartedAt: time.Unix(3, 0),
		},
		State: requests.StateRunning, Outcome: requests.OutcomeRan, Elapsed: 4 * time.Millisecond,
		Attempts: []requests.Attempt{{
			Stage: 0, ID: "x", Target: "target", Result: requests.ResultOK, StartOffset: 5 * time.Millisecond,
			Elapsed: 6 * time.Millisecond, Work: 7 * time.Millisecond, Tokens: 8, PrefillTokens: 9, Error: "error",
		}},
		Unrecorded: 10,
	}
}

// A renamed field or value changes what callers and other instances read. A caller that
// asks for the response to its request would find none and send the request again,
// which would then run a second time.
func TestBytesOfServedAnswers(t *testing.T) {
	marshalled := func(v any) (string, error) {
		text, err := json.Marshal(v)
		return string(text), err
	}
	rows := []struct {
		name string
		send func() (string, error)
		want string
	}{
		{"answer", func() (string, error) {
			a := &responder{id: "r", request: &callerRequest{pipeline: &catalog.Pipeline{
				Key: catalog.PipelineKey{Name: "p", SchemaVersion: 1},
			}}}
			return string(a.responseBody(execute.Result{Output: "out", Tokens: 2})), nil
		}, `{"request_id":"r","pipeline":"p","schema_version":1,"output":"out","tokens":2}`},
		{"token", func() (string, error) {
			text, err := appendToken(nil, "plain")
			return string(text), err
		}, `{"token":"plain"}`},
		{"quoted token", func() (string, error) {
			text, err := appendToken(nil, "\"<\n")
			return string(text), err
		}, `{"token":"\"\u003c\n"}`},
		{"problem", func() (string, error) {
			w := httptest.NewRecorder()
			writeProblem(w, filledProblem())
			return w.Body.String(), nil
		}, "{\"type\":\"type\",\"title\":\"title\",\"status\":400,\"detail\":\"detail\",\"request_id\":\"r\",\"outcome\":\"unknown\",\"step\":\"step\",\"peer\":\"peer\",\"field\":\"field\",\"retry_after_ms\":1}\n"},
		{"status", func() (string, error) {
			w := httptest.NewRecorder()
			writeJoinResult(w, JoinResult{Request: statusView(filledStatus())})
			return w.Body.String(), nil
		}, "{\"request_id\":\"r\",\"pipeline\":\"p\",\"schema_version\":1,\"account\":\"a\",\"tier\":\"t\",\"state\":\"running\",\"outcome\":\"ran\",\"deadline_ms\":2,\"elapsed_ms\":4,\"stages\":[{\"stage\":\"s\",\"attempts\":[{\"attempt_id\":\"x\",\"target\":\"target\",\"result\":\"ok\",\"elapsed_ms\":6,\"work_ms\":7,\"tokens\":8,\"prefill_tokens\":9,\"error\":\"error\"}]},{\"stage\":\"unused\",\"attempts\":[]}]}\n"},
		{"joined", func() (string, error) {
			return marshalled(JoinResult{Request: statusView(filledStatus()), HTTPStatus: 11, ContentType: "media", Body: []byte("body")})
		}, `{"state":{"request_id":"r","pipeline":"p","schema_version":1,"account":"a","tier":"t","state":"running","outcome":"ran","deadline_ms":2,"elapsed_ms":4,"stages":[{"stage":"s","attempts":[{"attempt_id":"x","target":"target","result":"ok","elapsed_ms":6,"work_ms":7,"tokens":8,"prefill_tokens":9,"error":"error"}]},{"stage":"unused","attempts":[]}]},"status":11,"media":"media","body":"Ym9keQ=="}`},
		{"joined without an answer", func() (string, error) { return marshalled(JoinResult{}) }, `{"state":null}`},
		{"not kept", func() (string, error) {
			w := httptest.NewRecorder()
			writeJoinResult(w, JoinResult{Request: &callerapi.RequestStatus{RequestID: "r", State: "failed", Outcome: callerapi.OutcomeRan}})
			return w.Body.String(), nil
		}, "{\"type\":\"answer-not-kept\",\"title\":\"Gone\",\"status\":410,\"detail\":\"the request is over; nobody joined it while it ran, or its answer was too large to keep\",\"request_id\":\"r\",\"outcome\":\"ran\"}\n"},
		{"field refusal", func() (string, error) { return marshalled(fieldRefusal("field", "detail")) }, `{"type":"bad-request","title":"Bad Request","status":400,"detail":"detail","outcome":"not_run","field":"field"}`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			got, err := row.send()
			require.NoError(t, err)
			require.Equal(t, row.want, got)
		})
	}
}

// Clients base decisions on these values. With a renamed one they would treat a refusal
// as work that may have run, or wait for a request that has ended.
func TestBytesOfServedValues(t *testing.T) {
	problem := func(reason execute.Reason, verdict outcome.Verdict) *callerapi.Problem {
		return failureProblem(&execute.Failure{
			Reason: reason, Verdict: verdict, Step: "s", Peer: "p", RetryAfter: time.Millisecond, Cause: errors.New("cause"),
		})
	}
	rows := []struct {
		name  string
		value any
		want  string
	}{
		{"types", []string{
			typeUnauthenticated, typeBadRequest, typeNotFound, typeTooLarge, typeKeyRequired, typeKeyReused, typeBudget,
			typeOverload, typeCrashes, typeStore, typeDeadline, typeTarget, typeOutcomeUnknown, typeStarting, typeNotKept,
		}, `["unauthenticated","bad-request","not-found","too-large","idempotency-key-required","idempotency-key-reused","budget-exhausted","overload","crashes-targets","store-unavailable","deadline","target-failed","outcome-unknown","starting","answer-not-kept"]`},
		{"states", []string{requests.StateRunning.String(), requests.StateAnswered.String(), requests.StateFailed.String()}, `["running","answered","failed"]`},
		{"running", stateRunning, `"running"`},
		{"outcomes", []string{
			requests.OutcomeNone.String(), requests.OutcomeNotRun.String(), requests.OutcomeRan.String(),
			requests.OutcomeUnknown.String(),
		}, `["","not_run","ran","unknown"]`},
		{"results", []string{
			requests.ResultRunning.String(), requests.ResultOK.String(), requests.ResultNotRun.String(),
			requests.ResultFailed.String(), requests.ResultLate.String(), requests.ResultCancelled.String(),
		}, `["running","ok","not_run","failed","late","cancelled"]`},
		{"overload", problem(execute.ReasonOverload, outcome.NotRun), `{"type":"overload","title":"Service Unavailable","status":503,"detail":"stage s: overload at p: cause","outcome":"not_run","step":"s","peer":"p","retry_after_ms":1}`},
		{"deadline", problem(execute.ReasonDeadline, outcome.Ran), `{"type":"deadline","title":"Gateway Timeout","status":504,"detail":"stage s: deadline at p: cause","outcome":"ran","step":"s","peer":"p"}`},
		{"no target", problem(execute.ReasonNoTarget, outcome.NotRun), `{"type":"overload","title":"Service Unavailable","status":503,"detail":"stage s: no_target at p: cause","outcome":"not_run","step":"s","peer":"p","retry_after_ms":1}`},
		{"target", problem(execute.ReasonTarget, outcome.Unknown), `{"type":"target-failed","title":"Bad Gateway","status":502,"detail":"stage s: target_failed at p: cause","outcome":"unknown","step":"s","peer":"p"}`},
		{"claim", problem(execute.ReasonClaim, outcome.NotRun), `{"type":"store-unavailable","title":"Service Unavailable","status":503,"detail":"stage s: claim at p: cause","outcome":"not_run","step":"s","peer":"p","retry_after_ms":1}`},
		{"caller", problem(execute.ReasonCaller, outcome.Unknown), `{"type":"target-failed","title":"Bad Gateway","status":502,"detail":"stage s: caller_gone at p: cause","outcome":"unknown","step":"s","peer":"p"}`},
		{"crashes", problem(execute.ReasonCrashes, outcome.Ran), `{"type":"crashes-targets","title":"Bad Gateway","status":502,"detail":"stage s: crashes_targets at p: cause","outcome":"ran","step":"s","peer":"p"}`},
		{"stopping", problem(execute.ReasonStopping, outcome.NotRun), `{"type":"overload","title":"Service Unavailable","status":503,"detail":"stage s: stopping at p: cause","outcome":"not_run","step":"s","peer":"p","retry_after_ms":1}`},
		{"fault", problem(execute.ReasonFault, outcome.Unknown), `{"type":"outcome-unknown","title":"Bad Gateway","status":502,"detail":"internal fault","outcome":"unknown","step":"s","peer":"p"}`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			got, err := json.Marshal(row.value)
			require.NoError(t, err)
			require.Equal(t, row.want, string(got))
		})
	}
}
