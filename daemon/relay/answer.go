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
	"github.com/ivyhollow/ivyhollow/protocol/sse"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/forward"
	"github.com/ivyhollow/ivyhollow/transport/inbound"
)

// readBuffer is the size of one read of an answer, in bytes.
const readBuffer = 16 << 10

// passOn gives the target's answer to the caller.
func (q *request) passOn(ctx context.Context, reply *forward.Reply, silence *time.Timer) (routing.Outcome, error) {
	switch {
	case q.streams() && reply.Status == http.StatusOK:
		return q.passEvents(ctx, reply, silence)
	case q.headerSent:
		// The caller has a part of a stream: no other answer can end it.
		return routing.OutcomeOK, &failure{cause: errors.Newf("target continued the stream with status %d", reply.Status)}
	default:
		return q.passWhole(ctx, reply, silence)
	}
}

// passWhole passes an answer on that is no stream of events. What is not too
// long is read whole before its head is sent.
func (q *request) passWhole(ctx context.Context, reply *forward.Reply, silence *time.Timer) (routing.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(reply, bufferedAnswer))
	if err != nil {
		return q.brokenOff(ctx, err)
	}
	q.dropResults()
	q.parts.event(time.Now())
	if reply.Status >= http.StatusInternalServerError && q.mayBetter() {
		return routing.OutcomeOK, &failure{
			cause: errors.Newf("target failed with status %d", reply.Status),
			reply: &heldReply{reply.Status, reply.Header, body},
		}
	}
	if len(body) < bufferedAnswer {
		q.sendHeld(&heldReply{reply.Status, reply.Header, body})
		return routing.OutcomeOK, nil
	}
	silence.Stop() // no other target can better an answer whose caller has a part of it
	q.sendHead(reply.Status, reply.Header, reply.Length)
	if _, err := q.w.Write(body); err == nil {
		_, err = io.Copy(q.w, reply)
		if err == nil {
			q.logEnd(reply.Status)
			return routing.OutcomeOK, nil
		}
		var f *forward.Error
		if errors.As(err, &f) {
			_, err = q.brokenOff(ctx, err)
			q.noteEnd(ctx, err)
		}
	}
	q.abort("answer_broken_off")
	return routing.OutcomeFailed, nil // not reached: abort panics
}

// sendHeld sends a whole answer of a target.
func (q *request) sendHeld(h *heldReply) {
	q.sendHead(h.status, h.header, int64(len(h.body)))
	if _, err := q.w.Write(h.body); err != nil {
		q.reason = "caller_left"
	}
	q.logEnd(h.status)
}

// sendHead sends the head of a target's answer.
func (q *request) sendHead(status int, header http.Header, length int64) {
	h := q.w.Header()
	q.announceStop(h)
	for name, values := range q.relay.options.Dialect.CallerResponseHeader(header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // else net/http guesses one
	}
	if length >= 0 && q.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	q.writeHead(status)
}

// writeHead sends the one head of the answer. net/http would drop a second one, and have
// what follows it end the answer.
func (q *request) writeHead(status int) {
	if q.headerSent {
		q.abort("stream_broken_off")
	}
	q.w.WriteHeader(status)
	q.headerSent = true
}

// announceStop tells the caller of an instance that stops to go elsewhere with its next
// request.
func (q *request) announceStop(h http.Header) {
	if _, stopping := q.relay.draining(); stopping {
		h.Set("Connection", "close")
	}
}

// passEvents passes a stream on, event by event: a target may stop in the middle
// of one, and what goes on elsewhere begins with a whole one.
func (q *request) passEvents(ctx context.Context, reply *forward.Reply, silence *time.Timer) (routing.Outcome, error) {
	events := sse.NewSplitter(0, q.behind())
	buffer := make([]byte, readBuffer)
	controller := http.NewResponseController(q.w)
	for {
		n, readErr := reply.Read(buffer)
		if n > 0 {
			if q.handles != nil {
				q.release(time.Since(q.parts.sent))
				q.handles = []string{}
			}
			err := q.takeEvents(reply, events, buffer[:n], controller)
			silence.Reset(q.gapBound())
			if err != nil {
				return q.brokenOff(ctx, err)
			}
		}
		if readErr == io.EOF && q.endsStream(events) {
			if !q.headerSent {
				q.sendHead(reply.Status, reply.Header, -1)
			}
			q.logEnd(reply.Status)
			return routing.OutcomeOK, nil
		}
		if readErr == io.EOF {
			readErr = io.ErrUnexpectedEOF
		}
		if readErr != nil {
			return q.brokenOff(ctx, readErr)
		}
	}
}

// takeEvents takes in bytes of a stream and sends the whole events. The error tells of what
// is no event or doesn't follow those before it.
func (q *request) takeEvents(reply *forward.Reply, events *sse.Splitter, p []byte, controller *http.ResponseController) error {
	before := events.Events()
	whole, err := events.Add(p)
	q.notResumable = !events.Resumable()
	if len(whole) > 0 {
		q.parts.event(time.Now())
		q.sendEvents(reply, whole, controller)
		q.lastEvent = events.LastID()
	}
	if before == 0 && events.Events() > 0 {
		q.sources++
	}
	return err
}

// behind is the id of the event that a target's stream must go on behind; empty if it
// begins anew. Where streams aren't resumed, what a caller says of that is for the target
// alone.
func (q *request) behind() string {
	if !q.route.Repeatable() {
		return ""
	}
	return q.lastID()
}

