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

// step is the result of one attempt and the time after which it ends.
type step struct {
	after         time.Duration
	err           *target.AttemptError // nil means a complete response
	ignoresCancel bool                 // the attempt goes on after its context is cancelled
}

// scriptedCaller is a Caller whose n-th attempt ends as described by the n-th step. Attempts
// after the last step are refused at once.
type scriptedCaller struct {
	steps []step

	mu                    sync.Mutex
	inFlight, maxInFlight int
	sent                  []time.Time
	targets               []string
	ended                 []error
	answered              []string
	cancelCauses          []error
	sentWhenMayHaveRun    int // number of attempts sent when the first one that may have run ended
}

func (s *scriptedCaller) Run(ctx context.Context, call target.Call) (targetapi.RunResponse, target.ResponseMeta, error) {
	next := s.begin(call)
	var err error
	cancelled := ctx.Done()
	if next.ignoresCancel {
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
	return targetapi.RunResponse{Output: call.AttemptID}, target.ResponseMeta{}, err
}

// Stream ends an attempt that is silent for its HeaderTimeout.
func (s *scriptedCaller) Stream(ctx context.Context, call target.Call, _ func(int, string) error) (targetapi.RunResponse, target.ResponseMeta, error) {
	ctx, cancel := context.WithTimeout(ctx, call.HeaderTimeout)
	defer cancel()
	return s.Run(ctx, call)
}

func (s *scriptedCaller) begin(call target.Call) step {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.sent)
	s.sent = append(s.sent, time.Now())
	s.targets = append(s.targets, call.Incarnation)
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	if n < len(s.steps) {
		return s.steps[n]
	}
	return step{err: notRun(0)}
}

func (s *scriptedCaller) end(ctx context.Context, call target.Call, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.ended = append(s.ended, err)
	var failed *target.AttemptError
	switch {
	case err == nil:
		s.answered = append(s.answered, call.AttemptID)
	case ctx.Err() != nil:
		s.cancelCauses = append(s.cancelCauses, context.Cause(ctx))
	case errors.As(err, &failed) && failed.Outcome != target.NotRun && s.sentWhenMayHaveRun == 0:
		s.sentWhenMayHaveRun = len(s.sent)
	}
}

func notRun(retryAfterMS int64) *target.AttemptError {
	return &target.AttemptError{Step: target.StepHeaders, Outcome: target.NotRun, Reason: target.ReasonFull, RetryAfterMS: retryAfterMS}
}

var (
	connectionReset = &target.AttemptError{Step: target.StepHeaders, Outcome: target.Unknown, Reason: target.ReasonReset}
	notConnected    = &target.AttemptError{Step: target.StepConnect, Outcome: target.NotRun, Reason: target.ReasonRefused}
)

// newScriptedRig returns a rig with three targets whose attempts end as scripted.
func newScriptedRig(s *scriptedCaller, budget retry.Config) *rig {
	r := &rig{budgets: retrybudget.New(budget)}
	table := routing.New(routing.Config{Instance: "test"})
	listed := []routing.Target{}
	for _, name := range []string{"a", "b", "c"} {
		listed = append(listed, routing.Target{Incarnation: name, Pool: rigPool, Address: name, Slots: 4})
	}
	objective := catalog.ObjectiveAttainment
	table.SetTargets(time.Now(), routing.Pool{Name: rigPool, Objective: objective, EjectionFloor: 1}, listed)
	gates := gate.NewGroup(gate.GroupConfig{Tiers: tiers.Config{}, OvercommitOrdered: 1, OvercommitUnordered: 1}, time.Now)
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

// Responses arrive late, twice or after the caller's request has ended, while attempts, retries
// and hedges are in flight. The caller must get one response before the deadline. A stage that
// is not repeatable must not be sent while an attempt is in flight or after one that may have
// run, and no attempt may outlive the request.
func TestAttemptsEndInOneResponse(t *testing.T) {
	faults := []*target.AttemptError{nil, notRun(0), notRun(3), connectionReset, notConnected}
	rapid.Check(t, func(rt *rapid.T) {
		s := &scriptedCaller{}
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
			r := newScriptedRig(s, retry.Config{Reserve: 5})
			job := r.job(p, time.Second)
			got, err = r.do(job)
			inTime = !time.Now().After(job.Deadline)
			synctest.Wait()
		})
		require.True(rt, inTime, "ended after its deadline")
		require.Zero(rt, s.inFlight, "an attempt outlived the request")
		require.LessOrEqual(rt, len(s.sent), p.MaxAttempts)
		if !p.Stages[0].Repeatable {
			require.LessOrEqual(rt, s.maxInFlight, 1, "two attempts in flight")
			require.True(rt, s.sentWhenMayHaveRun == 0 || s.sentWhenMayHaveRun == len(s.sent), "sent again although it may have run")
		}
		if err == nil {
			require.Contains(rt, s.answered, got.Output)
			return
		}
		require.Empty(rt, s.answered, "a response was lost: %v", err)
		var failure *Failure
		require.ErrorAs(rt, err, &failure)
		for _, end := range s.ended {
			var failed *target.AttemptError
			require.ErrorAs(rt, end, &failed)
			require.False(rt, failed.Outcome != target.NotRun && failure.Verdict == outcome.NotRun, "false not run")
		}
	})
}

