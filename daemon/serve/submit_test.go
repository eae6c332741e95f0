package serve

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
	"github.com/ivyhollow/ivyhollow/coordination/outcome"
	"github.com/ivyhollow/ivyhollow/daemon/claims"
	"github.com/ivyhollow/ivyhollow/daemon/execute"
	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/state/requests"
)

// dispatch does what the executor does before a non-repeatable stage.
func dispatch(job execute.Job) error {
	if job.BeforeDispatch == nil || job.Pipeline.Repeatable() {
		return nil
	}
	return job.BeforeDispatch()
}

// respondOK completes a job, with one token for a stream.
func respondOK(_ context.Context, job execute.Job) (execute.Result, error) {
	if err := dispatch(job); err != nil {
		return execute.Result{}, &execute.Failure{Reason: execute.ReasonClaim, Cause: err}
	}
	if job.OnToken != nil {
		if err := job.OnToken(0, "out"); err != nil {
			return execute.Result{}, &execute.Failure{Reason: execute.ReasonCaller, Verdict: outcome.Unknown, Cause: err}
		}
	}
	return execute.Result{Output: "out", Tokens: 1}, nil
}

func failWith(reason execute.Reason, verdict outcome.Verdict, dispatched bool) executorFunc {
	return func(_ context.Context, job execute.Job) (execute.Result, error) {
		if dispatched {
			if err := dispatch(job); err != nil {
				return execute.Result{}, err
			}
		}
		return execute.Result{}, &execute.Failure{Reason: reason, Verdict: verdict, Step: "s", Cause: errors.New("cause")}
	}
}

// refuseAfterOtherStages fails in the same way as a job whose non-repeatable stage was
// refused by the target after other stages had run.
func refuseAfterOtherStages(_ context.Context, job execute.Job) (execute.Result, error) {
	_ = dispatch(job)
	return execute.Result{}, &execute.Failure{Reason: execute.ReasonTarget, Verdict: outcome.Ran, MayRunAgain: true}
}

func panicAfterDispatch(_ context.Context, job execute.Job) (execute.Result, error) {
	_ = dispatch(job)
	panic("fault")
}

// leaveClaimOfFailedOwner creates dispatched claims of an earlier incarnation.
func leaveClaimOfFailedOwner(t *testing.T, r *rig) {
	for _, pipeline := range []string{"again", "once"} {
		c := &callerRequest{}
		c.pipeline, _ = testConfig().Pipeline(pipeline, 0)
		key := claims.Key{Account: "a", IdempotencyKey: "k-" + pipeline}
		begun, err := newClaims(r.fakes, 0).Begin(t.Context(), key, c.requestDigest([]byte(`{"input":"x"}`)))
		require.NoError(t, err)
		require.Equal(t, claims.Run, begun.Verdict)
		require.NoError(t, begun.Ticket.MarkDispatched())
	}
}

func takeStoreDown(_ *testing.T, r *rig) { r.down = true }

func runFirst(a testRequest) func(*testing.T, *rig) {
	return func(t *testing.T, r *rig) { r.do(t, a) }
}

