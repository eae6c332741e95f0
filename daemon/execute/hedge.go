package execute

import (
	"context"
	"errors"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/retry"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
)

// errLostHedge cancels the attempt whose answer came second.
var errLostHedge = errors.New("another attempt answered first")

// doHedged makes an attempt and, where it is late, a second one beside it. The
// first whole answer wins; the other attempt is cancelled so that it frees its
// slot.
func (s *stageRun) runHedged(ctx context.Context, first *attempt, grant *gate.Grant, request gate.Request) attemptResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errLostHedge)
	results := make(chan attemptResult, maxConcurrentAttempts)
	go func() {
		defer grant.Release()
		results <- first.run(ctx)
	}()
	return s.awaitHedged(ctx, results, request)
}

// maxParallel is an attempt and its hedge.
const maxConcurrentAttempts = 2

func (s *stageRun) hedgeAfter() time.Duration {
	_, p95 := s.opts.Times.Estimate(s.stageKey(s.index), s.stage.ExpectedDuration)
	return retry.HedgeDelay(p95, s.remainingTime(), s.attainmentFirst(s.stage.Pool))
}

// race waits for the first whole answer among the attempt and its hedge.
func (s *stageRun) awaitHedged(ctx context.Context, results chan attemptResult, request gate.Request) attemptResult {
	timer := time.NewTimer(s.hedgeAfter())
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
	if !s.attempts.MayHedge() {
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
		results <- second.run(ctx)
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
	choice, failure := s.pickUntried()
	if failure != nil {
		return nil
	}
	if !s.opts.Budgets.TakeHedge(s.opts.Now(), s.stage.Pool) {
		return nil
	}
	second, err := s.newAttempt(choice)
	if err != nil {
		return nil
	}
	return second
}
