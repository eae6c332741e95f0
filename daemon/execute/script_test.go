package execute

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ivyhollow/ivyhollow/coordination/deadline"
	"github.com/ivyhollow/ivyhollow/coordination/outcome"
	"github.com/ivyhollow/ivyhollow/coordination/retry"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
	"github.com/ivyhollow/ivyhollow/daemon/retrybudget"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/state/requests"
	"github.com/ivyhollow/ivyhollow/transport/target"
)

// step is how one attempt ends, after a time.
type step struct {
	after time.Duration
	err   *target.AttemptError // nil: a whole answer
	deaf  bool                 // to a cancel
}

// script is a Caller whose n-th attempt ends as the n-th step says; the ones
// behind the last step are refused at once.
type script struct {
	steps []step

	mu           sync.Mutex
	open, most   int
	sent         []time.Time
	targets      []string
	ended        []error
	answered     []string
	lostCauses   []error
	mayHaveRunAt int // attempts sent when the first one ended that may have run
}

func (s *script) Run(ctx context.Context, call target.Call) (targetapi.RunResponse, target.Meta, error) {
	next := s.begin(call)
	var err error
	cancelled := ctx.Done()
	if next.deaf {
		cancelled = nil
	}
	select {
	case <-time.After(next.after):
		if next.err != nil {
			err = next.err
		}
	case <-cancelled:
		err = &target.AttemptError{Step: target.StepHeaders, Peer: call.Address, Outcome: target.Unknown, Reason: target.ReasonCancelled, Err: ctx.Err()}
	}
	s.end(ctx, call, err)
	return targetapi.RunResponse{Output: call.AttemptID}, target.Meta{}, err
}

func (s *script) Stream(ctx context.Context, call target.Call, _ func(int, string) error) (targetapi.RunResponse, target.Meta, error) {
	return s.Run(ctx, call)
}

func (s *script) begin(call target.Call) step {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.sent)
	s.sent = append(s.sent, time.Now())
	s.targets = append(s.targets, call.Incarnation)
	s.open++
	s.most = max(s.most, s.open)
	if n < len(s.steps) {
		return s.steps[n]
	}
	return step{err: notRun(0)}
}

func (s *script) end(ctx context.Context, call target.Call, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	s.ended = append(s.ended, err)
	var failed *target.AttemptError
	switch {
	case err == nil:
		s.answered = append(s.answered, call.AttemptID)
	case ctx.Err() != nil:
		s.lostCauses = append(s.lostCauses, context.Cause(ctx))
	case errors.As(err, &failed) && failed.Outcome != target.NotRun && s.mayHaveRunAt == 0:
		s.mayHaveRunAt = len(s.sent)
	}
}

func notRun(retryAfterMS int64) *target.AttemptError {
	return &target.AttemptError{Step: target.StepHeaders, Outcome: target.NotRun, Reason: target.ReasonFull, RetryAfterMS: retryAfterMS}
}

var (
	lost        = &target.AttemptError{Step: target.StepHeaders, Outcome: target.Unknown, Reason: target.ReasonReset}
	unconnected = &target.AttemptError{Step: target.StepConnect, Outcome: target.NotRun, Reason: target.ReasonRefused}
)

// scripted is an executor before three targets that follow the script.
func scripted(s *script, budget retry.Config) *rig {
	r := &rig{budgets: retrybudget.New(budget)}
	table := routing.New(routing.Config{Instance: "test"})
	listed := []routing.Target{}
	for _, name := range []string{"a", "b", "c"} {
		listed = append(listed, routing.Target{Incarnation: name, Pool: rigPool, Address: name, Slots: 4})
	}
	objective := catalog.ObjectiveAttainment
	table.SetTargets(time.Now(), routing.Pool{Name: rigPool, Objective: objective, EjectionFloor: 1}, listed)
	gates := gate.NewGroup(gate.GroupConfig{Tiers: tiers.Config{}, FillOrdered: 1, FillPlain: 1}, time.Now)
	gates.SetCapacity(rigPool, 12, false)
	snapshot := &catalog.Snapshot{Pools: map[string]*catalog.Pool{rigPool: {Name: rigPool, Objective: objective}}}
	r.Executor = New(Options{
		Router: table, Targets: s, Gate: gates, Budgets: r.budgets,
		Times:  deadline.NewTimes(deadline.Config{}),
		Status: requests.New(requests.Options{MaxRequests: 16, Retention: time.Minute}),
		Config: func() *catalog.Snapshot { return snapshot },
	})
	return r
}

