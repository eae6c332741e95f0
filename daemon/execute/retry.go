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

// beforeRetry decides whether a failed attempt is followed by another one, pays
// for it and waits until it is due. Its error ends the stage.
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

// noConnection tells whether an attempt ended before it had a connection.
func noConnection(err error) bool {
	var failed *target.AttemptError
	return errors.As(err, &failed) && failed.Outcome == target.NotRun && failed.Step == target.StepConnect
}

// targetFailure tells how the last attempt ended, and why it was the last.
func (s *stageRun) targetFailure(result attemptResult, why retry.Reason) *Failure {
	f := s.newFailure(ReasonTarget, result.peer, fmt.Errorf("%w (no retry: %s)", result.err, why))
	f.RetryAfter = result.retryAfter
	if result.verdict == outcome.NotRun && f.RetryAfter > 0 {
		f.Reason = ReasonOverload
	}
	return f
}

// wait blocks for the delay or until the context's end, whose error it returns.
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
