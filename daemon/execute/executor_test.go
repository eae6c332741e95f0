package execute

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/deadline"
	"github.com/ivyhollow/ivyhollow/coordination/outcome"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
	emulated "github.com/ivyhollow/ivyhollow/emulator/target"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// once hits one call, wherever it is routed first; the faults of both targets
// are set, so the second attempt meets a fault too unless Limit spares it.
func setFaultOnFirst(r *rig, kind emulated.FaultKind, after int) {
	f := emulated.Fault{Kind: kind, Limit: 1, AfterTokens: after}
	r.targets[0].SetFaults(f)
	r.targets[1].SetFaults()
}

// A clerk posts a work order and one attempt fails in some way at the target.
// Sent again after it may have run, the order sends two crews; promised as "not
// run" though it ran, the clerk's own retry does.
func TestTargetFaults(t *testing.T) {
	whole := outcome.Verdict(-1)
	cases := []struct {
		fault                 emulated.FaultKind
		repeatable, resumable bool
		tokens, after         int
		want                  outcome.Verdict
	}{
		{fault: emulated.FaultLost, want: outcome.Unknown},
		{fault: emulated.FaultReset, want: outcome.Unknown},
		{fault: emulated.FaultTruncate, want: outcome.Unknown},
		{fault: emulated.FaultGarble, want: outcome.Unknown},
		{fault: emulated.FaultCrossed, want: outcome.Unknown},
		{fault: emulated.FaultGrey, want: outcome.Ran},
		{fault: emulated.FaultFailFast, want: outcome.Ran},
		{fault: emulated.FaultDuplicate, want: whole},
		{fault: emulated.FaultLost, repeatable: true, want: whole},
		{fault: emulated.FaultReset, repeatable: true, want: whole},
		{fault: emulated.FaultTruncate, repeatable: true, want: whole},
		{fault: emulated.FaultGarble, repeatable: true, want: whole},
		{fault: emulated.FaultCrossed, repeatable: true, want: whole},
		{fault: emulated.FaultGrey, repeatable: true, want: whole},
		{fault: emulated.FaultFailFast, repeatable: true, want: whole},
		{fault: emulated.FaultSilent, repeatable: true, want: whole},
		{fault: emulated.FaultDuplicate, repeatable: true, want: whole},
		{fault: emulated.FaultCrash, repeatable: true, resumable: true, tokens: rigTokens, after: 3, want: whole},
		{fault: emulated.FaultReset, repeatable: true, resumable: true, tokens: rigTokens, after: 2, want: whole},
		{fault: emulated.FaultDuplicate, repeatable: true, resumable: true, tokens: rigTokens, want: whole},
		{fault: emulated.FaultSilent, repeatable: true, resumable: true, tokens: rigTokens, want: whole},
		{fault: emulated.FaultCrash, repeatable: true, tokens: rigTokens, after: 3, want: outcome.Unknown},
		{fault: emulated.FaultCrash, tokens: rigTokens, after: 3, want: outcome.Unknown},
	}
	for _, c := range cases {
		name := string(c.fault)
		if c.repeatable {
			name += "/repeatable"
		}
		if c.resumable {
			name += "/resumable"
		}
		if c.tokens > 0 {
			name += "/stream"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, kindFor(c.tokens), catalog.ObjectiveAttainment)
			runUntilFaultHit(t, r, c.fault, c.after, c.repeatable, c.resumable, c.tokens, c.want)
		})
	}
}

func kindFor(tokens int) catalog.PoolKind {
	if tokens > 0 {
		return catalog.KindEngine
	}
	return catalog.KindService
}

