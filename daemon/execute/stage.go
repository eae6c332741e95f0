package execute

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/retry"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// defaultMaxAttempts limits the attempts of a stage whose pipeline sets no limit.
const defaultMaxAttempts = 3

// stageRun is the state of one stage of a job.
type stageRun struct {
	*jobRun
	index  int
	stage  *catalog.Stage
	inputs []string
	rng    *rand.Rand
	// text and offset are the text and the number of the tokens delivered so far. A
	// resumed stream continues after them.
	text   strings.Builder
	offset int
	// tried holds the incarnations of the targets to which an attempt was sent.
	tried       []string
	attempts    *retry.Attempts
	preemptions int
	// lastAttemptNumber is the number of the latest attempt. Preempted ones count.
	lastAttemptNumber int

	output string
	tokens int
}

func newStageRun(r *jobRun, i int) *stageRun {
	s := &stageRun{
		jobRun: r,
		index:  i,
		stage:  &r.job.Pipeline.Stages[i],
		rng:    newRand(),
	}
	s.attempts = retry.NewAttempts(retry.Stage{
		Repeatable:  s.stage.Repeatable,
		Streaming:   s.streams(),
		Resumable:   s.stage.Resumable,
		MaxAttempts: s.maxAttempts(),
	})
	return s
}

// streams reports whether the stage's tokens are received as a stream: to pass them to the
// caller as they arrive, or to resume a stream that broke off.
func (s *stageRun) streams() bool {
	toCaller := s.job.OnToken != nil && s.isLast()
	return s.maxTokens(s.index) > 0 && (toCaller || s.stage.Resumable)
}

// isLast reports whether this is the last stage of the pipeline.
func (s *stageRun) isLast() bool { return s.index == len(s.job.Pipeline.Stages)-1 }

// execute sends the stage to targets until one returns a complete response or no further
// attempt is allowed. Its error is a *Failure.
func (s *stageRun) execute(ctx context.Context) error {
	for {
		result, err := s.runAttempt(ctx)
		if err != nil {
			return err
		}
		if result.err == nil {
			s.opts.Budgets.Succeeded(s.opts.Now(), s.stage.Pool)
			s.output = result.response.Output
			s.tokens = result.response.Tokens
			return nil
		}
		if err := s.awaitRetry(ctx, result); err != nil {
			return err
		}
	}
}

// runAttempt waits for a slot, picks a target and runs one attempt. If the stage may be
// hedged and the attempt is slow, it starts a second one.
func (s *stageRun) runAttempt(ctx context.Context) (attemptResult, error) {
	request := s.gateRequest()
	grant, err := s.opts.Gate.Enter(ctx, s.stage.Pool, request)
	if err != nil {
		return attemptResult{}, s.gateFailure(ctx, err)
	}
	first, failure := s.firstAttempt(grant)
	if failure != nil {
		return attemptResult{}, failure
	}
	if s.attempts.MayHedge() {
		return s.runHedged(ctx, first, grant, request), nil
	}
	return s.runPreemptible(ctx, first, grant), nil
}

// firstAttempt picks the target of an attempt that is not a hedge, claims the dispatch of a
// stage that is not repeatable, and records the attempt. If it returns no attempt or
// panics, it releases the slot.
func (s *stageRun) firstAttempt(grant *gate.Grant) (first *attempt, failure *Failure) {
	defer func() {
		if first == nil {
			grant.Release()
		}
	}()
	if failure := s.checkContent(s.stage.Name); failure != nil {
		return nil, failure
	}
	choice, failure := s.pick()
	if failure != nil {
		return nil, failure
	}
	if !s.stage.Repeatable {
		if err := s.claimDispatch(); err != nil {
			return nil, s.newFailure(ReasonClaim, choice.Target.Address, err)
		}
	}
	first, err := s.newAttempt(choice)
	if err != nil {
		return nil, s.newFailure(ReasonDeadline, choice.Target.Address, err)
	}
	return first, nil
}

// errPreempted cancels an attempt in favour of a higher tier.
var errPreempted = errors.New("preempted by a higher tier")

// runPreemptible runs an attempt that may be preempted by a higher tier. It releases the
// slot only after the attempt has ended, so that the target's slot is free as well.
func (s *stageRun) runPreemptible(ctx context.Context, a *attempt, grant *gate.Grant) attemptResult {
	defer grant.Release()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-grant.Preempted():
			cancel(errPreempted)
		case <-ctx.Done():
		}
	}()
	result := a.run(ctx)
	result.preempted = result.err != nil && errors.Is(context.Cause(ctx), errPreempted)
	if result.preempted {
		s.preemptions++
		s.tried = s.tried[:len(s.tried)-1]
	}
	return result
}

// maxProbeWait limits how long a probe may take to get a slot. It covers only the time
// until the probe arrives at the gate.
const maxProbeWait = 20 * time.Millisecond

func (s *stageRun) gateRequest() gate.Request {
	now := s.opts.Now()
	latestStart := s.stageBudget(now, s.index).LatestStart
	if s.probe {
		// By the learned times, which the probe is to correct, its latest start has
		// passed. It runs if a slot is free and doesn't wait for one.
		latestStart = now.Add(maxProbeWait)
	}
	return gate.Request{
		Rank:        s.rank,
		LatestStart: latestStart,
		Resumable:   s.stage.Repeatable && s.stage.Resumable && s.streams(),
		Preemptions: s.preemptions,
	}
}

func (s *stageRun) gateFailure(ctx context.Context, err error) *Failure {
	var refused *gate.RefusedError
	if !errors.As(err, &refused) {
		return s.interruptedFailure(ctx, "", err)
	}
	reason := ReasonOverload
	if refused.Reason == tiers.ReasonTooLate {
		reason = ReasonDeadline
	}
	f := s.newFailure(reason, "", err)
	f.RetryAfter = refused.RetryAfter
	return f
}

func (s *stageRun) maxAttempts() int {
	if n := s.job.Pipeline.MaxAttempts; n > 0 {
		return n
	}
	return defaultMaxAttempts
}

func (s *stageRun) newFailure(reason Reason, peer string, cause error) *Failure {
	return &Failure{Reason: reason, Step: s.stage.Name, Peer: peer, Cause: cause}
}

// interruptedFailure returns the failure of a stage that err ended. This is usually the end
// of its context: the deadline passed, the caller disconnected or another stage failed.
func (s *stageRun) interruptedFailure(ctx context.Context, peer string, err error) *Failure {
	if ctx.Err() == nil {
		return s.newFailure(ReasonFault, peer, err)
	}
	f := s.asFailure(ctx, ctx.Err())
	f.Step = s.stage.Name
	f.Peer = peer
	return f
}

// nextAttemptID counts an attempt and returns its ID, which is unique within the request.
func (s *stageRun) nextAttemptID() string {
	s.attempts.AddAttempt()
	s.lastAttemptNumber++
	return s.job.ID + "/" + s.stage.Name + "/" + strconv.Itoa(s.lastAttemptNumber)
}

// remainingTime returns the time until the job's deadline.
func (s *stageRun) remainingTime() time.Duration { return s.job.Deadline.Sub(s.opts.Now()) }
