package relay

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/stages"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

// minSeekInterval is the shortest interval between two searches for another target after the
// holder of the stage queue refused one.
const minSeekInterval = 500 * time.Millisecond

// errTargetResponded ends the search for another target.
var errTargetResponded = errors.New("the silent target has responded")

// race sends the request to a target, and to others beside it while it is silent, until one has
// completed the response. It returns an error if none has.
//
// A silent target is given up only for another one that responds: whether the other one can go on
// is certain only then.
func (q *request) race(ctx context.Context) error {
	if err := q.sendNext(ctx); err != nil {
		return err
	}
	for {
		select {
		case m := <-q.inbox.messages:
			if done, err := q.receive(ctx, m); done || err != nil {
				return err
			}
		case a := <-q.silences:
			q.seekReplacement(ctx, a)
		}
	}
}

// sendNext prepares an attempt and starts it.
func (q *request) sendNext(ctx context.Context) error {
	target, err := q.prepare(ctx)
	if err != nil {
		return err
	}
	q.start(ctx, target)
	return nil
}

// receive handles a message of an attempt. It reports whether the response is complete, or returns
// the error that ends the request.
func (q *request) receive(ctx context.Context, m message) (done bool, _ error) {
	a := m.from
	if m.rest != nil {
		defer m.rest.Close()
	}
	if !slices.Contains(q.open, a) {
		return false, nil
	}
	complete, outcome, err := q.forward(m)
	if err == nil && !complete {
		return false, nil
	}
	q.close(ctx, a, outcome, err)
	if err == nil {
		return true, nil
	}
	retry, err := q.decideRetry(ctx, a, err)
	if !retry {
		q.watchSilence()
		return false, err
	}
	if ctx.Err() != nil {
		return false, context.Cause(ctx)
	}
	return false, q.sendNext(ctx)
}

// close records the end of an attempt.
func (q *request) close(ctx context.Context, a *attempt, outcome routing.Outcome, err error) {
	q.open = slices.DeleteFunc(q.open, func(o *attempt) bool { return o == a })
	if err == nil && outcome == routing.OutcomeOK {
		q.observeEnd(a, time.Since(a.started))
	}
	a.tracked.Done(time.Now(), routing.Result{Outcome: outcome, Latency: time.Since(a.started)})
	a.end()
	q.dropGrant(a, 0)
	q.reportStreamEnd(a, err == nil && outcome == routing.OutcomeOK)
	q.recordSendEnd(a, outcome, err)
	q.recordAttemptEnd(ctx, a, err)
	if err == nil && outcome == routing.OutcomeOK {
		q.relay.durations.observe(q.route.Name, time.Since(a.started))
	}
}

// watchSilence sets the timers of the open attempts anew: whether another attempt is allowed beside
// them may have changed.
func (q *request) watchSilence() {
	for _, a := range q.open {
		a.silence.Reset(q.silenceTimeout(a))
	}
}

// silenceTimeout returns how long to wait for the next sign of life of an attempt's target until
// another target is sought.
func (q *request) silenceTimeout(a *attempt) time.Duration {
	switch {
	case a.silent:
		return q.seekDelay(nil)
	case a.firstData == 0:
		return q.firstByteTimeout()
	default:
		return q.eventTimeout()
	}
}

// abandon cancels an attempt whose request needs it no longer.
func (q *request) abandon(a *attempt) {
	q.open = slices.DeleteFunc(q.open, func(o *attempt) bool { return o == a })
	a.tracked.Done(time.Now(), routing.Result{Outcome: routing.OutcomeCancelled, Latency: time.Since(a.started)})
	a.end()
	q.dropGrant(a, 0)
	q.reportStreamEnd(a, false)
	q.excluded = append(q.excluded, a.target.Incarnation)
	q.possibleRuns++
	q.mayHaveRun = true
}

// abandonAll cancels the attempts that are still open at the end of the request.
func (q *request) abandonAll() {
	for len(q.open) > 0 {
		q.abandon(q.open[0])
	}
}

// adopt makes an attempt the only one: the caller gets a part of its reply.
func (q *request) adopt(a *attempt) {
	q.current = a
	for len(q.open) > 1 {
		other := q.open[0]
		if other == a {
			other = q.open[1]
		}
		telemetry.InfoS("Attempt abandoned", telemetry.Event{
			RequestID: q.call.ID, Pipeline: q.route.Name, Target: other.target.Incarnation, Version: other.target.Version, Peer: a.target.Incarnation,
			Elapsed: time.Since(other.started), LastEvent: q.lastEventID,
		})
		q.relay.metrics.recordReplacement(a.started.After(other.started))
		q.abandon(other)
	}
	q.releaseRead(a)
}

