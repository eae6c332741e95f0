package relay

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/protocol/sse"
	"github.com/ivyhollow/ivyhollow/transport/forward"
)

const (
	// maxFirstByteDelay is the time to the first byte after which another target is tried beside the
	// present one, if that is allowed: several times what an engine takes for the longest prompts.
	maxFirstByteDelay = 1200 * time.Millisecond
	// maxEventGap is the pause after which another target is asked to resume a stream, if that is
	// allowed. It is a few times as long as a pause that misses the objective.
	maxEventGap = 1200 * time.Millisecond
	// hedgeShare is the share of the objective after which a plain request may be sent to
	// another target, so that the second response can still meet the objective.
	hedgeShare = 0.7
	// maxBufferedReply is the size, in bytes, up to which a reply is read completely before
	// its head is forwarded. Until then another target may replace one that breaks off.
	maxBufferedReply = 64 << 10
	// maxBufferedFailure is the same for an error response, which is held while another target may do better. A longer one
	// is forwarded, or dropped if another attempt is open.
	maxBufferedFailure = 1 << 20
	// streamBuffers is the number of read buffers of a stream: one is filled while the other is
	// forwarded.
	streamBuffers = 2
)

// maxRefusalBodyTime bounds the time for reading the body of a refusal, which only lets its connection
// be used again.
const maxRefusalBodyTime = 100 * time.Millisecond

// errRefusalTooLong cancels an attempt whose target's refusal doesn't end.
var errRefusalTooLong = errors.New("the refusal doesn't end")

// errUnidentified means that a reply without an ID arrived on a connection that has carried other requests:
// it may belong to any of them.
var errUnidentified = errors.New("the reply on a reused connection has no ID")

// errAbandoned cancels an attempt whose request needs it no longer.
var errAbandoned = errors.New("the request needs the attempt no longer")

// attempt is one send of a request to a target. Its reader passes what the target sends to the
// request.
type attempt struct {
	target  routing.Target
	started time.Time
	tracked *routing.Attempt
	ctx     context.Context
	cancel  context.CancelCauseFunc
	span    trace.Span
	silence *silenceTimer
	// abandoned is closed when nobody receives the attempt's messages any more.
	abandoned chan struct{}
	// grant is the grant of the send, if it was requested apart from the stages.
	grant grant
	// grantedBy is the address of the instance that granted the send; empty if it needed no grant.
	grantedBy string
	// accountedBy is the address of the instance that waits for the report of the attempt's end; empty
	// if none does.
	accountedBy string
	// knowledgeAge is how old the knowledge of the targets was when the target was chosen.
	knowledgeAge time.Duration

	// The request alone uses the fields below.

	head *replyHead
	// events splits a stream into events.
	events *sse.Splitter
	// comments are the comments of a stream that wait for an event while other attempts are open.
	comments []byte
	// silent is true while the target has sent nothing for so long that another one was sought.
	silent bool
	// resumed is true if the attempt continues a stream.
	resumed bool
	// notFound is why the latest search for another target found none.
	notFound string
	// firstData is the time from the start to the first part of the reply; 0 before.
	firstData time.Duration
	// lastData is when the latest part of the reply arrived, or else when the attempt started.
	lastData time.Time
}

// start sends the request to a target. The attempt ends with ctx at the latest.
func (q *request) start(ctx context.Context, t routing.Target) {
	now := time.Now()
	ctx, span := q.relay.options.Tracer.Start(ctx, "attempt "+t.Pool)
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{
		target: t, started: now, lastData: now, ctx: ctx, cancel: cancel, span: span, abandoned: make(chan struct{}),
		grant: q.grant, knowledgeAge: q.relay.options.KnowledgeAge(), events: sse.NewSplitter(0, q.requiredResumeID()),
		resumed: q.resumeID() != "",
	}
	if q.paced {
		a.grantedBy = cmp.Or(q.grant.holder, q.owner)
	}
	q.grant = grant{number: q.grant.number}
	a.tracked = q.relay.options.Router.StartedWork(a.started, t.Incarnation, q.predictWork())
	q.recordSend()
	q.open = append(q.open, a)
	if q.current == nil || !slices.Contains(q.open, q.current) {
		q.current = a
	}
	q.updateContinuation()
	a.silence = newSilenceTimer(q.firstByteTimeout(), func() bool { return q.reportSilence(a) })
	go a.read(q.relay, q.inbox, q.targetRequest(t), q.sendOptions(t), q.isStream())
}

// sendOptions returns the options of a send to a target.
func (q *request) sendOptions(t routing.Target) forward.Options {
	paced, sendAt, suspects, onTrial := q.paced, q.sendAt, q.suspects(), q.onTrial
	options := forward.Options{
		Service: q.service, MayProbe: q.mayRetry(),
		RequestID: q.call.ID, Incarnation: t.Incarnation, Matches: q.isOwnReply, KeepIdle: q.keepIdle,
		EndsWithTarget: true,
		Allowed: func() bool {
			return q.relay.usable(t.Incarnation) && !q.relay.blocked(suspects, onTrial) && grantValid(paced, sendAt, time.Now()) && (paced || !q.relay.isPaced(q.service))
		},
	}
	if !q.route.Repeatable() {
		options.MaxIdle = forward.NonRepeatableMaxIdle
	}
	return options
}

