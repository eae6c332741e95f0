package execute

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/outcome"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
	emulated "github.com/ivyhollow/ivyhollow/emulator/target"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// panicInjector panics once, at the n-th call of the method it is set for.
type panicInjector struct {
	Router
	Gate
	Budgets
	method    string
	remaining int
}

func (f *panicInjector) maybePanic(method string) {
	if f.method != method || f.remaining == 0 {
		return
	}
	if f.remaining--; f.remaining == 0 {
		panic("fault in " + method)
	}
}

func (f *panicInjector) Pick(now time.Time, rng *rand.Rand, q routing.Query) (routing.Choice, error) {
	f.maybePanic("Pick")
	return f.Router.Pick(now, rng, q)
}

func (f *panicInjector) Started(now time.Time, incarnation string, cost float64) *routing.Attempt {
	f.maybePanic("Started")
	return f.Router.Started(now, incarnation, cost)
}

func (f *panicInjector) Report(now time.Time, incarnation string, load routing.Load) {
	f.maybePanic("Report")
	f.Router.Report(now, incarnation, load)
}

func (f *panicInjector) Enter(ctx context.Context, pool string, r gate.Request) (*gate.Grant, error) {
	f.maybePanic("Enter")
	return f.Gate.Enter(ctx, pool, r)
}

func (f *panicInjector) TakeRetry(now time.Time, pool string) bool {
	f.maybePanic("Retry")
	return f.Budgets.TakeRetry(now, pool)
}

func (f *panicInjector) Succeeded(now time.Time, pool string) {
	f.maybePanic("Succeeded")
	f.Budgets.Succeeded(now, pool)
}

// A stage panics outside a call to a target. Without recovery this would end the process and
// the requests of all callers. Recovered, it fails only its own request, with an unknown
// outcome, and the only slot is free for the next request.
func TestPanickingStageFailsOnlyItsRequest(t *testing.T) {
	cases := []struct {
		method  string
		after   int
		failing bool // all targets fail, so that retries are attempted
	}{
		{method: "Enter", after: 1},
		{method: "Pick", after: 1},
		{method: "Started", after: 1},
		{method: "Report", after: 1},
		{method: "Retry", after: 1, failing: true},
		{method: "Pick", after: 2, failing: true},
		{method: "Succeeded", after: 1},
	}
	for _, c := range cases {
		t.Run(c.method, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, catalog.KindService, catalog.ObjectiveCost)
			r.opts.Gate.(*gate.Group).SetCapacity(rigPool, 1, false)
			f := &panicInjector{Router: r.opts.Router, Gate: r.opts.Gate, Budgets: r.opts.Budgets, method: c.method, remaining: c.after}
			r.opts.Router, r.opts.Gate, r.opts.Budgets = f, f, f
			if c.failing {
				for _, target := range r.targets {
					target.SetFaults(emulated.Fault{Kind: emulated.FaultFailFast})
				}
			}
			repeatable := c.failing || c.method == "Succeeded"
			_, err := r.do(r.job(oneStage(repeatable, false, 0), 10*time.Second))
			require.Zero(t, f.remaining, "there was no panic")
			var failure *Failure
			require.ErrorAs(t, err, &failure)
			require.Equal(t, "s", failure.Step)
			require.False(t, failure.MayRunAgain)
			want := outcome.Unknown
			if c.method == "Report" {
				want = outcome.Ran // its response had arrived and was settled
			}
			require.Equal(t, want, failure.Verdict, "%v", err)

			for _, target := range r.targets {
				target.SetFaults()
			}
			next := r.job(oneStage(true, false, 0), 10*time.Second)
			next.ID = "test.1.2"
			_, err = r.do(next)
			require.NoError(t, err, "the slot is lost")
		})
	}
}

// The code that records the response of a repeatable attempt panics, on the attempt's own
// goroutine. The stage is sent once more.
func TestPanickingAttemptIsRepeated(t *testing.T) {
	r := newRig(t, catalog.KindService, catalog.ObjectiveAttainment)
	f := &panicInjector{Router: r.opts.Router, method: "Report", remaining: 1}
	r.opts.Router = f
	job := r.job(oneStage(true, false, 0), 10*time.Second)
	_, err := r.do(job)
	require.NoError(t, err)
	require.Zero(t, f.remaining, "there was no panic")
	require.Equal(t, 2, r.runs(job.ID))
}