// A target doesn't respond, or is full for a moment, while other targets of its pool work. The
// caller must get the response of one of them soon, and the attempt at the slow one must be
// cancelled.
func TestAttemptTiming(t *testing.T) {
	const hour, learned = time.Hour, 20 * time.Millisecond // oneStage's expected time
	full := step{err: notRun(0)}
	cases := map[string]struct {
		once    bool // the stage isn't repeatable
		steps   []step
		empty   bool            // the retry budget is empty
		within  []time.Duration // the latest start of each attempt
		reason  Reason          // the reason of the failure; empty if the job succeeds
		noRetry string          // the reason why a failed attempt wasn't retried
		waits   bool            // the retries aren't sent at once
	}{
		"the hedge wins, the loser is cancelled":  {steps: []step{{after: hour}, {}}, within: []time.Duration{0, 4 * learned}},
		"no hedge if not repeatable":              {once: true, steps: []step{{after: 500 * time.Millisecond}}, within: []time.Duration{0}},
		"no hedge without budget":                 {empty: true, steps: []step{{after: 500 * time.Millisecond}}, within: []time.Duration{0}},
		"a failure is retried at once":            {steps: []step{{err: connectionReset}, {}}, within: []time.Duration{0, 0}},
		"a refusal is retried after a backoff":    {once: true, waits: true, steps: []step{full, full, {}}, within: []time.Duration{0, 10 * time.Millisecond, 30 * time.Millisecond}},
		"no longer than the target's Retry-After": {once: true, steps: []step{{err: notRun(2)}, {}}, within: []time.Duration{0, 2 * time.Millisecond}},
		"no retry without budget":                 {empty: true, steps: []step{{err: connectionReset}}, within: []time.Duration{0}, reason: ReasonTarget, noRetry: string(retry.ReasonBudgetUsedUp)},
		"no connection needs no budget":           {empty: true, once: true, steps: []step{{err: notConnected}, {err: notConnected}, {}}, within: []time.Duration{0, 0, 0}},
		"full everywhere":                         {once: true, waits: true, steps: []step{full, full, {err: notRun(7)}}, within: []time.Duration{0, hour, hour}, reason: ReasonOverload, noRetry: string(retry.ReasonAttemptsUsedUp)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedCaller{steps: c.steps}
				r := newScriptedRig(s, retry.Config{Reserve: 5})
				for c.empty && (r.budgets.TakeRetry(time.Now(), rigPool) || r.budgets.TakeHedge(time.Now(), rigPool)) {
					continue
				}
				start := time.Now()
				_, err := r.do(r.job(oneStage(!c.once, false, 0), time.Second))
				synctest.Wait()
				require.Zero(t, s.inFlight)
				require.Len(t, s.sent, len(c.within))
				tried := map[string]bool{}
				for i, latest := range c.within {
					require.LessOrEqual(t, s.sent[i].Sub(start), latest, "attempt %d", i)
					require.False(t, tried[s.targets[i]], "sent to a tried target although others remain")
					tried[s.targets[i]] = true
				}
				require.False(t, c.waits && s.sent[len(s.sent)-1].Equal(start), "sent again at once")
				for _, cause := range s.cancelCauses {
					require.ErrorIs(t, cause, errLostHedge)
				}
				if c.reason == "" {
					require.NoError(t, err)
					return
				}
				var failure *Failure
				require.ErrorAs(t, err, &failure)
				require.Equal(t, c.reason, failure.Reason)
				require.ErrorContains(t, err, c.noRetry)
			})
		})
	}
}

