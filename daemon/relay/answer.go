package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/stages"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/forward"
	"github.com/ivyhollow/ivyhollow/transport/inbound"
)

// readBuffer is the size in bytes of one read of a stream.
const readBuffer = 8 << 10

// forwardReply forwards what an attempt has received of its reply. It reports whether the response
// is complete, or returns the error that ended the attempt.
func (q *request) forwardReply(m message) (complete bool, _ routing.Outcome, _ error) {
	switch {
	case q.isStream() && m.head.status == http.StatusOK:
		return q.forwardStream(m)
	case q.headerSent:
		// The caller has a part of a stream, which no other kind of response can complete.
		return false, routing.OutcomeOK, &failure{cause: errors.Newf("target continued the stream with status %d", m.head.status)}
	default:
		return q.forwardPlainReply(m)
	}
}

// forwardPlainReply forwards a reply that isn't a stream of events. A reply shorter than
// maxBufferedReply was read completely before its head is sent.
func (q *request) forwardPlainReply(m message) (complete bool, _ routing.Outcome, _ error) {
	a := m.from
	if m.err != nil && !m.isEnd() {
		outcome, err := q.classifyReplyError(a.ctx, m.err)
		return false, outcome, err
	}
	if m.head.status >= http.StatusInternalServerError && (len(q.open) > 1 || m.rest == nil && q.mayRetry()) {
		return false, routing.OutcomeOK, m.targetFailure()
	}
	q.adopt(a)
	q.freeResults()
	q.timings.recordEvent(time.Now(), a.started)
	if m.rest == nil {
		q.sendBuffered(&bufferedReply{m.head.status, m.head.header, m.data})
		return true, routing.OutcomeOK, nil
	}
	a.silence.Stop() // the caller has a part of the response, so no other target can replace it
	q.sendHead(m.head)
	if _, err := q.w.Write(m.data); err == nil {
		_, err = io.Copy(q.w, m.rest)
		if err == nil {
			q.logEnd(m.head.status)
			return true, routing.OutcomeOK, nil
		}
		var f *forward.Error
		if errors.As(err, &f) {
			_, err = q.classifyReplyError(a.ctx, err)
			q.recordAttemptEnd(a.ctx, a, err)
		}
	}
	q.abort("answer_broken_off")
	return false, routing.OutcomeFailed, nil // not reached: abort panics
}

// targetFailure returns the failure of an attempt whose target has sent an error response. It has the response if that
// is whole.
func (m message) targetFailure() *failure {
	f := &failure{cause: errors.Newf("target failed with status %d", m.head.status)}
	if m.rest == nil {
		f.reply = &bufferedReply{m.head.status, m.head.header, m.data}
	}
	return f
}

// sendBuffered sends a complete reply of a target to the caller.
func (q *request) sendBuffered(h *bufferedReply) {
	q.sendHead(&replyHead{status: h.status, header: h.header, length: int64(len(h.body))})
	if _, err := q.w.Write(h.body); err != nil {
		q.reason = "caller_left"
	}
	q.logEnd(h.status)
}

// sendHead sends the head of a target's reply to the caller.
func (q *request) sendHead(head *replyHead) {
	h := q.w.Header()
	q.closeIfStopping(h)
	for name, values := range q.relay.options.Dialect.CallerResponseHeader(head.header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // else net/http guesses one
	}
	if head.length >= 0 && q.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(head.length, 10))
	}
	q.writeHead(head.status)
}

// writeHead sends the only head of the response. net/http would ignore a second one, and would
// append what follows it to the response.
func (q *request) writeHead(status int) {
	if q.headerSent {
		q.abort("stream_broken_off")
	}
	q.w.WriteHeader(status)
	q.headerSent = true
}

// closeIfStopping asks the caller, if this instance is stopping, to open a new connection for
// the next request, which then goes to another instance.
func (q *request) closeIfStopping(h http.Header) {
	if _, stopping := q.relay.stopWindow(); stopping {
		h.Set("Connection", "close")
	}
}

