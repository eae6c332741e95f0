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

// queryAfter is the query parameter of PathCacheEvents with the sequence number.
const queryAfter = "after"

// ErrFenced means that the target has seen a higher fencing number and ignored the
// order.
var ErrFenced = errors.New("order carries an old fencing number")

// ErrNoAttempt means that the target has no attempt with the given ID.
var ErrNoAttempt = errors.New("no such attempt")

// The steps of a ControlError.
const (
	StepCancel      Step = "cancel"
	StepLoad        Step = "load"
	StepOrder       Step = "order"
	StepCacheEvents Step = "cache_events"
)

// ControlError is the type of all errors of Cancel, Load, Order and CacheEvents.
type ControlError struct {
	Step Step
	Peer string
	// Outcome is NotRun if the call certainly had no effect, else Unknown.
	Outcome Outcome
	Err     error
}

// Error names the step, the peer and the outcome.
func (e *ControlError) Error() string {
	return "target " + e.Peer + ": " + string(e.Step) + " (" + e.Outcome.String() + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ControlError) Unwrap() error { return e.Err }

// Cancel requests that the target stops an attempt. It opens a new connection,
// since the attempt's own connection may be the one that failed.
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

// Load requests the target's load report.
func (c *Client) Load(ctx context.Context, address string) (targetapi.Load, error) {
	content, err := c.get(ctx, StepLoad, address, targetapi.PathLoad)
	if err != nil {
		return targetapi.Load{}, err
	}
	return parseResponse[targetapi.Load](content, StepLoad, address)
}

// CacheEvents returns the target's cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (targetapi.CacheEvents, error) {
	query := url.Values{queryAfter: {strconv.FormatUint(after, 10)}}
	path := targetapi.PathCacheEvents + "?" + query.Encode()
	content, err := c.get(ctx, StepCacheEvents, address, path)
	if err != nil {
		return targetapi.CacheEvents{}, err
	}
	return parseResponse[targetapi.CacheEvents](content, StepCacheEvents, address)
}

// Order sends an order and returns the target's load report once the order is in
// force. The error is ErrFenced if the target refused an old fencing number. After
// an error with outcome Unknown, the order may be in force or take effect later.
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

// cancelAsync cancels an attempt in the background.
func (c *Client) cancelAsync(address, attemptID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	select {
	case c.cancelSlots <- struct{}{}:
	default:
		// Prevents a pile-up of goroutines and connections when many targets are
		// silent at once. Targets that are reachable see the closed connection.
		return
	}
	c.wg.Go(func() {
		defer func() { <-c.cancelSlots }()
		// The caller has its error already, so a failed cancellation is ignored.
		_ = c.Cancel(c.closing, address, attemptID)
	})
}
