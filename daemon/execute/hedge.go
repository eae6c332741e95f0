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
//
// The attempt runs on the stage's own goroutine: nearly all answers come before
// a hedge is due, and none of them pays for a goroutine and its hand-over.
func (s *stageRun) doHedged(ctx context.Context, first *attempt, grant *gate.Grant, request gate.Request) attemptResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errLostHedge)
	hedged := make(chan *attemptResult, 1)
	timer := time.AfterFunc(s.hedgeDelay(), func() {
		result := s.doHedge(ctx, request)
		if result != nil && result.err == nil {
			cancel(errLostHedge)
		}
		hedged <- result
	})
	result := s.doFirst(ctx, first, grant)
	if timer.Stop() || result.err == nil {
		return result
	}
	if other := <-hedged; other != nil {
		return *other
	}
	return result
}

func (s *stageRun) doFirst(ctx context.Context, first *attempt, grant *gate.Grant) attemptResult {
	defer grant.Release()
	return first.do(ctx)
}

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

// doHedge makes the second attempt, or none where a slot or the budget is
// missing.
func (s *stageRun) doHedge(ctx context.Context, request gate.Request) *attemptResult {
	if s.attempts >= s.maxAttempts() || ctx.Err() != nil {
		return nil
	}
	grant, ok := s.opts.Gate.TryEnter(s.stage.Pool, request)
	if !ok {
		return nil
	}
	defer grant.Release()
	second := s.hedgeAttempt()
	if second == nil {
		return nil
	}
	result := second.do(ctx)
	return &result
}

func (s *stageRun) hedgeAttempt() *attempt {
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
