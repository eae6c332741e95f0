package execute

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/outcome"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
	"github.com/ivyhollow/ivyhollow/state/requests"
	"github.com/ivyhollow/ivyhollow/transport/target"
)

// assumedLoadAge is the assumed age of the load report in a response's headers, since
// targets don't send its age. If the report counted as new, it would override the attempts
// that are known to have been sent since the target wrote it.
const assumedLoadAge = 300 * time.Millisecond

// errSealed prevents a dispatch after the request's final response.
var errSealed = errors.New("the request has had its final answer")

// attemptResult is the result of one attempt.
type attemptResult struct {
	response   targetapi.RunResponse
	peer       string
	err        error
	verdict    outcome.Verdict
	retryAfter time.Duration
	// preempted is true if the attempt was cancelled in favour of a higher tier. The
	// stage resumes later after the tokens it has.
	preempted bool
}

// attempt is one attempt in flight.
type attempt struct {
	*stageRun
	id             string
	choice         routing.Choice
	started        time.Time
	routingAttempt *routing.Attempt
	// number identifies the attempt in the status of its request.
	number int
	// stream is true if tokens are delivered as they arrive.
	stream bool
}

// newAttempt records an attempt in the ledgers before anything is sent.
func (s *stageRun) newAttempt(choice routing.Choice) (*attempt, error) {
	if !s.ledger.Dispatch() {
		return nil, errSealed
	}
	if !s.stage.Repeatable {
		s.nonRepeatable.Dispatch() // sealed after the ledger, so it can't be sealed here
	}
	s.tried = append(s.tried, choice.Target.Incarnation)
	now := s.opts.Now()
	a := &attempt{
		stageRun: s,
		id:       s.nextAttemptID(),
		choice:   choice,
		started:  now,
		stream:   s.streams(),
	}
	a.number = s.opts.Status.StartAttempt(s.job.Ref, requests.AttemptStart{
		Stage: s.index, ID: a.id, Target: choice.Target.Address, At: now,
	})
	a.routingAttempt = s.opts.Router.Started(now, choice.Target.Incarnation, 0)
	return a, nil
}

// unknownResult returns the result of an attempt that may have run.
func unknownResult(peer string, err error) attemptResult {
	return attemptResult{peer: peer, err: err, verdict: outcome.Unknown}
}

// run sends the attempt, settles it in the ledgers and records its result.
func (a *attempt) run(ctx context.Context) (result attemptResult) {
	defer a.recoverPanic(&result)
	call := a.call()
	response, meta, err := a.send(ctx, call)
	a.recordCrash(ctx, err)
	result = attemptResult{response: response, peer: call.Address, err: err}
	a.setVerdict(&result)
	a.ledger.Settle(result.verdict)
	if !a.stage.Repeatable {
		a.nonRepeatable.Settle(result.verdict)
	}
	a.recordResult(ctx, meta, &result)
	return result
}

// send makes the call. It recovers from a panic that the response causes, so that the
// attempt is settled and the router is notified of its end.
func (a *attempt) send(ctx context.Context, call target.Call) (response targetapi.RunResponse, meta target.ResponseMeta, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("attempt %s at %s panicked: %v", a.id, call.Address, cause)
			a.logPanic(err, call.Address)
		}
	}()
	if a.stream {
		return a.opts.Targets.Stream(ctx, call, a.deliver)
	}
	return a.opts.Targets.Run(ctx, call)
}

func (a *attempt) call() target.Call {
	return target.Call{
		HeaderTimeout: a.headerTimeout(),
		EndsIfSilent:  func() bool { return a.attempts.MayRetry(a.offset > 0) },
		Address:       a.choice.Target.Address,
		Incarnation:   a.choice.Target.Incarnation,
		AttemptID:     a.id,
		RequestID:     a.job.ID,
		Deadline:      a.job.Deadline,
		Priority:      a.job.Tier.EnginePriority,
		Tier:          a.job.Tier.Name,
		Run: targetapi.RunRequest{
			Stage:      a.stage.Name,
			Inputs:     a.inputs,
			Model:      a.stage.Model,
			Adapter:    a.stage.Adapter,
			MaxTokens:  a.maxTokens(a.index),
			Prefix:     targetParts(a.prefix()),
			ResumeFrom: a.offset,
		},
	}
}

