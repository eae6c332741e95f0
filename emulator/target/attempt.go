package target

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// prefillChunk is the number of prompt tokens processed between two points at which
// a more urgent call can preempt the attempt.
const prefillChunk = 512

var (
	errQueueFull      = errors.New("queue is full")
	errDeadlinePassed = errors.New("deadline passed in the queue")
	errCancelled      = errors.New("attempt was cancelled")
	errClosed         = errors.New("target was closed")
)

// attempt is one call of PathRun.
type attempt struct {
	target    *Target
	id        string
	requestID string
	deadline  <-chan time.Time
	request   targetapi.RunRequest
	faults    callFaults
	ticket    *ticket
	// responder writes the response.
	responder responder
	// ctx ends when the caller cancels or disconnects.
	ctx      context.Context
	cancel   context.CancelCauseFunc
	workTime time.Duration
}

// responder writes the response to an attempt.
type responder interface {
	// begin is called once the attempt has a slot.
	begin() error
	sendToken(offset int, token string) error
	// keepAlive is called at an interval while there is nothing to send.
	keepAlive() error
	finish(targetapi.RunResponse) error
}

// start waits for a slot. If it returns an error, nothing was run.
func (a *attempt) start() error {
	if !a.target.scheduler.enter(a.ticket) {
		return errQueueFull
	}
	select {
	case <-a.ticket.granted:
	case <-a.deadline:
		return errDeadlinePassed
	case <-a.ctx.Done():
		return context.Cause(a.ctx)
	}
	a.target.runs.count(a.requestID, a.target.leaving.Load())
	if len(a.request.Inputs) > 0 && len(a.request.Inputs[0]) <= maxCountedInputBytes {
		a.target.inputRuns.count(a.request.Inputs[0], false)
		if a.target.options.OnRunStart != nil {
			a.target.options.OnRunStart(a.request.Inputs[0])
		}
	}
	return nil
}

// run executes the work and returns the whole answer.
func (a *attempt) run() (targetapi.RunResponse, error) {
	text, tokens := Output(a.request.Stage, a.request.Inputs, a.request.Model, a.request.MaxTokens)
	if err := a.work(a.target.options.CallTime); err != nil {
		return targetapi.RunResponse{}, err
	}
	processed, err := a.prefill()
	if err != nil {
		return targetapi.RunResponse{}, err
	}
	if err := a.generate(tokens); err != nil {
		return targetapi.RunResponse{}, err
	}
	return targetapi.RunResponse{
		AttemptID:     a.id,
		Output:        text,
		Tokens:        len(tokens) - a.request.ResumeFrom,
		PrefillTokens: processed,
		WorkMS:        a.workTime.Milliseconds(),
	}, nil
}

// prefill processes the uncached part of the prompt and the tokens that another
// target generated before, and returns the number of tokens processed.
func (a *attempt) prefill() (int, error) {
	processed := a.target.cache.uncachedTokens(a.request.Prefix) + a.request.ResumeFrom
	rate := a.target.options.PrefillRate
	for remaining := processed; remaining > 0 && rate > 0; remaining -= prefillChunk {
		seconds := float64(min(remaining, prefillChunk)) / rate
		if err := a.work(time.Duration(seconds * float64(time.Second))); err != nil {
			return 0, err
		}
	}
	a.target.cache.add(a.request.Prefix)
	return processed, nil
}

func (a *attempt) generate(tokens []string) error {
	for offset := a.request.ResumeFrom; offset < len(tokens); offset++ {
		if err := a.work(a.tokenTime()); err != nil {
			return err
		}
		if err := a.responder.sendToken(offset, tokens[offset]); err != nil {
			return err
		}
	}
	return nil
}

// tokenTime returns the time of one token at the current batch size.
func (a *attempt) tokenTime() time.Duration {
	options := a.target.options
	if options.Kind != catalog.KindEngine {
		return options.TokenTime
	}
	active, _ := a.target.scheduler.load()
	factor := 1 + options.BatchSlowdown*float64(active-1)
	return time.Duration(float64(options.TokenTime) * factor)
}

// work spends the time of one step, then yields the slot if a more urgent call
// preempts it.
func (a *attempt) work(step time.Duration) error {
	if straggler, ok := a.faults[FaultStraggler]; ok {
		step = time.Duration(float64(step) * straggler.Factor)
	}
	if step > 0 {
		if err := a.waitFor(a.target.options.After(step)); err != nil {
			return err
		}
		a.workTime += step
	}
	if !a.target.scheduler.yield(a.ticket) {
		return context.Cause(a.ctx)
	}
	return wait(a, a.ticket.granted)
}

// waitFor waits for a timer and keeps the caller's connection alive meanwhile.
func (a *attempt) waitFor(timer <-chan time.Time) error {
	return wait(a, timer)
}

// wait waits for an event or the end of the attempt, and keeps the caller's
// connection alive meanwhile.
func wait[T any](a *attempt, event <-chan T) error {
	for {
		var keepAlive <-chan time.Time
		if interval := a.target.options.KeepAlive; interval > 0 {
			keepAlive = a.target.options.After(interval)
		}
		select {
		case <-event:
			return nil
		case <-a.ctx.Done():
			return context.Cause(a.ctx)
		case <-keepAlive:
			if err := a.responder.keepAlive(); err != nil {
				return err
			}
		}
	}
}
