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

// dispatch does what the executor does before a stage that may not be repeated.
func dispatch(job execute.Job) error {
	if job.BeforeDispatch == nil || job.Pipeline.Repeatable() {
		return nil
	}
	return job.BeforeDispatch()
}

// answers runs a job to a whole answer, with one token for a stream.
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

// refusedLate is an order that its target refused after other stages had run.
func refuseAfterOtherStages(_ context.Context, job execute.Job) (execute.Result, error) {
	_ = dispatch(job)
	return execute.Result{}, &execute.Failure{Reason: execute.ReasonTarget, Verdict: outcome.Ran, MayRunAgain: true}
}

func panicAfterDispatch(_ context.Context, job execute.Job) (execute.Result, error) {
	_ = dispatch(job)
	panic("fault")
}

// deadClaimant leaves a claim behind that was dispatched by an incarnation that
// is gone.
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

// Story: a clerk sends an order, gets an error or none, and sends it again.
// What each answer promises, and whether the second call runs, depends on how
// the claim, the kind of pipeline and the form of the answer meet.
func TestAnswerTable(t *testing.T) {
	const ran, notRun, unknown = callerapi.OutcomeRan, callerapi.OutcomeNotRun, callerapi.OutcomeUnknown
	once, again := testRequest{pipeline: "once", key: "k-once"}, testRequest{pipeline: "again", key: "k-again"}
	lost := failWith(execute.ReasonTarget, outcome.Unknown, true)
	cases := map[string]struct {
		before func(*testing.T, *rig)
		run    executorFunc
		ask    testRequest
		// status and outcome of a problem; 200 and "" for an answer.
		status     int
		outcome    callerapi.Outcome
		kind       string
		retryAfter string
		runs       int64
	}{
		"first":                       {ask: once, status: 200, runs: 1},
		"retry replays":               {before: runFirst(once), ask: once, status: 200, runs: 1},
		"repeatable replays":          {before: runFirst(again), ask: again, status: 200, runs: 1},
		"another body":                {before: runFirst(once), ask: testRequest{pipeline: "once", key: "k-once", body: `{"input":"y"}`}, status: 422, outcome: notRun, kind: typeKeyReused, runs: 1},
		"another pipeline":            {before: runFirst(once), ask: testRequest{pipeline: "again", key: "k-once"}, status: 422, outcome: notRun, kind: typeKeyReused, runs: 1},
		"no key":                      {ask: testRequest{pipeline: "once"}, status: 400, outcome: notRun, kind: typeKeyRequired},
		"store down":                  {before: takeStoreDown, ask: once, status: 503, outcome: notRun, kind: typeStore, retryAfter: "3"},
		"store down, repeatable":      {before: takeStoreDown, ask: again, status: 200, runs: 1},
		"claimant dead":               {before: leaveClaimOfFailedOwner, ask: once, status: 409, outcome: unknown, kind: typeOutcomeUnknown},
		"claimant dead, repeatable":   {before: leaveClaimOfFailedOwner, ask: again, status: 200, runs: 1},
		"no budget":                   {before: func(_ *testing.T, r *rig) { r.budget = 1500 * time.Millisecond }, ask: again, status: 429, outcome: notRun, kind: typeBudget, retryAfter: "2"},
		"in flight":                   {before: func(_ *testing.T, r *rig) { r.server.inFlight.inUse.Store(2) }, ask: again, status: 503, outcome: notRun, kind: typeOverload, retryAfter: "1"},
		"not run, before dispatch":    {run: failWith(execute.ReasonOverload, outcome.NotRun, false), ask: once, status: 503, outcome: notRun, kind: typeOverload, retryAfter: "1", runs: 1},
		"not run, runs on retry":      {before: runFirst(once), run: failWith(execute.ReasonNoTarget, outcome.NotRun, true), ask: once, status: 503, outcome: notRun, kind: typeOverload, retryAfter: "1", runs: 2},
		"claim lapsed":                {run: failWith(execute.ReasonClaim, outcome.NotRun, false), ask: once, status: 503, outcome: notRun, kind: typeStore, retryAfter: "1", runs: 1},
		"lost":                        {run: lost, ask: once, status: 502, outcome: unknown, kind: typeTarget, runs: 1},
		"lost, retry replays":         {before: runFirst(once), run: lost, ask: once, status: 502, outcome: unknown, kind: typeTarget, runs: 1},
		"lost, repeatable runs again": {before: runFirst(again), run: lost, ask: again, status: 502, outcome: unknown, kind: typeTarget, runs: 2},
		"late, ran":                   {run: failWith(execute.ReasonDeadline, outcome.Ran, true), ask: once, status: 504, outcome: ran, kind: typeDeadline, runs: 1},
		"refused late, runs on retry": {before: runFirst(once), run: refuseAfterOtherStages, ask: once, status: 502, outcome: ran, kind: typeTarget, runs: 2},
		"too large to keep":           {before: runFirst(once), run: runLarge, ask: once, status: 409, outcome: ran, kind: typeOutcomeUnknown, runs: 1},
		"panicked":                    {before: panicFirst(once), run: panicAfterDispatch, ask: once, status: 500, outcome: unknown, kind: typeOutcomeUnknown, runs: 1},
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
				c.ask.stream = stream
				got := r.do(t, c.ask)
				require.Equal(t, c.status, got.status, "%s", got.raw)
				require.Equal(t, [2]string{string(c.outcome), c.kind}, [2]string{string(got.problem.Outcome), got.problem.Type})
				require.Equal(t, c.retryAfter, got.header.Get(callerapi.HeaderRetryAfter))
				require.Equal(t, c.status == http.StatusOK, got.output == "out")
				require.Equal(t, c.runs, r.runs.Load())
				require.Zero(t, r.server.streams.count())
				require.Contains(t, []int{0, 2}, r.server.InFlight(), "a place is lost") // 2 is what a case took
			})
		}
	}
}

func runLarge(_ context.Context, job execute.Job) (execute.Result, error) {
	return execute.Result{Output: strings.Repeat("x", claim.MaxBodyBytes)}, dispatch(job)
}

// panicFirst makes the call whose goroutine panics, as net/http takes it.
func panicFirst(a testRequest) func(*testing.T, *rig) {
	return func(t *testing.T, r *rig) {
		require.Panics(t, func() { r.do(t, a) })
	}
}

// goneWriter is the connection of a caller that left after some events.
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

// Story: a clerk's browser closes while the answer to an order that may not be
// repeated is streamed. Stopped half way its outcome would be unknown for good;
// it goes on, and the retry gets the whole answer. An ordinary stream is stopped.
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
