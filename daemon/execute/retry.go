package execute

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/outcome"
	"github.com/ivyhollow/ivyhollow/coordination/retry"
	"github.com/ivyhollow/ivyhollow/transport/target"
)

// awaitRetry decides whether a failed attempt is followed by another one, pays for it from
// the retry budget and waits until it is due. If it returns an error, the stage ends.
func (s *stageRun) awaitRetry(ctx context.Context, result attemptResult) error {
	if ctx.Err() != nil {
		return s.interruptedFailure(ctx, result.peer, ctx.Err())
	}
	now := s.opts.Now()
	decision := s.attempts.AfterFailure(now, s.stageBudget(now, s.index).LatestStart, s.rng, retry.Failure{
		Kind:            retryResult(result),
		RetryAfter:      result.retryAfter,
		TokensDelivered: s.offset > 0,
	})
	if !decision.Retry {
		return s.targetFailure(result, decision.Reason)
	}
	if decision.UsesBudget && !s.opts.Budgets.TakeRetry(now, s.stage.Pool) {
		return s.targetFailure(result, retry.ReasonBudgetUsedUp)
	}
	if err := sleep(ctx, decision.Delay); err != nil {
		return s.interruptedFailure(ctx, result.peer, err)
	}
	return nil
}

func retryResult(result attemptResult) retry.FailureKind {
	switch {
	case result.preempted:
		return retry.Preempted
	case result.verdict != outcome.NotRun:
		return retry.Failed
	case noConnection(result.err):
		return retry.NoConnection
	default:
		return retry.Refused
	}
}

// noConnection reports whether an attempt failed before it had a connection.
func noConnection(err error) bool {
	var failed *target.AttemptError
	return errors.As(err, &failed) && failed.Outcome == target.NotRun && failed.Step == target.StepConnect
}

// targetFailure returns the failure of a stage whose last attempt had the given result.
// noRetry is why no further attempt follows.
func (s *stageRun) targetFailure(result attemptResult, noRetry retry.Reason) *Failure {
	f := s.newFailure(ReasonTarget, result.peer, fmt.Errorf("%w (no retry: %s)", result.err, noRetry))
	f.RetryAfter = result.retryAfter
	if result.verdict == outcome.NotRun && f.RetryAfter > 0 {
		f.Reason = ReasonOverload
	}
	return f
}

// sleep waits for the delay. If the context ends first, it returns the context's error.
func sleep(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
