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

// defaultMaxAttempts bounds the attempts of a stage whose pipeline names none.
const defaultMaxAttempts = 3

// stageRun is the state of one stage of a job.
type stageRun struct {
	*jobRun
	index  int
	stage  *catalog.Stage
	inputs []string
	rng    *rand.Rand
	// text and offset are the tokens that were delivered so far: a resumed
	// stream goes on behind them.
	text   strings.Builder
	offset int
	// tried holds the incarnations that an attempt was sent to.
	tried       []string
	attempts    *retry.Attempts
	preemptions int
	// serial numbers the attempts, preempted ones too.
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

// streams tells whether this stage's tokens go to the caller as they come, or
// can be kept so that a broken stream resumes.
func (s *stageRun) streams() bool {
	toCaller := s.job.OnToken != nil && s.isLast()
	return s.maxTokens(s.index) > 0 && (toCaller || s.stage.Resumable)
}

func (s *stageRun) isLast() bool { return s.index == len(s.job.Pipeline.Stages)-1 }

// execute sends the stage to targets until one answers whole or nothing more may
// be tried. Its error is a *Failure.
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

// turn waits for the gate, picks a target and makes one attempt, with a hedge
// beside it where it is slow and may run twice.
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

// firstAttempt picks the target of a turn's first attempt, asks for leave to
// send what may not be repeated, and enters the attempt. Without an attempt, be
// it by a panic, the slot is given back.
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

// doPreemptible makes an attempt that a higher tier may interrupt. The slot is
// given back only once the attempt has ended, so that it is truly free.
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

// probeWait is how long a probe waits for a slot: the time to get to the gate.
const maxProbeWait = 20 * time.Millisecond

func (s *stageRun) gateRequest() gate.Request {
	now := s.opts.Now()
	latest := s.stageBudget(now, s.index).LatestStart
	if s.probe {
		// The times that a probe is to correct have let its latest start pass:
		// it goes if a slot is free, and waits for none.
		latest = now.Add(maxProbeWait)
	}
	return gate.Request{
		Rank:        s.rank,
		LatestStart: latest,
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

// unfinished is the failure of a stage that err stopped, mostly the end of its
// context: the deadline passed, the caller went away or another stage failed.
func (s *stageRun) interruptedFailure(ctx context.Context, peer string, err error) *Failure {
	if ctx.Err() == nil {
		return s.newFailure(ReasonFault, peer, err)
	}
	f := s.asFailure(ctx, ctx.Err())
	f.Step = s.stage.Name
	f.Peer = peer
	return f
}

// nextAttempt makes the id of the next attempt; it is unique to the request.
func (s *stageRun) nextAttemptID() string {
	s.attempts.AddAttempt()
	s.lastAttemptNumber++
	return s.job.ID + "/" + s.stage.Name + "/" + strconv.Itoa(s.lastAttemptNumber)
}

// left is what is left of the job's deadline.
func (s *stageRun) remainingTime() time.Duration { return s.job.Deadline.Sub(s.opts.Now()) }
