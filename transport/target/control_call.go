package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// controlCall is a call other than an attempt to run a stage.
type controlCall struct {
	step      Step
	transport *http.Transport
	timeout   time.Duration
	address   string
	method    string
	path      string
	// body is sent as JSON unless it is nil.
	body any
	// statusErrors maps status codes to the errors that they mean for this call.
	// All of them mean that the call had no effect.
	statusErrors map[int]error
}

// control makes the call and returns the body of a successful response.
func (c *Client) control(ctx context.Context, call controlCall) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	request, err := call.newRequest(ctx)
	if err != nil {
		return nil, call.newError(NotRun, err)
	}
	response, err := call.transport.RoundTrip(request)
	if err != nil {
		return nil, call.newError(connectOutcome(err), err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := readBounded(response.Body, c.options.MaxBody)
	if refused := call.responseError(response); refused != nil {
		return nil, refused
	}
	if err != nil {
		return nil, call.newError(Unknown, err)
	}
	return content, nil
}

func (call controlCall) newRequest(ctx context.Context) (*http.Request, error) {
	var content io.Reader
	if call.body != nil {
		encoded, err := json.Marshal(call.body)
		if err != nil {
			return nil, err
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+call.address+call.path, content)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", contentTypeJSON)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	return request, nil
}

// responseError returns the error that a response reports, or nil on success.
func (call controlCall) responseError(response *http.Response) error {
	if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNoContent {
		return nil
	}
	if known := call.statusErrors[response.StatusCode]; known != nil {
		return call.newError(NotRun, known)
	}
	outcome := Unknown
	if response.Header.Get(targetapi.HeaderNotRun) == "true" {
		outcome = NotRun
	}
	return call.newError(outcome, errors.Newf("status %d", response.StatusCode))
}

func (call controlCall) newError(outcome Outcome, err error) *ControlError {
	return &ControlError{Step: call.step, Peer: call.address, Outcome: outcome, Err: err}
}

// connectOutcome returns NotRun if the dial failed, else Unknown: the call may have
// been sent.
func connectOutcome(err error) Outcome {
	if dial := (*dialError)(nil); errors.As(err, &dial) {
		return NotRun
	}
	return Unknown
}

// readBounded reads to the end. It fails if that is more than bound bytes.
func readBounded(r io.Reader, bound int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(r, bound+1))
	if err == nil && int64(len(content)) > bound {
		err = errTooLarge
	}
	return content, err
}