// Answers come late, twice or for nobody while attempts, retries and hedges are
// under way. The caller gets one answer in time, what may run once is never sent
// beside or behind a run, and nothing runs on for no one.
func TestRaceEndsOnce(t *testing.T) {
	faults := []*target.AttemptError{nil, notRun(0), notRun(3), lost, unconnected}
	rapid.Check(t, func(rt *rapid.T) {
		s := &script{}
		for range rapid.IntRange(0, 5).Draw(rt, "steps") {
			s.steps = append(s.steps, step{
				after: time.Duration(rapid.IntRange(0, 1500).Draw(rt, "after ms")) * time.Millisecond,
				err:   rapid.SampledFrom(faults).Draw(rt, "fault"),
			})
		}
		p := oneStage(rapid.Bool().Draw(rt, "repeatable"), false, 0)
		p.MaxAttempts = rapid.IntRange(1, 4).Draw(rt, "attempts")
		var got Result
		var err error
		inTime := false
		synctest.Test(t, func(*testing.T) {
			r := scripted(s, retry.Config{Reserve: 5})
			job := r.job(p, time.Second)
			got, err = r.do(job)
			inTime = !time.Now().After(job.Deadline)
			synctest.Wait()
		})
		require.True(rt, inTime, "ended after its deadline")
		require.Zero(rt, s.open, "an attempt runs on for no one")
		require.LessOrEqual(rt, len(s.sent), p.MaxAttempts)
		if !p.Stages[0].Repeatable {
			require.LessOrEqual(rt, s.most, 1, "sent beside itself")
			require.True(rt, s.mayHaveRunAt == 0 || s.mayHaveRunAt == len(s.sent), "sent again although it may have run")
		}
		if err == nil {
			require.Contains(rt, s.answered, got.Output)
			return
		}
		require.Empty(rt, s.answered, "an answer was lost: %v", err)
		var failure *Failure
		require.ErrorAs(rt, err, &failure)
		for _, end := range s.ended {
			var failed *target.AttemptError
			require.ErrorAs(rt, end, &failed)
			require.False(rt, failed.Outcome != target.NotRun && failure.Verdict == outcome.NotRun, "false not run")
		}
	})
}