// usable reports whether a target may receive new work.
func (s *Relay) usable(incarnation string) bool {
	return s.options.Usable == nil || s.options.Usable(incarnation)
}

// read sends the request and reads the reply.
func (a *attempt) read(s *Relay, messages *inbox, request *http.Request, options forward.Options, stream bool) {
	defer func() {
		if r := recover(); r != nil {
			// As in a handler of net/http, a panic ends the request and not the process.
			messages.put(message{from: a, err: errors.Newf("reading the reply: panic: %v\n%s", r, debug.Stack())})
		}
	}()
	reply, err := s.options.Client.Do(a.ctx, a.target.Address, request, options)
	if err != nil {
		messages.put(message{from: a, err: err})
		return
	}
	parsed := s.options.Dialect.ParseTargetResponse(reply.Status, reply.Header)
	if parsed.ID == "" && reply.Reused() {
		reply.DiscardConn()
		reply.Close()
		messages.put(message{from: a, err: &forward.Error{Step: forward.StepReply, Peer: a.target.Address, Sent: true, Err: errUnidentified}})
		return
	}
	if s.options.OnResponse != nil {
		s.options.OnResponse(a.target.Incarnation, parsed)
	}
	if parsed.WrongTarget {
		s.options.OnLeaving(a.target.Incarnation)
	}
	head := &replyHead{status: reply.Status, header: reply.Header, length: reply.Length, framing: reply.Framing(), parsed: parsed}
	if !parsed.NotRun && !head.isUsable() {
		reply.Close() // its body, which may never end, is of no use
		messages.put(message{from: a, head: head, err: io.EOF})
		return
	}
	if parsed.NotRun {
		timer := time.AfterFunc(maxRefusalBodyTime, func() { a.cancel(errRefusalTooLong) })
		defer timer.Stop()
	}
	if stream && head.isUsable() && reply.Status == http.StatusOK {
		a.readStream(messages, reply, head)
		return
	}
	a.readPlain(messages, reply, head)
}

// isUsable reports whether the reply is the target's whole and own response.
func (h *replyHead) isUsable() bool {
	return !h.parsed.NotRun && h.parsed.Signed && h.header.Get("Content-Encoding") == ""
}

// readStream passes a stream on as it arrives.
func (a *attempt) readStream(messages *inbox, reply *forward.Reply, head *replyHead) {
	var buffers [streamBuffers][]byte
	for i := 0; ; i = (i + 1) % streamBuffers {
		if buffers[i] == nil {
			buffers[i] = make([]byte, readBuffer)
		}
		n, err := reply.Read(buffers[i])
		if err != nil {
			reply.Close() // only once: the connection may serve another request from then on
		}
		received := messages.put(message{from: a, head: head, data: buffers[i][:n], err: err})
		switch {
		case err != nil:
			return
		case !received:
			reply.Close()
			return
		}
	}
}

// readPlain passes a reply on that isn't a stream, whole or with what is left to read.
func (a *attempt) readPlain(messages *inbox, reply *forward.Reply, head *replyHead) {
	limit := maxBufferedReply
	if head.status >= http.StatusInternalServerError {
		limit = maxBufferedFailure
	}
	body, err := io.ReadAll(io.LimitReader(reply, int64(limit)))
	m := message{from: a, head: head, data: body, err: err}
	if err == nil && len(body) == limit {
		m.rest = reply
	} else {
		reply.Close()
	}
	if err == nil && m.rest == nil {
		m.err = io.EOF
	}
	if !messages.put(m) && m.rest != nil {
		reply.Close()
	}
}

// framing returns how the target marks the end of its reply; empty if there is none.
func (a *attempt) framing() string {
	if a.head == nil {
		return ""
	}
	return string(a.head.framing)
}

// end releases what the attempt holds, and cancels it if it still runs.
func (a *attempt) end() {
	a.silence.Stop()
	a.cancel(errAbandoned)
	close(a.abandoned)
	a.span.End()
}

// targetRequest returns the request to send to the target.
func (q *request) targetRequest(t routing.Target) *http.Request {
	header := q.relay.options.Dialect.TargetRequestHeader(q.r.Header, exchange.TargetRequest{
		Remaining:   time.Until(q.deadline),
		Target:      t.Name,
		Account:     q.account,
		Priority:    q.priority,
		ToEngine:    q.route.PrefixCaching,
		Inputs:      q.resultHandles,
		ResumeAfter: q.resumeID(),
	})
	out := &http.Request{
		Method: q.r.Method, URL: q.r.URL, Host: q.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(q.body)),
	}
	if len(q.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(q.body))
	}
	return out
}

// resumeID returns the ID of the last event that the caller has, from this response or from an
// earlier one that it asks to resume.
func (q *request) resumeID() string { return cmp.Or(q.lastEventID, q.call.ResumeAfter) }

// isOwnReply reports whether a reply belongs to this request.
func (q *request) isOwnReply(status int, h http.Header) bool {
	id := q.relay.options.Dialect.ParseTargetResponse(status, h).ID
	return id == "" || id == q.call.ID
}

func (q *request) keepIdle(h http.Header) time.Duration {
	return q.relay.options.Dialect.ParseTargetResponse(http.StatusOK, h).IdleTimeout
}