// headerTimeout limits the wait for the first byte of a repeatable stream to half of the
// remaining time, so that after a target that doesn't respond there is time for another
// one. Attempts that no other one may follow may wait until the deadline: an earlier timeout
// would lose a late response and, for a stage that is not repeatable, make its outcome unknown.
func (a *attempt) headerTimeout() time.Duration {
	if a.stream && a.attempts.MayRetry(a.offset > 0) {
		return a.remainingTime() / 2
	}
	return a.remainingTime()
}

func targetParts(parts []Part) []targetapi.Part {
	out := make([]targetapi.Part, 0, len(parts))
	for _, p := range parts {
		out = append(out, targetapi.Part{ID: p.ID, Tokens: p.Tokens})
	}
	return out
}

// deliver stores a token and passes it to the caller. It accepts only the token at the next
// offset: if a resumed target repeated or skipped a token, the caller would get it twice or
// never.
func (a *attempt) deliver(offset int, token string) error {
	if offset != a.offset {
		return errors.New("stream: token out of order")
	}
	a.offset++
	a.text.WriteString(token)
	if a.job.OnToken == nil || !a.isLast() {
		return nil
	}
	return a.job.OnToken(offset, token)
}

// setVerdict sets the verdict of an attempt that ended.
func (a *attempt) setVerdict(r *attemptResult) {
	if r.err == nil {
		r.verdict = outcome.Ran
		if a.stream {
			a.joinStream(r)
		}
		return
	}
	r.verdict = outcome.Unknown
	var failed *target.AttemptError
	if !errors.As(r.err, &failed) {
		return
	}
	r.retryAfter = time.Duration(failed.RetryAfterMS) * time.Millisecond
	switch failed.Outcome {
	case target.NotRun:
		r.verdict = outcome.NotRun
	case target.Failed:
		r.verdict = outcome.Ran
	}
}

// joinStream sets the response to all tokens of the stage, including those that earlier
// attempts of a resumed stream delivered.
func (a *attempt) joinStream(r *attemptResult) {
	r.response.Output = a.text.String()
	r.response.Tokens = a.offset
}

// recordResult records the result in the router, the learned times and the status.
func (a *attempt) recordResult(ctx context.Context, meta target.ResponseMeta, r *attemptResult) {
	now := a.opts.Now()
	elapsed := now.Sub(a.started)
	incarnation := a.choice.Target.Incarnation
	p50, _ := a.opts.Times.Estimate(a.stageKey(a.index), a.stage.ExpectedDuration)
	end := a.routingOutcome(ctx, r)
	a.routingAttempt.Done(now, routing.Result{
		Outcome:  end,
		Latency:  elapsed,
		Expected: p50,
	})
	if meta.HasLoad {
		load := routing.Load{Active: meta.Active, Queued: meta.Queued, Slots: meta.Slots, Age: assumedLoadAge}
		a.opts.Router.Report(now, incarnation, load)
	}
	if meta.Leaving {
		a.opts.Router.Leaving(now, incarnation)
	}
	if r.err == nil {
		a.opts.Times.Observe(now, a.stageKey(a.index), a.stage.ExpectedDuration, elapsed)
	}
	a.recordStatus(now, end, r)
}

func (a *attempt) routingOutcome(ctx context.Context, r *attemptResult) routing.Outcome {
	switch {
	case r.err == nil:
		return routing.OutcomeOK
	case r.verdict == outcome.NotRun:
		return routing.OutcomeNotRun
	case errors.Is(context.Cause(ctx), errLostHedge) || errors.Is(ctx.Err(), context.Canceled):
		return routing.OutcomeCancelled
	case ctx.Err() != nil:
		return routing.OutcomeDeadlineMissed
	default:
		return routing.OutcomeFailed
	}
}

// recordStatus records the result in the status of the request.
func (a *attempt) recordStatus(now time.Time, end routing.Outcome, r *attemptResult) {
	entry := requests.AttemptEnd{
		Result:        statusResult(end),
		Work:          time.Duration(r.response.WorkMS) * time.Millisecond,
		Tokens:        r.response.Tokens,
		PrefillTokens: r.response.PrefillTokens,
		At:            now,
	}
	if r.err != nil {
		entry.Error = r.err.Error()
	}
	a.opts.Status.EndAttempt(a.job.Ref, a.number, entry)
}

func statusResult(o routing.Outcome) requests.Result {
	switch o {
	case routing.OutcomeOK:
		return requests.ResultOK
	case routing.OutcomeNotRun:
		return requests.ResultNotRun
	case routing.OutcomeDeadlineMissed:
		return requests.ResultLate
	case routing.OutcomeCancelled:
		return requests.ResultCancelled
	default:
		return requests.ResultFailed
	}
}
