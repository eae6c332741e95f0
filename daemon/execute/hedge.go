package execute

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

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
	return retry.HedgeDelay(s.p95(), s.remainingTime(), s.attainmentFirst(s.stage.Pool))
}

// p95 returns the learned 95th percentile of the stage's duration.
func (s *stageRun) p95() time.Duration {
	_, p95 := s.opts.Times.Estimate(s.stageKey(s.index), s.stage.ExpectedDuration)
	return p95
}

// awaitHedged waits for the first complete response of the attempt and its hedge, which it
// starts when it is due or, if that isn't possible then, as soon as it is. If all running
// attempts fail, it returns the last result.
func (s *stageRun) awaitHedged(ctx context.Context, results chan attemptResult, request gate.Request) attemptResult {
	began := s.opts.Now()
	delay := s.hedgeAfter()
	timer := time.NewTimer(delay)
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
			if s.startHedge(ctx, results, request, began) {
				running++
				continue
			}
			next, again := retry.NextHedgeDelay(delay, s.p95(), s.remainingTime())
			if again && s.attempts.MayHedge() {
				delay = next
				timer.Reset(delay)
			}
		}
	}
}

// startHedge starts the second attempt and reports whether it did. It doesn't if there is no
// free slot, no further target or no budget.
func (s *stageRun) startHedge(ctx context.Context, results chan<- attemptResult, request gate.Request, began time.Time) bool {
	if !s.attempts.MayHedge() {
		return false
	}
	grant, ok := s.opts.Gate.TryEnter(s.stage.Pool, request)
	if !ok {
		return false
	}
	second := s.hedgeAttempt(grant, began)
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
func (s *stageRun) hedgeAttempt(grant *gate.Grant, began time.Time) (second *attempt) {
	defer func() {
		if second == nil {
			grant.Release()
		}
	}()
	choice, failure := s.pickUntried()
	if failure != nil {
		return nil
	}
	if !s.payForHedge(began) {
		klog.V(1).InfoS("Hedge not sent, the budget is used up", "request", s.job.ID, "pool", s.stage.Pool, "tried", s.tried)
		return nil
	}
	second, err := s.newAttempt(choice)
	if err != nil {
		return nil
	}
	return second
}

// payForHedge takes the price of a second attempt from the budget of hedges or, if the first
// attempt appears stuck, from that of retries.
func (s *stageRun) payForHedge(began time.Time) bool {
	now := s.opts.Now()
	if s.opts.Budgets.TakeHedge(now, s.stage.Pool) {
		return true
	}
	return retry.Stuck(s.p95(), now.Sub(began)) && s.opts.Budgets.TakeRetry(now, s.stage.Pool)
}