// hitEither makes the call until it met the faulty target, which routing picks
// by chance, and checks what the caller is told each time.
func runUntilFaultHit(t *testing.T, r *rig, kind emulated.FaultKind, after int, repeatable, resumable bool, tokens int, want outcome.Verdict) {
	setFaultOnFirst(r, kind, after)
	expected, _ := emulated.Output("s", []string{"in"}, "", tokens)
	for hit := false; !hit; {
		job := r.job(oneStage(repeatable, resumable, tokens), 2*time.Second)
		next := 0
		if tokens > 0 {
			job.OnToken = func(offset int, _ string) error {
				require.Equal(t, next, offset, "a token lost or doubled")
				next++
				return nil
			}
		}
		before := r.runs(job.ID)
		hit = r.targets[0].RunsReport().Started > 0 || kind == emulated.FaultSilent || kind == emulated.FaultFailFast
		got, err := r.do(job)
		hit = hit || r.targets[0].RunsReport().Started > 0
		if err == nil {
			require.Equal(t, expected, got.Output)
			if tokens > 0 {
				require.Equal(t, tokens, next)
			}
		}
		if !repeatable {
			require.LessOrEqual(t, r.runs(job.ID)-before, 1, "ran twice")
		}
		if err != nil {
			var failure *Failure
			require.ErrorAs(t, err, &failure)
			require.Equal(t, want, failure.Verdict, "%v", err)
			return
		}
	}
	if want != outcome.Verdict(-1) && kind != emulated.FaultSilent && kind != emulated.FaultFailFast {
		t.Fatal("the fault was met and the caller was told of a whole answer")
	}
}

// Both targets were replaced and the list lags, so every one refuses: nothing
// ran. A false "unknown" here would keep a clerk from sending the order again.
func TestRefusedEverywhereIsNotRun(t *testing.T) {
	r := newRigListed(t, catalog.KindService, catalog.ObjectiveAttainment, "-old")
	job := r.job(oneStage(false, false, 0), time.Second)
	_, err := r.do(job)
	var failure *Failure
	require.ErrorAs(t, err, &failure)
	require.Equal(t, outcome.NotRun, failure.Verdict)
	require.Zero(t, r.runs(job.ID))
}

// The claim is gone when the dispatch is due: nothing may leave.
func TestForbiddenDispatchSendsNothing(t *testing.T) {
	r := newRig(t, catalog.KindService, catalog.ObjectiveAttainment)
	job := r.job(oneStage(false, false, 0), time.Second)
	job.BeforeDispatch = func() error { return errors.New("abandoned") }
	_, err := r.do(job)
	var failure *Failure
	require.ErrorAs(t, err, &failure)
	require.Equal(t, ReasonClaim, failure.Reason)
	require.Equal(t, outcome.NotRun, failure.Verdict)
	require.Zero(t, r.runs(job.ID))
}

// An order's text is encoded, then the order itself meets a target in some state.
// "Ran" is true of the encoding; whether the clerk may send the order again
// depends on the order alone.
func TestMayRunAgainDependsOnNonRepeatableStages(t *testing.T) {
	const forbidden emulated.FaultKind = "the claim forbids the order"
	cases := map[emulated.FaultKind]bool{emulated.FaultReset: false, emulated.FaultFailFast: false, forbidden: true}
	for fault, again := range cases {
		r := newRig(t, catalog.KindService, catalog.ObjectiveCost)
		job := r.job(oneStage(true, false, 0), time.Second)
		order := oneStage(false, false, 0).Stages[0]
		order.Name, order.After = "order", []int{0}
		job.Pipeline.Stages = append(job.Pipeline.Stages, order)
		job.BeforeDispatch = func() error {
			if fault == forbidden {
				return errors.New("abandoned")
			}
			for _, target := range r.targets {
				target.SetFaults(emulated.Fault{Kind: fault})
			}
			return nil
		}
		_, err := r.do(job)
		var failure *Failure
		require.ErrorAs(t, err, &failure)
		require.Equal(t, again, failure.MayRunAgain, "%s: %v", fault, err)
		require.NotEqual(t, outcome.NotRun, failure.Verdict)
	}
}