// endsStream tells whether a target's stream that has ended is the rest of the caller's.
// One that brought no event may have nothing left, if it says so by more than the end of
// its connection.
func (q *request) endsStream(events *sse.Splitter) bool {
	if len(events.Partial()) > 0 {
		return false
	}
	return events.Events() > 0 || q.behind() != "" && q.framing != forward.FramedByClose
}

// gapBound is how long a stream may pause before it goes on elsewhere.
func (q *request) gapBound() time.Duration {
	if !q.mayBetter() {
		return unbounded
	}
	return silentGap
}

// sendEvents sends whole events at once.
func (q *request) sendEvents(reply *forward.Reply, whole []byte, controller *http.ResponseController) {
	if !q.headerSent {
		q.sendHead(reply.Status, reply.Header, -1)
	}
	_, err := q.w.Write(whole)
	if err == nil {
		err = controller.Flush()
	}
	if err != nil {
		q.reason = "caller_left"
		q.logEnd(reply.Status)
		panic(http.ErrAbortHandler)
	}
}

// brokenOff tells what an answer means that ended early.
func (q *request) brokenOff(ctx context.Context, err error) (routing.Outcome, error) {
	outcome, failed := q.failed(ctx, err)
	var f *failure
	if errors.As(failed, &f) {
		f.notRun = false
	}
	return outcome, failed
}

// answerFailure sends the final answer of a request that no target answered.
func (q *request) answerFailure(ctx context.Context, err error) {
	var f *failure
	if errors.As(err, &f) && f.reply != nil && !q.headerSent {
		q.sendHeld(f.reply)
		return
	}
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
	stopped := errors.Is(err, errNoTimeToSend) || errors.Is(err, errStopOver)
	late := errors.Is(err, errDeadline) || ctx.Err() != nil
	switch {
	case isIDInUse(err) && !q.mayHaveRun:
		q.deny(http.StatusBadRequest, idInUse)
	case stopped && !q.mayHaveRun:
		q.refuse("stopping", minRetryAfter)
	case stopped:
		q.fail(http.StatusGatewayTimeout, "stopping")
	case errors.As(err, &blocked) && !q.mayHaveRun:
		q.refuse(reasonCrashes, blocked.left)
	case errors.As(err, &refused) && !q.mayHaveRun:
		q.refuse(string(refused.Reason), refused.RetryAfter)
	case errors.As(err, &none) && !q.mayHaveRun:
		q.refuse("no_target", time.Second)
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

// isIDInUse tells whether the holder of the stage queue has another request of the id.
func isIDInUse(err error) bool {
	var refused *stages.RefusedError
	return errors.As(err, &refused) && refused.Reason == gather.ReasonIDInUse
}

// reasonCrashes is the reason of a refusal since the request crashes targets.
const reasonCrashes = "crashes_targets"

// minRetryAfter is the least time to come back: about one stage call.
const minRetryAfter = 250 * time.Millisecond

// refuse says that the request has not run and when to come back.
func (q *request) refuse(reason string, after time.Duration) {
	q.w.Header().Set("Retry-After", strconv.FormatFloat(max(after, minRetryAfter).Seconds(), 'f', 2, 64))
	q.answer(http.StatusServiceUnavailable, reason, "not run: "+reason)
}

// fail says that the request may have run.
func (q *request) fail(status int, reason string) {
	q.answer(status, reason, "the request may have run: "+reason)
}

// deny refuses what is not allowed or not well formed.
func (q *request) deny(status int, text string) {
	q.answer(status, "denied", text)
}

// answer sends an answer of the system's own.
func (q *request) answer(status int, reason, text string) {
	q.reason = reason
	h := q.w.Header()
	q.announceStop(h)
	q.relay.options.Dialect.SetRequestID(h, q.call.ID)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := text + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.writeHead(status)
	_, _ = fmt.Fprint(q.w, body) // a caller that left needs no answer
	q.logEnd(status)
}

// abort closes the caller's connection, so that an answer which isn't whole
// can't look so.
func (q *request) abort(reason string) {
	q.reason = reason
	q.logEnd(0)
	q.dropResults()
	panic(http.ErrAbortHandler)
}

// logEnd writes the line of the request's end. Status is 0 if the caller's connection is
// closed before the end of the answer.
func (q *request) logEnd(status int) {
	route, digest := "", ""
	if q.route != nil {
		route = q.route.Name
	}
	if q.sent+q.refused > 0 {
		digest = q.digest().String()
	}
	if q.reason == "caller_left" && inbound.ClosedHere(q.r.Context()) {
		q.reason = "closed_here"
	}
	telemetry.InfoS("Request ended", telemetry.Event{
		RequestID: q.call.ID, Digest: digest, Pipeline: route, Target: q.target, Reason: q.reason,
		Status: status, Elapsed: time.Since(q.arrived), Count: q.sent + q.refused, HeaderDuration: q.head,
		StageWait: q.parts.stages, FirstEvent: q.parts.first, LongestPause: q.parts.pause, KnowledgeAge: q.known,
		LastEvent: q.lastEvent, Sources: q.sources, Framing: string(q.framing),
	})
	q.relay.metrics.ended(status, q.reason, time.Since(q.arrived))
	q.relay.metrics.took(&q.parts)
	if status == http.StatusOK && q.service != "" {
		q.relay.options.Budgets.Succeeded(time.Now(), q.service)
	}
}
