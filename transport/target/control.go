package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// queryAfter is the query parameter of PathCacheEvents.
const queryAfter = "after"

// ErrFenced says that the target has seen a higher fencing number and that the
// order had no effect.
var ErrFenced = errors.New("order carries an old fencing number")

// ErrNoAttempt says that the target knows no running attempt of that id.
var ErrNoAttempt = errors.New("no such attempt")

// Cancel asks the target to stop an attempt. It takes a new connection: the
// one that the attempt is on may be the reason to give up.
func (c *Client) Cancel(ctx context.Context, address, attemptID string) error {
	body := targetapi.CancelRequest{AttemptID: attemptID}
	status, _, err := c.control(ctx, c.fresh, c.options.ControlTimeout, address, http.MethodPost, targetapi.PathCancel, body)
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return errors.Wrapf(ErrNoAttempt, "target %s: cancel", address)
	default:
		return checkStatus(status, http.StatusNoContent, address, "cancel")
	}
}

// Load asks a target for its own report.
func (c *Client) Load(ctx context.Context, address string) (targetapi.Load, error) {
	var load targetapi.Load
	err := c.get(ctx, address, targetapi.PathLoad, "load", &load)
	return load, err
}

// CacheEvents reads the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (targetapi.CacheEvents, error) {
	query := url.Values{queryAfter: {strconv.FormatUint(after, 10)}}
	var page targetapi.CacheEvents
	err := c.get(ctx, address, targetapi.PathCacheEvents+"?"+query.Encode(), "cache events", &page)
	return page, err
}

// Order gives an order and returns the target's state once it is in force. A
// refusal for an old fencing number is ErrFenced. After any other error the
// order may have taken effect, or may still.
func (c *Client) Order(ctx context.Context, address string, order targetapi.Order) (targetapi.Load, error) {
	status, body, err := c.control(ctx, c.pooled, c.options.OrderTimeout, address, http.MethodPost, targetapi.PathOrders, order)
	if err != nil {
		return targetapi.Load{}, err
	}
	if status == http.StatusConflict {
		return targetapi.Load{}, errors.Wrapf(ErrFenced, "target %s: order %s", address, order.ID)
	}
	if err := checkStatus(status, http.StatusOK, address, "order"); err != nil {
		return targetapi.Load{}, err
	}
	var load targetapi.Load
	return load, parse(body, &load, address, "order")
}

func (c *Client) get(ctx context.Context, address, path, step string, into any) error {
	status, body, err := c.control(ctx, c.pooled, c.options.ControlTimeout, address, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := checkStatus(status, http.StatusOK, address, step); err != nil {
		return err
	}
	return parse(body, into, address, step)
}

// control makes one call that is no attempt and reads its whole answer.
func (c *Client) control(
	ctx context.Context, transport *http.Transport, timeout time.Duration,
	address, method, path string, body any,
) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := newControlRequest(ctx, address, method, path, body)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "target %s: %s", address, path)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "target %s: %s", address, path)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxBody))
	if err != nil {
		return 0, nil, errors.Wrapf(err, "target %s: %s: body", address, path)
	}
	return response.StatusCode, content, nil
}

func newControlRequest(ctx context.Context, address, method, path string, body any) (*http.Request, error) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, content)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", contentTypeJSON)
	return request, nil
}

func checkStatus(status, want int, address, step string) error {
	if status != want {
		return errors.Newf("target %s: %s: status %d", address, step, status)
	}
	return nil
}

func parse(body []byte, into any, address, step string) error {
	return errors.Wrapf(json.Unmarshal(body, into), "target %s: %s: answer", address, step)
}

// cancelLater cancels an attempt without holding up its caller.
func (c *Client) cancelLater(address, attemptID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	select {
	case c.cancels <- struct{}{}:
	default:
		// Many targets silent at once must not pile up goroutines and
		// connections; the closed connection tells those that can hear.
		return
	}
	c.wg.Go(func() {
		defer func() { <-c.cancels }()
		// Nobody is left to tell when the cancellation fails as well.
		_ = c.Cancel(c.closing, address, attemptID)
	})
}
