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

// Causes with which the context of an exchange is cancelled.
var (
	errDeadline = errors.New("deadline passed")
	errSilent   = errors.New("no byte for too long")
	errFinished = errors.New("exchange is over")
)

// exchange is one attempt: a call on one connection and its answer.
type exchange struct {
	client *Client
	call   Call
	accept string

	ctx    context.Context
	cancel context.CancelCauseFunc
	stop   context.CancelFunc
	span   trace.Span
	// silence cancels the exchange when the other end sends nothing.
	silence *time.Timer
	// gap is how long the body may bring no byte.
	gap time.Duration

	// hasConn tells that the call got a connection; writesBefore is the count
	// of its writes at that moment.
	hasConn      bool
	conn         *conn
	writesBefore int64
	response     *http.Response
	body         io.Reader
	meta         Meta
}

func (c *Client) newExchange(ctx context.Context, call Call, accept string) *exchange {
	x := &exchange{client: c, call: call, accept: accept, gap: c.options.EventGap, stop: func() {}}
	x.ctx, x.span = startSpan(ctx, c.options.Tracer, &call, accept)
	if ends, ok := ctx.Deadline(); !call.Deadline.IsZero() && (!ok || ends.After(call.Deadline)) {
		x.ctx, x.stop = context.WithDeadlineCause(x.ctx, call.Deadline, errDeadline)
	}
	x.ctx, x.cancel = context.WithCancelCause(x.ctx)
	return x
}

// roundTrip sends the call and waits for the headers of its answer.
func (x *exchange) roundTrip() error {
	if x.ctx.Err() != nil {
		return x.failure(StepConnect, context.Cause(x.ctx))
	}
	request, err := x.newRequest()
	if err != nil {
		return x.failure(StepEncode, err)
	}
	// The dial has its own bound, and got starts the bound for the headers.
	x.silence = time.AfterFunc(x.client.options.ConnectTimeout+x.headerTimeout(), x.onSilence)
	x.response, err = x.client.pooled.RoundTrip(request)
	if err != nil {
		x.closeConn()
		return x.failure(x.sendStep(), err)
	}
	x.body = &watchedBody{exchange: x, left: x.client.options.MaxBody}
	x.silence.Stop()
	return nil
}

func (x *exchange) newRequest() (*http.Request, error) {
	body, err := json.Marshal(x.call.Run)
	if err != nil {
		return nil, err
	}
	ctx := httptrace.WithClientTrace(x.ctx, &httptrace.ClientTrace{GotConn: x.got})
	url := "http://" + x.call.Address + targetapi.PathRun
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// The failure: net/http sends a request once more when a reused connection
	// breaks, and a stage runs twice. It does so for requests whose body it can
	// get again and which look repeatable. Without GetBody it has no second
	// body, and without an Idempotency-Key header a POST does not look so.
	request.GetBody = nil
	x.setHeaders(request.Header)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	return request, nil
}

func (x *exchange) setHeaders(header http.Header) {
	// One array holds all values: Header.Set makes one for each. The names are
	// constants in canonical form.
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
		left := targetDeadline(time.Until(x.call.Deadline))
		set(targetapi.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	}
}

// maxHeaders is how many headers a call has at most.
const maxHeaders = 8

// Bounds of what the target's deadline is earlier than the call's own.
const (
	// answerShare is the share of what is left, as a divisor.
	answerShare  = 10
	answerMargin = 20 * time.Millisecond
)

// targetDeadline is the time the target is given.
//
// The failure: a call waits in the target's queue until its deadline. The target
// answers "not run" at the moment at which this client gives up, the answer
// loses the race, and a caller whose work never started is told "unknown". The
// margin gives that answer the time to arrive. Where it takes longer the caller
// is told "unknown" still, which is weaker but not false.
func targetDeadline(left time.Duration) time.Duration {
	margin := min(left/answerShare, answerMargin)
	return max(left-margin, time.Millisecond)
}

// got notes the connection before anything of the call is written to it.
func (x *exchange) got(info httptrace.GotConnInfo) {
	x.hasConn = true
	x.conn, _ = info.Conn.(*conn)
	if x.conn != nil {
		x.writesBefore = x.conn.writes.Load()
	}
	x.silence.Reset(x.headerTimeout())
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

// bytesLeft tells whether any byte of the call can have left this process. The
// connection must be closed before, so that none can leave after.
func (x *exchange) bytesLeft() bool {
	if x.conn == nil {
		return x.hasConn
	}
	return x.conn.writes.Load() > x.writesBefore
}

// sendStep is the step in which a round trip failed.
func (x *exchange) sendStep() Step {
	switch {
	case !x.hasConn:
		return StepConnect
	case !x.bytesLeft():
		return StepSend
	default:
		return StepHeaders
	}
}

// finish ends the exchange, and cancels at the target an attempt that may still
// be running there.
func (x *exchange) finish(err error) error {
	if x.silence != nil {
		x.silence.Stop()
	}
	failed := asAttemptError(err)
	if failed != nil && failed.Outcome == Unknown {
		x.client.cancelLater(x.call.Address, x.call.AttemptID)
	}
	if x.response != nil {
		// Only says that the connection is gone.
		_ = x.response.Body.Close()
	}
	x.cancel(errFinished)
	x.stop()
	endSpan(x.span, x.meta, failed)
	if failed == nil {
		return nil
	}
	return failed
}

// closeConn closes the connection whatever net/http makes of it. A body that
// was read to its end has put the connection back among the idle ones, where a
// late or foreign answer would be taken for that of the next call.
func (x *exchange) closeConn() {
	if x.conn != nil {
		// It is of no use any more, whatever closing it brings.
		_ = x.conn.Close()
	}
}
