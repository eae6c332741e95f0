package serve

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/outcome"
	"github.com/ivyhollow/ivyhollow/daemon/execute"
	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
)

// A request runs for longer than the grace period of a planned stop; claimed requests are
// included, though they outlive their callers. Each caller must get a response with the
// outcome before the instance ends, instead of a closed connection.
func TestStopAnswersRunningRequests(t *testing.T) {
	cases := map[string]struct {
		request testRequest
		verdict outcome.Verdict
		status  int
		outcome callerapi.Outcome
	}{
		"waits for a slot": {testRequest{pipeline: "again"}, outcome.NotRun, http.StatusServiceUnavailable, callerapi.OutcomeNotRun},
		"runs":             {testRequest{pipeline: "again"}, outcome.Unknown, http.StatusBadGateway, callerapi.OutcomeUnknown},
		"claimed, waits":   {testRequest{pipeline: "once", key: "k"}, outcome.NotRun, http.StatusServiceUnavailable, callerapi.OutcomeNotRun},
		"claimed, runs":    {testRequest{pipeline: "once", key: "k"}, outcome.Unknown, http.StatusBadGateway, callerapi.OutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			running := make(chan struct{})
			r := newRig(t, func(ctx context.Context, _ execute.Job) (execute.Result, error) {
				close(running)
				<-ctx.Done()
				require.ErrorIs(t, context.Cause(ctx), execute.ErrStopping)
				return execute.Result{}, &execute.Failure{Reason: execute.ReasonStopping, Verdict: c.verdict, Cause: context.Cause(ctx)}
			}, nil)
			w := httptest.NewRecorder()
			answered := make(chan struct{})
			go func() {
				defer close(answered)
				r.server.Handler().ServeHTTP(w, c.request.request(t.Context()))
			}()
			<-running
			r.server.Stop()
			<-answered
			got := parse(t, w)
			require.Equal(t, c.status, got.status)
			require.Equal(t, c.outcome, got.problem.Outcome)
			require.Equal(t, typeOverload, got.problem.Type)
		})
	}
}
