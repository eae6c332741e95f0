package target

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// queryAfter is the query parameter of PathCacheEvents.
const queryAfter = "after"

// ErrFenced says that the target has seen a higher fencing number and that the
// order had no effect.
var ErrFenced = errors.New("order carries an old fencing number")

// ErrNoAttempt says that the target knows no attempt of that id.
var ErrNoAttempt = errors.New("no such attempt")

// The steps of ControlError.
const (
	StepCancel      Step = "cancel"
	StepLoad        Step = "load"
	StepOrder       Step = "order"
	StepCacheEvents Step = "cache_events"
)

// ControlError is every error of Cancel, Load, Order and CacheEvents.
type ControlError struct {
	Step Step
	Peer string
	// Outcome is NotRun when the call had no effect for certain, else Unknown.
	Outcome Outcome
	Err     error
}

// Error names the step, the peer and the outcome.
func (e *ControlError) Error() string {
	return "target " + e.Peer + ": " + string(e.Step) + " (" + e.Outcome.String() + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ControlError) Unwrap() error { return e.Err }

// Cancel asks the target to stop an attempt. It takes a new connection: the
// one that the attempt is on may be the reason to give up.
func (c *Client) Cancel(ctx context.Context, address, attemptID string) error {
	_, err := c.control(ctx, controlCall{
		step:         StepCancel,
		transport:    c.unpooled,
		timeout:      c.options.ControlTimeout,
		address:      address,
		method:       http.MethodPost,
		path:         targetapi.PathCancel,
		body:         targetapi.CancelRequest{AttemptID: attemptID},
		statusErrors: map[int]error{http.StatusNotFound: ErrNoAttempt},
	})
	return err
}

// Load asks a target for its own report.
func (c *Client) Load(ctx context.Context, address string) (targetapi.Load, error) {
	content, err := c.get(ctx, StepLoad, address, targetapi.PathLoad)
	if err != nil {
		return targetapi.Load{}, err
	}
	return parseResponse[targetapi.Load](content, StepLoad, address)
}

// CacheEvents reads the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (targetapi.CacheEvents, error) {
	query := url.Values{queryAfter: {strconv.FormatUint(after, 10)}}
	path := targetapi.PathCacheEvents + "?" + query.Encode()
	content, err := c.get(ctx, StepCacheEvents, address, path)
	if err != nil {
		return targetapi.CacheEvents{}, err
	}
	return parseResponse[targetapi.CacheEvents](content, StepCacheEvents, address)
}

// Order gives an order and returns the target's state once it is in force. A
// refusal for an old fencing number is ErrFenced. After an error whose outcome
// is Unknown the order may be in force, or may still come to be.
func (c *Client) Order(ctx context.Context, address string, order targetapi.Order) (targetapi.Load, error) {
	content, err := c.control(ctx, controlCall{
		step:         StepOrder,
		transport:    c.pooled,
		timeout:      c.options.OrderTimeout,
		address:      address,
		method:       http.MethodPost,
		path:         targetapi.PathOrders,
		body:         order,
		statusErrors: map[int]error{http.StatusConflict: ErrFenced},
	})
	if err != nil {
		return targetapi.Load{}, err
	}
	return parseResponse[targetapi.Load](content, StepOrder, address)
}

func (c *Client) get(ctx context.Context, step Step, address, path string) ([]byte, error) {
	return c.control(ctx, controlCall{
		step:      step,
		transport: c.pooled,
		timeout:   c.options.ControlTimeout,
		address:   address,
		method:    http.MethodGet,
		path:      path,
	})
}

func parseResponse[T any](content []byte, step Step, address string) (T, error) {
	var parsed T
	if err := json.Unmarshal(content, &parsed); err != nil {
		var none T
		return none, &ControlError{Step: step, Peer: address, Err: err}
	}
	return parsed, nil
}

// cancelLater cancels an attempt without holding up its caller.
func (c *Client) cancelAsync(address, attemptID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	select {
	case c.cancelSlots <- struct{}{}:
	default:
		// Many targets silent at once must not pile up goroutines and
		// connections; the closed connection tells those that can hear.
		return
	}
	c.wg.Go(func() {
		defer func() { <-c.cancelSlots }()
		// Nobody is left to tell when the cancellation fails as well.
		_ = c.Cancel(c.closing, address, attemptID)
	})
}