// One answer makes the code that passes it on panic. Not contained it ends the
// process and every caller's request with it; contained it may have run.
func TestPanickingAttemptIsUnknown(t *testing.T) {
	r := newRig(t, catalog.KindEngine, catalog.ObjectiveCost)
	job := r.job(oneStage(false, false, rigTokens), time.Second)
	job.OnToken = func(int, string) error { panic("fault") }
	_, err := r.do(job)
	var failure *Failure
	require.ErrorAs(t, err, &failure)
	require.Equal(t, outcome.Unknown, failure.Verdict)
	require.Equal(t, 1, r.runs(job.ID))
}

// A guest's chat holds the only slots when an allergy check of a higher tier
// comes. The chat is interrupted and goes on later; its text must be one text.
func TestPreemptedStreamResumesCompletely(t *testing.T) {
	r := newRig(t, catalog.KindEngine, catalog.ObjectiveCost)
	r.opts.Gate.(*gate.Group).SetCapacity(rigPool, 1, true)
	const tokens = 500 // far more than are generated before the interruption
	low := r.job(oneStage(true, true, tokens), 20*time.Second)
	low.Pipeline.MaxAttempts = 1 // a preemption is no attempt of its own
	low.Tier = &catalog.Tier{Name: "low", Rank: 3}
	expected, _ := emulated.Output("s", []string{"in"}, "", tokens)
	warm := low
	warm.ID = "test.1.3" // the gate learns how long such work holds a slot
	_, err := r.do(warm)
	require.NoError(t, err)
	for r.budgets.TakeRetry(time.Now(), rigPool) {
		continue // nor is it paid from the budget of retries
	}
	highDone := make(chan error, 1)
	next := 0
	low.OnToken = func(offset int, _ string) error {
		require.Equal(t, next, offset)
		next++
		if offset == 1 {
			high := r.job(oneStage(true, false, 0), time.Second)
			high.ID = "test.1.2"
			go func() {
				_, err := r.Run(context.Background(), high)
				highDone <- err
			}()
		}
		return nil
	}
	got, err := r.do(low)
	require.NoError(t, err)
	require.Equal(t, expected, got.Output)
	require.NoError(t, <-highDone)
	require.Equal(t, 2, r.runs(low.ID), "interrupted once and resumed")
}

// A stage was slow for a while, so its learned times say that no deadline can be
// made and every request is refused. Nothing would measure the stage again, and
// callers were refused for ever though the targets are fast: a probe has to get
// through the gate too, where its latest start has passed by the same times.
func TestRefusalsByLearnedTimesEnd(t *testing.T) {
	r := newRig(t, catalog.KindService, catalog.ObjectiveAttainment)
	p := oneStage(true, false, 0)
	key := deadline.StageKey{Pipeline: p.Key, Stage: "s"}
	for range 50 {
		r.opts.Times.Observe(time.Now(), key, p.Stages[0].ExpectedDuration, time.Hour)
	}
	_, err := r.do(r.job(p, time.Second))
	require.NoError(t, err)
}

// A plan's last stage needs a model that no engine has loaded. The stages before
// it were run and paid for, and the guest was told that the work may have run.
func TestModelWithoutTargetRunsNoStage(t *testing.T) {
	r := newRig(t, catalog.KindEngine, catalog.ObjectiveAttainment)
	r.opts.Router.(*routing.Table).SetTargets(time.Now(), routing.Pool{Name: "small"}, []routing.Target{
		{Incarnation: "c", Pool: "small", Models: []string{"small"}},
	})
	r.opts.Gate.(*gate.Group).SetCapacity("small", 1, true)
	p := oneStage(true, false, 0)
	p.Stages = append(p.Stages, catalog.Stage{Name: "last", Pool: "small", Model: "large", After: []int{0}, Repeatable: true})
	job := r.job(p, time.Second)
	_, err := r.do(job)
	var failure *Failure
	require.ErrorAs(t, err, &failure)
	require.Equal(t, outcome.NotRun, failure.Verdict)
	require.Equal(t, "last", failure.Step)
	require.Zero(t, r.runs(job.ID))
}