// A target stops responding while hedges against slow targets have used up their budget. The
// request must not wait for its deadline: the attempt counts as failed and is retried elsewhere,
// or hedged once the budget allows it.
func TestStuckAttemptIsReplaced(t *testing.T) {
	const stuckAfter = 4 * 30 * time.Millisecond // four times the 95th percentile of an unknown stage of 20 ms
	for name, c := range map[string]struct {
		retries  bool          // the budget of retries isn't empty
		earnedAt time.Duration // when successes earn tokens
		within   time.Duration // the latest start of the second attempt
	}{
		"paid as a retry":                {retries: true, earnedAt: time.Hour, within: 2 * stuckAfter},
		"paid as soon as it is possible": {earnedAt: 200 * time.Millisecond, within: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedCaller{steps: []step{{after: time.Hour}, {}}}
				r := newScriptedRig(s, retry.Config{Reserve: 5})
				for r.budgets.TakeHedge(time.Now(), rigPool) || !c.retries && r.budgets.TakeRetry(time.Now(), rigPool) {
					continue
				}
				earn := time.AfterFunc(c.earnedAt, func() {
					for range 40 {
						r.budgets.Succeeded(time.Now(), rigPool)
					}
				})
				defer earn.Stop()
				start := time.Now()
				_, err := r.do(r.job(oneStage(true, false, 0), 6*time.Second))
				require.NoError(t, err)
				synctest.Wait()
				require.Len(t, s.sent, 2)
				require.LessOrEqual(t, s.sent[1].Sub(start), c.within)
			})
		})
	}
}

// Guards against a stream that is given up for its target's silence although no other attempt may follow.
func TestLastAttemptOutlivesItsSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedCaller{steps: []step{{err: connectionReset}, {after: 700 * time.Millisecond}}}
		r := newScriptedRig(s, retry.Config{Reserve: 5})
		p := oneStage(true, true, rigTokens)
		p.MaxAttempts = 2
		_, err := r.do(r.job(p, time.Second))
		require.NoError(t, err)
		require.Len(t, s.sent, 2)
	})
}

// brokenGate is a gate that fails with an error that isn't a *gate.RefusedError.
type brokenGate struct{ Gate }

func (brokenGate) Enter(context.Context, string, gate.Request) (*gate.Grant, error) {
	return nil, errors.New("gate is broken")
}

// A target doesn't respond until the deadline while another stage waits for its output, or the
// gate fails. The failure must name the stage and the target, and the caller must never get an
// empty response instead of a failure.
func TestFailuresNameStageAndTarget(t *testing.T) {
	cases := map[string]struct {
		steps     []step
		gate      func(Gate) Gate
		reason    Reason
		stage     string
		attempted bool
	}{
		"no response until the deadline":                    {steps: []step{{after: time.Hour}}, reason: ReasonDeadline, stage: "s", attempted: true},
		"a gate that fails":                                 {gate: func(g Gate) Gate { return brokenGate{g} }, reason: ReasonFault, stage: "s"},
		"response after the deadline, last stage never ran": {steps: []step{{after: 2 * time.Second, ignoresCancel: true}}, reason: ReasonDeadline, stage: "last"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedCaller{steps: c.steps}
				r := newScriptedRig(s, retry.Config{})
				if c.gate != nil {
					r.opts.Gate = c.gate(r.opts.Gate)
				}
				p := oneStage(false, false, 0)
				last := p.Stages[0]
				last.Name, last.After = "last", []int{1}
				p.Stages = []catalog.Stage{last, p.Stages[0]} // the stage that fails is not the first of the list
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
