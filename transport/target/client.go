package target

import (
	"context"
	"errors"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

var errNotBuilt = errors.New("not built yet")

// Client calls targets. It is safe for concurrent use.
type Client struct {
	options Options
}

// New returns a client; the caller closes it.
func New(options Options) *Client {
	return &Client{options: options}
}

// Close waits for cancellations under way and closes idle connections.
func (c *Client) Close() {}

// Run makes one attempt and returns the whole answer. Its error is always an
// *AttemptError.
func (c *Client) Run(ctx context.Context, call Call) (targetapi.RunAnswer, Meta, error) {
	return targetapi.RunAnswer{}, Meta{}, &AttemptError{Step: StepEncode, Peer: call.Address, Outcome: NotRun, Err: errNotBuilt}
}

// Stream makes one attempt and passes each token on as it arrives. Offsets are
// without gap from call.Run.ResumeFrom. An error of onToken ends the attempt.
func (c *Client) Stream(ctx context.Context, call Call, onToken func(offset int, token string) error) (targetapi.RunAnswer, Meta, error) {
	return targetapi.RunAnswer{}, Meta{}, &AttemptError{Step: StepEncode, Peer: call.Address, Outcome: NotRun, Err: errNotBuilt}
}

// Cancel asks the target to stop an attempt, on a connection of its own.
func (c *Client) Cancel(ctx context.Context, address, attemptID string) error {
	return errNotBuilt
}

// Load asks a target for its own report.
func (c *Client) Load(ctx context.Context, address string) (targetapi.Load, error) {
	return targetapi.Load{}, errNotBuilt
}

// Order gives an order and returns the target's state after it. A refusal for
// an old fencing number is ErrFenced.
func (c *Client) Order(ctx context.Context, address string, order targetapi.Order) (targetapi.Load, error) {
	return targetapi.Load{}, errNotBuilt
}

// CacheEvents reads the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (targetapi.CacheEvents, error) {
	return targetapi.CacheEvents{}, errNotBuilt
}

// ErrFenced says that the target has seen a higher fencing number.
var ErrFenced = errors.New("target: order carries an old fencing number")
