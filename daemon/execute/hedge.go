package execute

import (
	"context"
	"errors"
	"time"

	"github.com/ivyhollow/ivyhollow/daemon/gate"
)

// errLostHedge cancels the attempt whose answer came second.
var errLostHedge = errors.New("another attempt answered first")

// doHedged makes an attempt and, where it is late, a second one beside it. The
// first whole answer wins; the other attempt is cancelled so that it frees its
// slot. The tail a hedge cuts is that of Dean and Barroso, "The Tail at Scale"
// (2013).
func (s *stageRun) doHedged(ctx context.Context, first *attempt, grant *gate.Grant, request gate.Request) attemptResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errLostHedge)
	results := make(chan attemptResult, maxParallel)
	go func() {
		defer grant.Release()
		results <- first.do(ctx)
	}()
	return s.race(ctx, results, request)
}

// maxParallel is an attempt and its hedge.
const maxParallel = 2

// mayHedge tells whether a second attempt is allowed at all. A stream is never
// hedged: two runs' tokens must not mix.
func (s *stageRun) mayHedge() bool {
	return s.stage.Repeatable && !s.streams()
}

// rescueFactor is how many times its usual 95th percentile an attempt may take
// in a pool that weighs cost first before a second one is started.
const rescueFactor = 4

// hedgeDelay is how long the first attempt is left alone. A pool that weighs
// attainment first hedges the slowest of twenty; one that weighs cost first
// only rescues: a target that went silent would else hold the request until its
// deadline. Half of what is left is always kept for the second attempt.
func (s *stageRun) hedgeDelay() time.Duration {
	_, delay := s.opts.Times.Estimate(s.stageKey(s.index), s.stage.Expected)
	if !s.attainmentFirst(s.stage.Pool) {
		delay *= rescueFactor
	}
	return min(delay, s.left()/2)
}

// race waits for the first whole answer among the attempt and its hedge.
func (s *stageRun) race(ctx context.Context, results chan attemptResult, request gate.Request) attemptResult {
	timer := time.NewTimer(s.hedgeDelay())
	defer timer.Stop()
	running := 1
	for {
		select {
		case result := <-results:
			running--
			if result.err == nil || running == 0 {
				return result
			}
		case <-timer.C:
			if s.startHedge(ctx, results, request) {
				running++
			}
		}
	}
}

// startHedge sends the second attempt, unless a slot or the budget is missing.
func (s *stageRun) startHedge(ctx context.Context, results chan<- attemptResult, request gate.Request) bool {
	if s.attempts >= s.maxAttempts() {
		return false
	}
	grant, ok := s.opts.Gate.TryEnter(s.stage.Pool, request)
	if !ok {
		return false
	}
	second := s.hedgeAttempt(grant)
	if second == nil {
		return false
	}
	go func() {
		defer grant.Release()
		results <- second.do(ctx)
	}()
	return true
}

// hedgeAttempt enters an attempt at a target that was not tried yet. Without
// one, be it by a panic, the slot is given back.
func (s *stageRun) hedgeAttempt(grant *gate.Grant) (second *attempt) {
	defer func() {
		if second == nil {
			grant.Release()
		}
	}()
	choice, failure := s.pickOther()
	if failure != nil {
		return nil
	}
	if !s.opts.Spender.Hedge(s.opts.Now(), s.stage.Pool) {
		return nil
	}
	second, err := s.newAttempt(choice)
	if err != nil {
		return nil
	}
	return second
}