// releaseRead frees the stages' results once the only attempt has read them.
func (q *request) releaseRead(a *attempt) {
	if len(q.open) == 1 && q.resultHandles != nil {
		if q.relay.costs != nil && a.firstData > 0 {
			a.accountedBy = q.owner
		}
		q.releaseResults(a.target.Incarnation, a.firstData)
	}
}

// reportSilence has another target sought beside a silent one. It reports whether that is possible
// now. It is safe for concurrent use.
func (q *request) reportSilence(a *attempt) bool {
	if time.Until(q.deadline) < minTimeElsewhere || !q.canContinueElsewhere() || !q.payForRetry() {
		return false
	}
	select {
	case q.silences <- a:
		return true
	default:
		return false
	}
}

// seekReplacement sends the request to another target beside a silent one. It gives up as soon as
// a target responds.
func (q *request) seekReplacement(ctx context.Context, a *attempt) {
	if !slices.Contains(q.open, a) || time.Since(a.lastData) < silenceRecheck {
		return // it has ended, or has responded meanwhile
	}
	if !q.mayRetry() || !q.payForRetry() {
		// Another attempt was sent, or has failed, since the silence was reported.
		a.silence.Reset(q.seekDelay(nil))
		return
	}
	if !a.silent {
		a.silent = true
		a.tracked.Silent(time.Now())
		q.relay.metrics.silentTargets.Inc(1)
	}
	seekCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !q.inbox.watch(func() { cancel(errTargetResponded) }) {
		a.silence.Reset(silenceRecheck)
		return
	}
	defer q.inbox.watch(nil)
	began, runsStages := time.Now(), q.resultHandles == nil
	target, err := q.prepare(seekCtx)
	if seekCtx.Err() != nil {
		target, err = routing.Target{}, context.Cause(seekCtx)
	}
	if text := textOf(err); err == nil || text != a.notFound {
		a.notFound = text
		telemetry.InfoS("Target silent, another one sought", telemetry.Event{
			RequestID: q.call.ID, Pipeline: q.route.Name, Target: a.target.Incarnation, Version: a.target.Version, Peer: target.Incarnation,
			Cause: text, Elapsed: time.Since(began), LongestPause: time.Since(a.lastData), Count: len(q.open), LastEvent: q.lastEventID,
		})
	}
	if err != nil {
		if runsStages {
			q.freeResults()
		}
		q.dropPreparedGrant()
		a.silence.Reset(q.seekDelay(err))
		return
	}
	q.retryPaid.Store(false)
	q.start(ctx, target)
}

// seekDelay returns how long to wait until another target is sought again, after an error.
func (q *request) seekDelay(err error) time.Duration {
	var refused *stages.RefusedError
	switch {
	case !q.mayRetry():
		return noTimeout
	case errors.As(err, &refused):
		return max(refused.RetryAfter, minSeekInterval)
	default:
		return silenceRecheck
	}
}

// recordData records that the target of an attempt has sent a part of its reply.
func (q *request) recordData(a *attempt) {
	a.lastData = time.Now()
	if a.firstData == 0 {
		a.firstData = a.lastData.Sub(a.started)
		q.dropGrant(a, a.firstData)
		q.releaseRead(a)
		q.observeFirstEvent(a)
	}
	if a.silent {
		a.silent = false
		a.tracked.Responded(a.lastData)
	}
}

// textOf returns the text of an error; empty for nil.
func textOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// forward forwards what an attempt has received. It reports whether the response is complete, or
// returns the error that ended the attempt.
func (q *request) forward(m message) (complete bool, _ routing.Outcome, _ error) {
	a := m.from
	if m.head == nil {
		outcome, err := q.classifyError(a.ctx, m.err)
		return false, outcome, err
	}
	a.head = m.head
	switch {
	case m.head.parsed.NotRun:
		return false, routing.OutcomeNotRun, &failure{
			cause: errors.Newf("target refused with status %d", m.head.status), notRun: true, inputsGone: m.head.parsed.InputsMissing,
		}
	case !m.head.parsed.Signed:
		return false, routing.OutcomeFailed, &failure{cause: errors.Newf("reply with status %d has no signature", m.head.status)}
	case m.head.header.Get("Content-Encoding") != "":
		return false, routing.OutcomeFailed, &failure{cause: errors.New("reply is encoded")}
	default:
		return q.forwardReply(m)
	}
}
