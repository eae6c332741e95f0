package relay

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/forward"
)

// maxRefusals limits the targets that refuse one request in turn.
const maxRefusals = 3

// failure is an attempt without a complete response.
type failure struct {
	cause error
	// notRun is true if the target certainly didn't run the request.
	notRun bool
	// notConnected is true if there was no connection to the target, so that the target had
	// no part in the attempt. nothingListens is true if no process listens at its address.
	notConnected, nothingListens bool
	// connectionBroken is true if the peer ended the connection after the request was sent.
	connectionBroken bool
	// inputsGone is true if the stages' results no longer exist.
	inputsGone bool
	// reply is an error response of the target, which is sent if no other target does better.
	reply *bufferedReply
}

// bufferedReply is a complete reply of a target.
type bufferedReply struct {
	status int
	header http.Header
	body   []byte
}

func (f *failure) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f *failure) Unwrap() error { return f.cause }

// decideRetry handles a failed attempt. It reports whether another attempt is to follow now, or
// returns the error that ends the request. It does neither while other attempts are open.
func (q *request) decideRetry(ctx context.Context, a *attempt, err error) (retry bool, _ error) {
	var f *failure
	if !errors.As(err, &f) {
		return false, err
	}
	telemetry.InfoS("Attempt failed", telemetry.Event{
		RequestID: q.call.ID, Digest: q.digest().String(), Parts: quarantine.Texts(q.suspects().Parts), Pipeline: q.route.Name, Target: a.target.Incarnation, Version: a.target.Version, Reason: f.cause.Error(),
		Elapsed: time.Since(q.arrived), Count: q.possibleRuns + q.refusals,
		LastEvent: q.lastEventID, Framing: a.framing(),
	})
	q.relay.metrics.recordFailedAttempt(f.notRun)
	q.excluded = append(q.excluded, a.target.Incarnation)
	if f.notRun {
		q.refusals++
	} else {
		q.possibleRuns++
		q.mayHaveRun = true
	}
	if f.nothingListens {
		q.relay.reportUnreachable(cmp.Or(q.owner, a.grantedBy), a.target)
	}
	if f.inputsGone || errors.Is(f.cause, forward.ErrWithdrawn) {
		q.excluded = q.excluded[:len(q.excluded)-1] // the target had no part in the failure
	}
	if f.inputsGone {
		q.freeResults()
	}
	if f.reply != nil {
		q.heldReply = f.reply
	}
	switch {
	case len(q.open) > 0:
		return false, nil
	case ctx.Err() != nil, q.refusals > maxRefusals, q.pastSendDeadline(time.Now()):
		return false, err
	case q.notResumable:
		return false, err
	case !f.notRun && (!q.route.Repeatable() || q.possibleRuns >= q.route.MaxAttempts):
		return false, err
	case !f.notConnected && !q.payForRetry():
		// The budget limits the additional load on the targets. An attempt that reached no target
		// caused no load, so its retry is free.
		return false, err
	}
	q.retryPaid.Store(false)
	if q.lastEventID != "" || !f.notRun {
		// The results have been freed, at the first byte or some time ago.
		q.freeResults()
	}
	return true, nil
}

// reportUnreachable reports to the holder of the stage queue, if there is one, that nothing listens
// at a target's address.
func (s *Relay) reportUnreachable(holder string, t routing.Target) {
	if holder != "" {
		s.options.Stages.ReportUnreachable(holder, t.Pool, t.Incarnation)
	}
}

// payForRetry takes a retry from the budget, once for each attempt. It reports whether the
// budget allows it. It is safe for concurrent use.
func (q *request) payForRetry() bool {
	q.payMu.Lock()
	defer q.payMu.Unlock()
	if q.retryPaid.Load() {
		return true
	}
	if !q.relay.options.Budgets.TakeRetry(time.Now(), q.service) {
		return false
	}
	q.retryPaid.Store(true)
	return true
}

// returnRetry returns a retry that was taken from the budget, and not used, at the end of the request.
func (q *request) returnRetry() {
	if q.retryPaid.Swap(false) {
		q.relay.options.Budgets.ReturnRetry(time.Now(), q.service)
	}
}

// noTimeout limits the silence of a target that no other one can replace: the request's own
// deadline always comes first.
const noTimeout = 24 * time.Hour

// firstByteTimeout returns how long the target may take to its first byte.
func (q *request) firstByteTimeout() time.Duration {
	if !q.mayRetry() {
		return noTimeout
	}
	remaining := time.Until(q.deadline)
	if q.isStream() {
		return min(maxFirstByteDelay, remaining/2)
	}
	return min(time.Duration(hedgeShare*float64(q.route.LatencyObjective)), remaining/2)
}

// mayRetry reports whether another target may be tried if the present ones fail, or beside them.
func (q *request) mayRetry() bool {
	return q.route.Repeatable() && !q.notResumable && q.refusals <= maxRefusals && q.possibleRuns+max(1, len(q.open)) < q.route.MaxAttempts
}

func (q *request) isStream() bool { return q.route.MaxEventGap > 0 }

// classifyError returns the outcome of an attempt that ended with an error.
func (q *request) classifyError(ctx context.Context, err error) (routing.Outcome, error) {
	var f *forward.Error
	notRun := errors.As(err, &f) && !f.Sent
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeadline):
		return routing.OutcomeDeadlineMissed, &failure{cause: errDeadline, notRun: notRun}
	case cause != nil:
		return routing.OutcomeCancelled, &failure{cause: cause, notRun: notRun}
	}
	unreached := f != nil && f.Step == forward.StepConnect
	if errors.Is(err, forward.ErrWithdrawn) {
		return routing.OutcomeCancelled, &failure{cause: err, notRun: notRun, notConnected: unreached}
	}
	return routing.OutcomeFailed, &failure{
		cause: err, notRun: notRun, notConnected: unreached, nothingListens: unreached && f.Refused,
		connectionBroken: !notRun && forward.ClosedByPeer(err),
	}
}