// forwardStream forwards a part of a stream event by event: a target may fail in the middle of an
// event, and the target that resumes the stream begins with a complete one.
func (q *request) forwardStream(m message) (complete bool, _ routing.Outcome, _ error) {
	a := m.from
	if len(m.data) > 0 {
		q.recordData(a)
		err := q.forwardEvents(a, m.data)
		a.silence.Reset(q.eventTimeout())
		if err != nil {
			outcome, err := q.classifyReplyError(a.ctx, err)
			return false, outcome, err
		}
	}
	switch {
	case m.err == nil:
		return false, routing.OutcomeOK, nil
	case m.isEnd() && q.completesStream(a):
		q.adopt(a)
		if !q.headerSent {
			q.sendStreamHead(a)
		}
		q.endStream()
		q.logEnd(a.head.status)
		return true, routing.OutcomeOK, nil
	case m.isEnd():
		m.err = io.ErrUnexpectedEOF
	}
	outcome, err := q.classifyReplyError(a.ctx, m.err)
	return false, outcome, err
}

// sendStreamHead sends the head of a stream to the caller.
func (q *request) sendStreamHead(a *attempt) {
	head := *a.head
	head.length = -1
	q.sendHead(&head)
}

// forwardEvents parses bytes of a stream and sends the complete events. It returns an error for
// bytes that aren't an event, and for an event that doesn't follow the events before it.
func (q *request) forwardEvents(a *attempt, p []byte) error {
	before := a.events.Events()
	whole, err := a.events.Add(p)
	if len(q.open) > 1 && a.events.Events() == before && len(a.comments)+len(whole) <= maxBufferedReply {
		a.comments = append(a.comments, whole...) // they don't decide which attempt goes on
		return err
	}
	if len(a.comments) > 0 {
		whole, a.comments = append(a.comments, whole...), nil
	}
	if len(whole) > 0 {
		q.adopt(a)
		q.notResumable = !a.events.Resumable()
		q.timings.recordEvent(time.Now(), a.started)
		q.sendEvents(a, whole)
		q.bindStream()
		q.lastEventID = a.events.LastID()
	}
	if before == 0 && a.events.Events() > 0 {
		q.sources++
	}
	return err
}

// requiredResumeID returns the ID of the event that a target's stream must continue after; empty
// if the stream starts from the beginning. Where streams aren't resumed, the ID that a caller
// sends is for the target alone.
func (q *request) requiredResumeID() string {
	if !q.route.Repeatable() {
		return ""
	}
	return q.resumeID()
}

// completesStream reports whether an attempt's stream that has ended completes the caller's
// stream. A stream without events may mean that nothing remained, but only if its end is marked
// by more than the end of the connection.
func (q *request) completesStream(a *attempt) bool {
	if len(a.events.Partial()) > 0 {
		return false
	}
	return a.events.Events() > 0 || q.requiredResumeID() != "" && a.head.framing != forward.FramedByClose
}

// eventTimeout returns how long a stream may pause before another target is asked to resume it.
func (q *request) eventTimeout() time.Duration {
	if !q.mayRetry() {
		return noTimeout
	}
	return maxEventGap
}

// sendEvents sends complete events and flushes them.
func (q *request) sendEvents(a *attempt, whole []byte) {
	if !q.headerSent {
		q.sendStreamHead(a)
	}
	_, err := q.w.Write(whole)
	if err == nil {
		err = http.NewResponseController(q.w).Flush()
	}
	if err != nil {
		q.reason = "caller_left"
		q.logEnd(a.head.status)
		panic(http.ErrAbortHandler)
	}
}

// classifyReplyError returns the outcome of an attempt whose reply ended early: the target may
// have run the request.
func (q *request) classifyReplyError(ctx context.Context, err error) (routing.Outcome, error) {
	outcome, failed := q.classifyError(ctx, err)
	var f *failure
	if errors.As(failed, &f) {
		f.notRun = false
	}
	return outcome, failed
}