// A target is silent, or full for a moment, and other targets of its pool are
// well. A caller sees the answer of one of them, soon; the work at the slow one
// is stopped.
func TestAttemptsInTime(t *testing.T) {
	const hour, learned = time.Hour, 20 * time.Millisecond // oneStage's expected time
	full := step{err: notRun(0)}
	cases := map[string]struct {
		once    bool
		steps   []step
		empty   bool            // no token is left
		within  []time.Duration // the latest start of each attempt
		reason  Reason          // of the failure, if any
		retried string          // why it was not sent again
		waits   bool            // before its retries
	}{
		"the hedge wins, the loser is cancelled": {steps: []step{{after: hour}, {}}, within: []time.Duration{0, 4 * learned}},
		"no hedge of what may run once":          {once: true, steps: []step{{after: 500 * time.Millisecond}}, within: []time.Duration{0}},
		"no hedge without a token":               {empty: true, steps: []step{{after: 500 * time.Millisecond}}, within: []time.Duration{0}},
		"a failure is followed at once":          {steps: []step{{err: lost}, {}}, within: []time.Duration{0, 0}},
		"a refusal after a back-off":             {once: true, waits: true, steps: []step{full, full, {}}, within: []time.Duration{0, 10 * time.Millisecond, 30 * time.Millisecond}},
		"no longer than the target asks":         {once: true, steps: []step{{err: notRun(2)}, {}}, within: []time.Duration{0, 2 * time.Millisecond}},
		"no retry without a token":               {empty: true, steps: []step{{err: lost}}, within: []time.Duration{0}, reason: ReasonTarget, retried: string(retry.ReasonBudgetUsedUp)},
		"no connection needs no token":           {empty: true, once: true, steps: []step{{err: unconnected}, {err: unconnected}, {}}, within: []time.Duration{0, 0, 0}},
		"full everywhere":                        {once: true, waits: true, steps: []step{full, full, {err: notRun(7)}}, within: []time.Duration{0, hour, hour}, reason: ReasonOverload, retried: string(retry.ReasonAttemptsUsedUp)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{steps: c.steps}
				r := scripted(s, retry.Config{Reserve: 5})
				for c.empty && (r.budgets.Retry(time.Now(), rigPool) || r.budgets.Hedge(time.Now(), rigPool)) {
					continue
				}
				start := time.Now()
				_, err := r.do(r.job(oneStage(!c.once, false, 0), time.Second))
				synctest.Wait()
				require.Zero(t, s.open)
				require.Len(t, s.sent, len(c.within))
				tried := map[string]bool{}
				for i, latest := range c.within {
					require.LessOrEqual(t, s.sent[i].Sub(start), latest, "attempt %d", i)
					require.False(t, tried[s.targets[i]], "sent to a tried target while others are left")
					tried[s.targets[i]] = true
				}
				require.False(t, c.waits && s.sent[len(s.sent)-1].Equal(start), "sent again at once")
				for _, cause := range s.lostCauses {
					require.ErrorIs(t, cause, errLostHedge)
				}
				if c.reason == "" {
					require.NoError(t, err)
					return
				}
				var failure *Failure
				require.ErrorAs(t, err, &failure)
				require.Equal(t, c.reason, failure.Reason)
				require.ErrorContains(t, err, c.retried)
			})
		})
	}
}

// brokenGate is a gate that fails in a way it does not promise to.
type brokenGate struct{ Gate }

func (brokenGate) Enter(context.Context, string, gate.Request) (*gate.Grant, error) {
	return nil, errors.New("gate is broken")
}

// The only target is silent until the deadline, while another stage waits for
// the answer; or the gate fails. An operator reads which stage and which target
// it was; a caller is never given an empty answer for a whole one.
func TestFailuresNameStageAndTarget(t *testing.T) {
	cases := map[string]struct {
		steps     []step
		gate      func(Gate) Gate
		reason    Reason
		stage     string
		attempted bool
	}{
		"silent until the deadline":             {steps: []step{{after: time.Hour}}, reason: ReasonDeadline, stage: "s", attempted: true},
		"a gate that fails":                     {gate: func(g Gate) Gate { return brokenGate{g} }, reason: ReasonFault, stage: "s"},
		"answered late, the next one never ran": {steps: []step{{after: 2 * time.Second, deaf: true}}, reason: ReasonDeadline, stage: "last"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{steps: c.steps}
				r := scripted(s, retry.Config{})
				if c.gate != nil {
					r.opts.Gate = c.gate(r.opts.Gate)
				}
				p := oneStage(false, false, 0)
				last := p.Stages[0]
				last.Name, last.After = "last", []int{1}
				p.Stages = []catalog.Stage{last, p.Stages[0]} // the one that fails is not the first of the list
				_, err := r.do(r.job(p, time.Second))
				synctest.Wait()
				var failure *Failure
				require.ErrorAs(t, err, &failure)
				require.Equal(t, c.reason, failure.Reason)
				require.Equal(t, c.stage, failure.Step)
				require.Equal(t, c.attempted, failure.Peer != "")
			})
		})
	}
}
