package targetapi_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// A renamed field or value changes the target interface: targets would run a stage
// without its input, or ignore orders.
func TestBytesOfTargetMessages(t *testing.T) {
	rows := []struct {
		name  string
		value any
		want  string
	}{
		{"run request", targetapi.RunRequest{
			Stage: "s", Inputs: []string{"a", "b"}, Model: "m", Adapter: "l", MaxTokens: 1,
			Prefix: []targetapi.Part{{ID: "p", Tokens: 2}}, ResumeFrom: 3,
		}, `{"stage":"s","inputs":["a","b"],"model":"m","adapter":"l","max_tokens":1,"prefix":[{"id":"p","tokens":2}],"resume_from":3}`},
		{"run response", targetapi.RunResponse{AttemptID: "x", Output: "out", Tokens: 1, PrefillTokens: 2, WorkMS: 3}, `{"attempt_id":"x","output":"out","tokens":1,"prefill_tokens":2,"work_ms":3}`},
		{"token event", targetapi.TokenEvent{Token: "t"}, `{"token":"t"}`},
		{"refusal", targetapi.Refusal{Error: "error", RetryAfterMS: 1}, `{"error":"error","retry_after_ms":1}`},
		{"cancel request", targetapi.CancelRequest{AttemptID: "x"}, `{"attempt_id":"x"}`},
		{"load", targetapi.Load{
			Incarnation: "i", Active: 1, Queued: 2, Slots: 3, Leaving: true, Models: []string{"m", "n"},
			Adapters: []string{"l"}, Version: "v", Role: "r", Fencing: 4,
		}, `{"incarnation":"i","active":1,"queued":2,"slots":3,"leaving":true,"models":["m","n"],"adapters":["l"],"version":"v","role":"r","fencing":4}`},
		{"order", targetapi.Order{ID: "o", Fencing: 1, Action: "act", Value: "v"}, `{"id":"o","fencing":1,"action":"act","value":"v"}`},
		{"cache events", targetapi.CacheEvents{
			Incarnation: "i", Events: []targetapi.CacheEvent{{Seq: 1, Added: true, Part: "p"}}, Next: 2, Lost: true,
		}, `{"incarnation":"i","events":[{"seq":1,"added":true,"part":"p"}],"next":2,"lost":true}`},
		{"move", targetapi.KVMove{Part: "p", Tokens: 1, Source: "s"}, `{"part":"p","tokens":1,"source":"s"}`},
		{"empty run request", targetapi.RunRequest{}, `{"stage":"","inputs":null}`},
		{"empty run response", targetapi.RunResponse{}, `{"attempt_id":"","output":"","work_ms":0}`},
		{"empty refusal", targetapi.Refusal{}, `{"error":""}`},
		{"empty load", targetapi.Load{}, `{"incarnation":"","active":0,"queued":0,"slots":0}`},
		{"empty cache events", targetapi.CacheEvents{}, `{"incarnation":"","events":null,"next":0}`},
		{"empty move", targetapi.KVMove{}, `{"part":"","tokens":0}`},
		{"actions", []string{
			targetapi.ActionLoadModel, targetapi.ActionLoadAdapter, targetapi.ActionSetVersion, targetapi.ActionSetRole,
		}, `["load_model","load_adapter","set_version","set_role"]`},
		{"events", []string{targetapi.EventToken, targetapi.EventDone, targetapi.EventError}, `["token","done","error"]`},
		{"paths", []string{
			targetapi.PathRun, targetapi.PathCancel, targetapi.PathLoad, targetapi.PathHealth, targetapi.PathOrders,
			targetapi.PathCacheEvents, targetapi.PathKVExport, targetapi.PathKVImport,
		}, `["/v1/run","/v1/cancel","/v1/load","/healthz","/v1/orders","/v1/cache-events","/v1/kv/export","/v1/kv/import"]`},
		{"headers", []string{
			targetapi.HeaderAttempt, targetapi.HeaderRequest, targetapi.HeaderDeadline, targetapi.HeaderPriority,
			targetapi.HeaderTier, targetapi.HeaderExpectIncarnation, targetapi.HeaderIncarnation, targetapi.HeaderNotRun,
			targetapi.HeaderLoad, targetapi.HeaderLeaving,
		}, `["Attempt-Id","Request-Id","Deadline-Ms","Priority","Tier","Expect-Incarnation","Target-Incarnation","Not-Run","Target-Load","Target-Leaving"]`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			got, err := json.Marshal(row.value)
			require.NoError(t, err)
			require.Equal(t, row.want, string(got))
		})
	}
}