// sendFailure sends the final response to a request that no target has answered.
func (q *request) sendFailure(ctx context.Context, err error) {
	if q.heldReply != nil && !q.headerSent {
		q.sendBuffered(q.heldReply)
		return
	}
	q.cause = err
	if q.headerSent {
		q.abort("stream_broken_off")
		return
	}
	if q.r.Context().Err() != nil {
		q.abort("caller_left")
		return
	}
	var refused *stages.RefusedError
	var none *routing.NoTargetError
	var blocked *blockedError
	stopped := errors.Is(err, errNoTimeToSend) || errors.Is(err, errStopEnded)
	late := errors.Is(err, errDeadline) || ctx.Err() != nil
	switch {
	case isIDInUse(err) && !q.mayHaveRun:
		q.deny(http.StatusBadRequest, idInUse)
	case stopped && !q.mayHaveRun:
		q.refuse(reasonStopping, minRetryAfter)
	case stopped:
		q.fail(http.StatusGatewayTimeout, "stopping")
	case errors.As(err, &blocked) && !q.mayHaveRun:
		q.refuse(reasonCrashes, blocked.verdict.Remaining)
	case errors.As(err, &refused) && !q.mayHaveRun:
		q.refuse(string(refused.Reason), refused.RetryAfter)
	case errors.As(err, &none) && !q.mayHaveRun:
		q.refuse(reasonNoTarget, time.Second)
	case !q.mayHaveRun && late:
		q.refuse("deadline", minRetryAfter)
	case !q.mayHaveRun:
		q.refuse("targets_refused", minRetryAfter)
	case late:
		q.fail(http.StatusGatewayTimeout, "deadline")
	default:
		q.fail(http.StatusBadGateway, "target_failed")
	}
}

// isIDInUse reports whether the holder of the stage queue has another request with the ID.
func isIDInUse(err error) bool {
	var refused *stages.RefusedError
	return errors.As(err, &refused) && refused.Reason == gather.ReasonIDInUse
}

// Reasons for refusals that are explained as well.
const (
	reasonNoConfiguration = "no_configuration"
	reasonNoTarget        = "no_target"
	reasonStopping        = "stopping"
)

// reasonCrashes is the reason for refusing a request that crashes targets.
const reasonCrashes = "crashes_targets"

// minRetryAfter is the shortest retry delay: about one stage call.
const minRetryAfter = 250 * time.Millisecond

// refuse responds that the request has not run, and when to retry.
func (q *request) refuse(reason string, after time.Duration) {
	q.w.Header().Set("Retry-After", strconv.FormatFloat(max(after, minRetryAfter).Seconds(), 'f', 2, 64))
	q.respond(http.StatusServiceUnavailable, reason, "not run: "+reason)
}

// fail responds that the request may have run.
func (q *request) fail(status int, reason string) {
	q.respond(status, reason, "the request may have run: "+reason)
}

// deny rejects a request that is not allowed or malformed.
func (q *request) deny(status int, text string) {
	q.respond(status, "denied", text)
}

// respond sends a response of the system's own.
func (q *request) respond(status int, reason, text string) {
	q.reason = reason
	h := q.w.Header()
	q.closeIfStopping(h)
	q.relay.options.Dialect.SetRequestID(h, q.call.ID)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := text + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.writeHead(status)
	_, _ = fmt.Fprint(q.w, body) // a caller that left needs no response
	q.logEnd(status)
}

// abort closes the caller's connection, so that an incomplete response can't look complete.
func (q *request) abort(reason string) {
	q.reason = reason
	q.logEnd(0)
	q.freeResults()
	panic(http.ErrAbortHandler)
}

// logEnd logs the end of the request. Status is 0 if the caller's connection is closed before
// the end of the response.
func (q *request) logEnd(status int) {
	route, digest := "", ""
	if q.route != nil {
		route = q.route.Name
	}
	if q.possibleRuns+q.refusals > 0 {
		digest = q.digest().String()
	}
	a := q.current
	if a == nil {
		a = &attempt{}
	}
	if q.reason == "caller_left" && inbound.ClosedByServer(q.r.Context()) {
		q.reason = "closed_here"
	}
	telemetry.InfoS("Request ended", telemetry.Event{
		RequestID: q.call.ID, Account: q.loggedAccount(), Digest: digest, Pipeline: route, Target: a.target.Incarnation, Version: a.target.Version, Resumes: q.call.Resumes, Peer: a.grantedBy, Reason: q.reason, Cause: textOf(q.cause),
		Status: status, Elapsed: time.Since(q.arrived), Count: q.possibleRuns + q.refusals, HeaderDuration: q.headTime,
		StageWait: q.timings.stagesWait, GrantWait: q.timings.grantWait, FirstEvent: q.timings.firstEvent, LongestPause: q.timings.longestPause, KnowledgeAge: a.knowledgeAge,
		LastEvent: q.lastEventID, Sources: q.sources, Framing: a.framing(),
	})
	q.relay.metrics.recordResponse(status, q.reason, time.Since(q.arrived))
	q.relay.metrics.recordTimings(&q.timings)
	q.recordOutcome(status)
	if status == http.StatusOK && q.service != "" {
		q.relay.options.Budgets.Succeeded(time.Now(), q.service)
	}
}
