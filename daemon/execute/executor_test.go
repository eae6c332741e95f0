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

// setFaultOnFirst gives the first target one fault, which affects one call, and the second
// target none.
func setFaultOnFirst(r *rig, kind emulated.FaultKind, after int) {
	f := emulated.Fault{Kind: kind, Limit: 1, AfterTokens: after}
	r.targets[0].SetFaults(f)
	r.targets[1].SetFaults()
}

// One attempt fails at the target. If a request that is not repeatable were sent again after
// it may have run, or reported as "not run" although it ran, its work would be done twice:
// by the retry of the instance or by that of the caller.
func TestTargetFaults(t *testing.T) {
	complete := outcome.Verdict(-1)
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
		{fault: emulated.FaultDuplicate, want: complete},
		{fault: emulated.FaultLost, repeatable: true, want: complete},
		{fault: emulated.FaultReset, repeatable: true, want: complete},
		{fault: emulated.FaultTruncate, repeatable: true, want: complete},
		{fault: emulated.FaultGarble, repeatable: true, want: complete},
		{fault: emulated.FaultCrossed, repeatable: true, want: complete},
		{fault: emulated.FaultGrey, repeatable: true, want: complete},
		{fault: emulated.FaultFailFast, repeatable: true, want: complete},
		{fault: emulated.FaultSilent, repeatable: true, want: complete},
		{fault: emulated.FaultDuplicate, repeatable: true, want: complete},
		{fault: emulated.FaultCrash, repeatable: true, resumable: true, tokens: rigTokens, after: 3, want: complete},
		{fault: emulated.FaultReset, repeatable: true, resumable: true, tokens: rigTokens, after: 2, want: complete},
		{fault: emulated.FaultDuplicate, repeatable: true, resumable: true, tokens: rigTokens, want: complete},
		{fault: emulated.FaultSilent, repeatable: true, resumable: true, tokens: rigTokens, want: complete},
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

// runUntilFaultHit runs jobs until one is routed to the faulty target, which routing selects at
// random, and checks the result of each.
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
		t.Fatal("the fault occurred but the caller got a complete response")
	}
}

// Guards against a stream that is given up in a pause of its target although no other attempt may
// continue it.
func TestStreamThatNothingReplacesOutlivesAPause(t *testing.T) {
	for name, c := range map[string]struct {
		repeatable, resumable bool
		attempts              int
	}{
		"not repeatable":   {attempts: 3},
		"not resumable":    {repeatable: true, attempts: 3},
		"the last attempt": {repeatable: true, resumable: true, attempts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, catalog.KindEngine, catalog.ObjectiveAttainment)
			for _, e := range r.targets {
				e.SetFaults(emulated.Fault{Kind: emulated.FaultLate, DelayMS: 2 * rigBodyIdle.Milliseconds()})
			}
			p := oneStage(c.repeatable, c.resumable, rigTokens)
			p.MaxAttempts = c.attempts
			job := r.job(p, 10*rigBodyIdle)
			job.OnToken = func(int, string) error { return nil }
			_, err := r.do(job)
			require.NoError(t, err)
			require.Equal(t, 1, r.runs(job.ID))
		})
	}
}

// Both targets were replaced but are still listed under their old incarnations, so each
// refuses and nothing runs. A false "unknown" would keep the caller from retrying.
func TestRefusedEverywhereIsNotRun(t *testing.T) {
	r := newRigListed(t, catalog.KindService, catalog.ObjectiveAttainment, "-old")
	job := r.job(oneStage(false, false, 0), time.Second)
	_, err := r.do(job)
	var failure *Failure
	require.ErrorAs(t, err, &failure)
	require.Equal(t, outcome.NotRun, failure.Verdict)
	require.Zero(t, r.runs(job.ID))
}

// If the claim was lost by the time of the dispatch, nothing may be sent.
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

// A repeatable stage runs, then one that is not repeatable fails. The verdict "ran" is true of
// the first, but whether the caller may retry depends only on the second.
func TestMayRunAgainDependsOnNonRepeatableStages(t *testing.T) {
	const forbidden emulated.FaultKind = "the claim prevents the dispatch"
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

// The code that delivers a response panics. Without recovery this would end the process and
// the requests of all callers; recovered, the attempt may have run.
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

// A stream holds the only slot when a request of a higher tier arrives. The stream is
// preempted and resumed later, and no token may be lost or repeated.
func TestPreemptedStreamResumesCompletely(t *testing.T) {
	r := newRig(t, catalog.KindEngine, catalog.ObjectiveCost)
	r.opts.Gate.(*gate.Group).SetCapacity(rigPool, 1, true)
	const tokens = 500 // far more than are generated before the preemption
	low := r.job(oneStage(true, true, tokens), 20*time.Second)
	low.Pipeline.MaxAttempts = 1 // a preempted attempt doesn't count
	low.Tier = &catalog.Tier{Name: "low", Rank: 3}
	expected, _ := emulated.Output("s", []string{"in"}, "", tokens)
	warm := low
	warm.ID = "test.1.3" // the gate learns how long such work holds a slot
	_, err := r.do(warm)
	require.NoError(t, err)
	for r.budgets.TakeRetry(time.Now(), rigPool) {
		continue // empties the retry budget, from which resuming isn't paid
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
	require.Equal(t, 2, r.runs(low.ID), "preempted once and resumed")
}

// A stage was slow for a while, so by its learned times no deadline can be met and every
// request is refused. Without probes the stage would never be measured again, and requests
// would be refused for ever although the targets are fast. The probe must also pass the gate,
// although its latest start has passed by the same times.
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

// The last stage needs a model that no engine has loaded. The job must be refused before its
// other stages run: their work would be wasted, and the caller would learn only that the
// request may have run.
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
