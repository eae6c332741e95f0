package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/ivyhollow/ivyhollow/protocol/sse"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

const (
	contentTypeJSON   = "application/json"
	contentTypeStream = sse.ContentType
)

// Causes of the cancellation of an exchange's context.
var (
	errDeadline = errors.New("deadline passed")
	errSilent   = errors.New("no byte for too long")
	errFinished = errors.New("exchange is over")
)

// exchange is one attempt: a request on one connection and its response.
type exchange struct {
	client *Client
	call   Call
	accept string

	ctx          context.Context
	cancel       context.CancelCauseFunc
	stopDeadline context.CancelFunc
	span         trace.Span
	// silenceTimer cancels the exchange when the target sends nothing.
	silenceTimer *time.Timer
	// bodyIdleTimeout bounds each wait for bytes of the body.
	bodyIdleTimeout time.Duration
	// endsIfSilent reports whether the next wait is bounded; nil means that all are.
	endsIfSilent func() bool

	// hasConn reports whether the call got a connection; writesBefore is the
	// connection's write count at that time.
	hasConn      bool
	conn         *countingConn
	writesBefore int64
	response     *http.Response
	body         io.Reader
	meta         ResponseMeta
}

func (c *Client) newExchange(ctx context.Context, call Call, accept string) *exchange {
	x := &exchange{client: c, call: call, accept: accept, bodyIdleTimeout: c.options.BodyIdleTimeout, stopDeadline: func() {}}
	x.ctx, x.span = startSpan(ctx, c.options.Tracer, &call, accept)
	if ends, ok := ctx.Deadline(); !call.Deadline.IsZero() && (!ok || ends.After(call.Deadline)) {
		x.ctx, x.stopDeadline = context.WithDeadlineCause(x.ctx, call.Deadline, errDeadline)
	}
	x.ctx, x.cancel = context.WithCancelCause(x.ctx)
	return x
}

// roundTrip sends the request and waits for the response headers.
func (x *exchange) roundTrip() error {
	if x.ctx.Err() != nil {
		return x.fail(StepConnect, context.Cause(x.ctx))
	}
	request, err := x.newRequest()
	if err != nil {
		return x.fail(StepEncode, err)
	}
	// The dial has its own timeout, and gotConn restarts the timer for the headers.
	x.silenceTimer = time.AfterFunc(x.client.options.ConnectTimeout+x.headerTimeout(), x.onSilence)
	x.response, err = x.client.pooled.RoundTrip(request)
	if err != nil {
		x.closeConn()
		return x.fail(x.sendStep(), err)
	}
	x.body = &boundedBody{exchange: x, remaining: x.client.options.MaxBody}
	x.silenceTimer.Stop()
	return nil
}

func (x *exchange) newRequest() (*http.Request, error) {
	body, err := json.Marshal(x.call.Run)
	if err != nil {
		return nil, err
	}
	ctx := httptrace.WithClientTrace(x.ctx, &httptrace.ClientTrace{GotConn: x.gotConn})
	url := "http://" + x.call.Address + targetapi.PathRun
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Prevents a stage from running twice: net/http resends a request when a reused
	// connection breaks, if it can get the body again and regards the request as
	// idempotent. Without GetBody it has no second body, and without an
	// Idempotency-Key header it doesn't regard a POST as idempotent.
	request.GetBody = nil
	x.setHeaders(request.Header)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	return request, nil
}

func (x *exchange) setHeaders(header http.Header) {
	// One backing array holds all values; Header.Set would allocate a slice for
	// each. The names are constants in canonical form.
	values := make([]string, 0, maxHeaders)
	set := func(name, value string) {
		n := len(values)
		values = append(values, value)
		header[name] = values[n : n+1 : n+1]
	}
	set("Content-Type", contentTypeJSON)
	set("Accept", x.accept)
	set(targetapi.HeaderAttempt, x.call.AttemptID)
	set(targetapi.HeaderRequest, x.call.RequestID)
	set(targetapi.HeaderPriority, strconv.Itoa(x.call.Priority))
	if x.call.Tier != "" {
		set(targetapi.HeaderTier, x.call.Tier)
	}
	if x.call.Incarnation != "" {
		set(targetapi.HeaderExpectIncarnation, x.call.Incarnation)
	}
	if !x.call.Deadline.IsZero() {
		left := targetTimeout(time.Until(x.call.Deadline))
		set(targetapi.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	}
}

// maxHeaders is the maximum number of headers that setHeaders sets.
const maxHeaders = 8

// Limits of the margin by which the target's deadline precedes the call's own.
const (
	// marginDivisor limits the margin to the remaining time divided by it.
	marginDivisor     = 10
	maxDeadlineMargin = 20 * time.Millisecond
)

// targetTimeout returns the part of the call's remaining time that the target gets.
//
// A call may wait in the target's queue until its deadline. If target and client
// had the same deadline, the target's "not run" would arrive after the client gave
// up, and the outcome of work that never started would be "unknown". The margin is
// the time for that response to arrive. If it takes longer, the outcome is still
// "unknown", which is less precise but not false.
func targetTimeout(left time.Duration) time.Duration {
	margin := min(left/marginDivisor, maxDeadlineMargin)
	return max(left-margin, time.Millisecond)
}

// gotConn records the connection before the request is written to it.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.hasConn = true
	x.conn, _ = info.Conn.(*countingConn)
	if x.conn != nil {
		x.writesBefore = x.conn.writes.Load()
	}
	x.silenceTimer.Reset(x.headerTimeout())
}

func (x *exchange) headerTimeout() time.Duration {
	if x.call.HeaderTimeout > 0 {
		return x.call.HeaderTimeout
	}
	return x.client.options.HeaderTimeout
}

func (x *exchange) onSilence() {
	x.cancel(errSilent)
}

// mayHaveSent reports whether any byte of the request may have left this process.
// The connection must be closed first, so that no byte is written afterwards.
func (x *exchange) mayHaveSent() bool {
	if x.conn == nil {
		return x.hasConn
	}
	return x.conn.writes.Load() > x.writesBefore
}

// sendStep returns the step in which a round trip failed.
func (x *exchange) sendStep() Step {
	switch {
	case !x.hasConn:
		return StepConnect
	case !x.mayHaveSent():
		return StepSend
	default:
		return StepHeaders
	}
}

// finish ends the exchange, and cancels the attempt on the target if it may still
// be running there.
func (x *exchange) finish(err error) error {
	if x.silenceTimer != nil {
		x.silenceTimer.Stop()
	}
	failed := asAttemptError(err)
	if failed != nil && failed.Outcome == Unknown {
		x.client.cancelAsync(x.call.Address, x.call.AttemptID)
	}
	if x.response != nil {
		// An error only means that the connection is closed already.
		_ = x.response.Body.Close()
	}
	x.cancel(errFinished)
	x.stopDeadline()
	endSpan(x.span, x.meta, failed)
	if failed == nil {
		return nil
	}
	return failed
}

// closeConn closes the connection even if net/http has put it back into its idle
// pool, as it does when a body was read to the end. There a late response or one to
// another attempt would be read as the response to the next call.
func (x *exchange) closeConn() {
	if x.conn != nil {
		// The connection isn't used again, so an error is ignored.
		_ = x.conn.Close()
	}
}
