package execute

import (
	"context"
	"errors"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/retry"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
)

// errLostHedge is the cause with which an attempt is cancelled after the other one succeeded.
var errLostHedge = errors.New("another attempt answered first")

// runHedged runs an attempt and, if it is slow, a second one concurrently. It returns the
// first complete response and cancels the other attempt, which then releases its slot.
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

// maxConcurrentAttempts counts an attempt and its hedge.
const maxConcurrentAttempts = 2

// hedgeAfter returns the delay after which the hedge starts.
func (s *stageRun) hedgeAfter() time.Duration {
	_, p95 := s.opts.Times.Estimate(s.stageKey(s.index), s.stage.ExpectedDuration)
	return retry.HedgeDelay(p95, s.remainingTime(), s.attainmentFirst(s.stage.Pool))
}

// awaitHedged waits for the first complete response of the attempt and its hedge, which it
// starts when it is due. If all running attempts fail, it returns the last result.
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

// startHedge starts the second attempt and reports whether it did. It doesn't if there is no
// free slot, no further target or no budget.
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

// hedgeAttempt records an attempt at a target that was not tried yet. If it returns nil or
// panics, it releases the slot.
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