// A caller retries a request after an error or a lost response. What the response
// promises, and whether the retry runs, depends on the claim, on the kind of pipeline
// and on whether the response is a stream.
func TestSubmitResponses(t *testing.T) {
	const ran, notRun, unknown = callerapi.OutcomeRan, callerapi.OutcomeNotRun, callerapi.OutcomeUnknown
	once, again := testRequest{pipeline: "once", key: "k-once"}, testRequest{pipeline: "again", key: "k-again"}
	targetFailed := failWith(execute.ReasonTarget, outcome.Unknown, true)
	cases := map[string]struct {
		before  func(*testing.T, *rig)
		run     executorFunc
		request testRequest
		// status and outcome are those of the problem; 200 and "" if there is none.
		status     int
		outcome    callerapi.Outcome
		kind       string
		retryAfter string
		runs       int64
	}{
		"first":                                {request: once, status: 200, runs: 1},
		"retry replays":                        {before: runFirst(once), request: once, status: 200, runs: 1},
		"repeatable replays":                   {before: runFirst(again), request: again, status: 200, runs: 1},
		"another body":                         {before: runFirst(once), request: testRequest{pipeline: "once", key: "k-once", body: `{"input":"y"}`}, status: 422, outcome: notRun, kind: typeKeyReused, runs: 1},
		"another pipeline":                     {before: runFirst(once), request: testRequest{pipeline: "again", key: "k-once"}, status: 422, outcome: notRun, kind: typeKeyReused, runs: 1},
		"no key":                               {request: testRequest{pipeline: "once"}, status: 400, outcome: notRun, kind: typeKeyRequired},
		"store down":                           {before: takeStoreDown, request: once, status: 503, outcome: notRun, kind: typeStore, retryAfter: "3"},
		"store down, repeatable":               {before: takeStoreDown, request: again, status: 200, runs: 1},
		"claimant failed":                      {before: leaveClaimOfFailedOwner, request: once, status: 409, outcome: unknown, kind: typeOutcomeUnknown},
		"claimant failed, repeatable":          {before: leaveClaimOfFailedOwner, request: again, status: 200, runs: 1},
		"no budget":                            {before: func(_ *testing.T, r *rig) { r.budget = 1500 * time.Millisecond }, request: again, status: 429, outcome: notRun, kind: typeBudget, retryAfter: "2"},
		"in flight":                            {before: func(_ *testing.T, r *rig) { r.server.inFlight.inUse.Store(2) }, request: again, status: 503, outcome: notRun, kind: typeOverload, retryAfter: "1"},
		"not run, before dispatch":             {run: failWith(execute.ReasonOverload, outcome.NotRun, false), request: once, status: 503, outcome: notRun, kind: typeOverload, retryAfter: "1", runs: 1},
		"not run, runs on retry":               {before: runFirst(once), run: failWith(execute.ReasonNoTarget, outcome.NotRun, true), request: once, status: 503, outcome: notRun, kind: typeOverload, retryAfter: "1", runs: 2},
		"claim lapsed":                         {run: failWith(execute.ReasonClaim, outcome.NotRun, false), request: once, status: 503, outcome: notRun, kind: typeStore, retryAfter: "1", runs: 1},
		"target failed":                        {run: targetFailed, request: once, status: 502, outcome: unknown, kind: typeTarget, runs: 1},
		"target failed, retry replays":         {before: runFirst(once), run: targetFailed, request: once, status: 502, outcome: unknown, kind: typeTarget, runs: 1},
		"target failed, repeatable runs again": {before: runFirst(again), run: targetFailed, request: again, status: 502, outcome: unknown, kind: typeTarget, runs: 2},
		"deadline missed, ran":                 {run: failWith(execute.ReasonDeadline, outcome.Ran, true), request: once, status: 504, outcome: ran, kind: typeDeadline, runs: 1},
		"last stage refused, runs on retry":    {before: runFirst(once), run: refuseAfterOtherStages, request: once, status: 502, outcome: ran, kind: typeTarget, runs: 2},
		"too large to keep":                    {before: runFirst(once), run: runLarge, request: once, status: 409, outcome: ran, kind: typeOutcomeUnknown, runs: 1},
		"panicked":                             {before: panicFirst(once), run: panicAfterDispatch, request: once, status: 500, outcome: unknown, kind: typeOutcomeUnknown, runs: 1},
	}
	for name, c := range cases {
		for _, stream := range []bool{false, true} {
			if stream {
				name += ", stream"
			}
			t.Run(name, func(t *testing.T) {
				if c.run == nil {
					c.run = respondOK
				}
				r := newRig(t, c.run, nil)
				if c.before != nil {
					c.before(t, r)
				}
				c.request.stream = stream
				got := r.do(t, c.request)
				require.Equal(t, c.status, got.status, "%s", got.raw)
				require.Equal(t, [2]string{string(c.outcome), c.kind}, [2]string{string(got.problem.Outcome), got.problem.Type})
				require.Equal(t, c.retryAfter, got.header.Get(callerapi.HeaderRetryAfter))
				require.Equal(t, c.status == http.StatusOK, got.output == "out")
				require.Equal(t, c.runs, r.runs.Load())
				require.Zero(t, r.server.streams.count())
				require.Contains(t, []int{0, 2}, r.server.InFlight(), "a slot leaked") // one case sets 2 itself
			})
		}
	}
}

func runLarge(_ context.Context, job execute.Job) (execute.Result, error) {
	return execute.Result{Output: strings.Repeat("x", claim.MaxBodyBytes)}, dispatch(job)
}

// panicFirst sends the request and recovers from its panic, as net/http does.
func panicFirst(a testRequest) func(*testing.T, *rig) {
	return func(t *testing.T, r *rig) {
		require.Panics(t, func() { r.do(t, a) })
	}
}

// disconnectedWriter is the connection of a caller that disconnects after some writes.
type disconnectedWriter struct {
	*httptest.ResponseRecorder
	remainingWrites int
}

func (w *disconnectedWriter) Write(p []byte) (int, error) {
	if w.remainingWrites--; w.remainingWrites < 0 {
		return 0, errors.New("connection reset")
	}
	return w.ResponseRecorder.Write(p)
}

// A caller disconnects while the response to a non-repeatable request is streamed. If the
// work were stopped halfway, its outcome would stay unknown; it continues, and the retry
// gets the whole response. The stream of a repeatable request is stopped.
func TestClaimedStreamOutlivesItsCaller(t *testing.T) {
	for pipeline, stopped := range map[string]bool{"once": false, "again": true} {
		r := newRig(t, respondOK, nil)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		a := testRequest{pipeline: pipeline, stream: true}
		if !stopped {
			a.key = "k"
		}
		w := &disconnectedWriter{ResponseRecorder: httptest.NewRecorder()}
		r.server.Handler().ServeHTTP(w, a.request(ctx))
		id := w.Header().Get(callerapi.HeaderRequestID)
		status, ok := r.opts.Status.Get(id, time.Now())
		require.True(t, ok)
		require.Equal(t, stopped, status.State == requests.StateFailed)
		if !stopped {
			require.Equal(t, "out", r.do(t, a).output)
			require.EqualValues(t, 1, r.runs.Load())
		}
	}
}
