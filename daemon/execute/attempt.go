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

// reportAge stands for the age of the load in a reply's headers, which targets
// do not tell. Taken for new, a report would count over what is known to have
// been sent since it was made.
const reportAge = 300 * time.Millisecond

// errSealed forbids a dispatch after the request's final answer.
var errSealed = errors.New("the request has had its final answer")

// attemptResult is the fate of one attempt.
type attemptResult struct {
	answer     targetapi.RunResponse
	peer       string
	err        error
	verdict    outcome.Verdict
	retryAfter time.Duration
	// preempted tells that a higher tier took the slot: the stage goes on
	// later from the tokens it has.
	preempted bool
}

// attempt is one attempt under way.
type attempt struct {
	*stageRun
	id      string
	choice  routing.Choice
	started time.Time
	handle  *routing.Attempt
	// number is the attempt's place in the status of its request.
	number int
	// stream tells that tokens are delivered as they come.
	stream bool
}

// newAttempt enters the attempt in the ledger before anything can leave.
func (s *stageRun) newAttempt(choice routing.Choice) (*attempt, error) {
	if !s.ledger.Dispatch() {
		return nil, errSealed
	}
	if !s.stage.Repeatable {
		s.once.Dispatch() // sealed after the ledger, so it can't be sealed here
	}
	s.tried = append(s.tried, choice.Target.Incarnation)
	now := s.opts.Now()
	a := &attempt{
		stageRun: s,
		id:       s.nextAttempt(),
		choice:   choice,
		started:  now,
		stream:   s.streams(),
	}
	a.number = s.opts.Status.StartAttempt(s.job.Ref, requests.AttemptStart{
		Stage: s.index, ID: a.id, Target: choice.Target.Address, At: now,
	})
	a.handle = s.opts.Router.Started(now, choice.Target.Incarnation, 0)
	return a, nil
}

// failedUnknown is the fate of an attempt that may have run.
func failedUnknown(peer string, err error) attemptResult {
	return attemptResult{peer: peer, err: err, verdict: outcome.Unknown}
}

// do makes the attempt, settles it in the ledger and teaches the router.
func (a *attempt) do(ctx context.Context) (result attemptResult) {
	defer a.contain(&result)
	call := a.call()
	answer, meta, err := a.send(ctx, call)
	a.noteCrash(ctx, err)
	result = attemptResult{answer: answer, peer: call.Address, err: err}
	a.classify(&result)
	a.ledger.Settle(result.verdict)
	if !a.stage.Repeatable {
		a.once.Settle(result.verdict)
	}
	a.learn(ctx, meta, &result)
	return result
}

// send makes the call. A panic on its answer is contained here already, so that
// the attempt is settled and the router learns that it ended.
func (a *attempt) send(ctx context.Context, call target.Call) (answer targetapi.RunResponse, meta target.Meta, err error) {
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

// headerTimeout bounds the wait for the first byte of a stream that may be
// started again elsewhere, so that a silent target leaves time for another one.
// What may not be repeated waits until the deadline: giving up sooner would turn
// a late answer into an unknown outcome.
func (a *attempt) headerTimeout() time.Duration {
	if a.stream && a.stage.Repeatable {
		return a.left() / 2
	}
	return a.left()
}

func targetParts(parts []Part) []targetapi.Part {
	out := make([]targetapi.Part, 0, len(parts))
	for _, p := range parts {
		out = append(out, targetapi.Part{ID: p.ID, Tokens: p.Tokens})
	}
	return out
}

// deliver keeps a token and passes it on. Only the token that comes next is
// taken: a resumed target that repeats or skips one would double or lose it.
func (a *attempt) deliver(offset int, token string) error {
	if offset != a.offset {
		return errors.New("stream: token out of order")
	}
	a.offset++
	a.text.WriteString(token)
	if a.job.OnToken == nil || !a.last() {
		return nil
	}
	return a.job.OnToken(offset, token)
}

// classify says what the attempt's end means for the request.
func (a *attempt) classify(r *attemptResult) {
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

// joinStream makes the whole answer of all parts of a resumed stream.
func (a *attempt) joinStream(r *attemptResult) {
	r.answer.Output = a.text.String()
	r.answer.Tokens = a.offset
}

// learn tells the router, the learned times and the status how it ended.
func (a *attempt) learn(ctx context.Context, meta target.Meta, r *attemptResult) {
	now := a.opts.Now()
	elapsed := now.Sub(a.started)
	incarnation := a.choice.Target.Incarnation
	p50, _ := a.opts.Times.Estimate(a.stageKey(a.index), a.stage.ExpectedDuration)
	end := a.routingOutcome(ctx, r)
	a.handle.Done(now, routing.Result{
		Outcome:  end,
		Latency:  elapsed,
		Expected: p50,
	})
	if meta.HasLoad {
		load := routing.Load{Active: meta.Active, Queued: meta.Queued, Slots: meta.Slots, Age: reportAge}
		a.opts.Router.Report(now, incarnation, load)
	}
	if meta.Leaving {
		a.opts.Router.Leaving(now, incarnation)
	}
	if r.err == nil {
		a.opts.Times.Observe(now, a.stageKey(a.index), a.stage.ExpectedDuration, elapsed)
	}
	a.record(now, end, r)
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

// record keeps the attempt's fate in the status of its request.
func (a *attempt) record(now time.Time, end routing.Outcome, r *attemptResult) {
	entry := requests.AttemptEnd{
		Result:        statusResult(end),
		Work:          time.Duration(r.answer.WorkMS) * time.Millisecond,
		Tokens:        r.answer.Tokens,
		PrefillTokens: r.answer.PrefillTokens,
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
