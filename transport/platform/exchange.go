package platform

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// maxResponseBytes bounds the body of a response: a page, the one item that may
// exceed it, and the envelope.
const maxResponseBytes = platformapi.MaxPageBytes + 4*platformapi.MaxValueBytes

// maxTransferTime bounds the time from the timeout of a call to the end of its response. It
// is enough for the largest object at a megabit a second.
const maxTransferTime = 10 * time.Second

// idleTimeout is the time after which unused connections are closed.
const idleTimeout = 30 * time.Second

// Settings of the connections to the platform. The connection of a waiting watch
// carries no data for seconds. TCP keep-alive probes detect within three seconds that
// a middlebox has dropped its state.
const (
	connectTimeout    = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// maxRetryAfterSeconds bounds the wait that a response may require.
const maxRetryAfterSeconds = 60

// NewTransport returns a transport for calls to the platform. It uses only HTTP/1.1,
// where a call that times out closes its connection. HTTP/2 would continue to send
// calls on a connection that has gone silent.
func NewTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	dialer := net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	return &http.Transport{
		Protocols:           protocols,
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     idleTimeout,
	}
}

// exchange describes one HTTP call and how to handle its response.
type exchange struct {
	call   Call
	class  Class
	method string
	path   string
	// probe replaces path when this call probes the platform after an outage;
	// empty means path.
	probe string
	in    *platformapi.Object
	// decode reads the body of a successful response; nil discards it.
	decode func(body []byte) error
	// timeout is the time until the response begins.
	timeout time.Duration
	// unresponsiveAfter is the time without a response after which the call counts
	// as a failure of the platform, even if the caller gave up before timeout.
	unresponsiveAfter time.Duration
}

// NewHTTPClient returns a client over transport that does not follow redirects:
// following one would send a write a second time.
func NewHTTPClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// incompleteCall describes a call that ended without a complete response.
type incompleteCall struct {
	err error
	// sent is true if the call may have reached the platform.
	sent         bool
	elapsed      time.Duration
	callerGaveUp bool
}

// do waits for the budget to admit the call, sends it and reports its result to
// the budget.
func (c *Client) do(ctx context.Context, x exchange) error {
	permit, err := c.budget.acquire(ctx, x.class)
	if err != nil {
		return unavailable(x.call, err)
	}
	if permit.probe && x.probe != "" {
		x.path = x.probe
	}
	result, err := c.send(ctx, x)
	permit.release(result)
	return err
}

// unavailable returns the error of a call that the budget did not admit.
func unavailable(call Call, err error) error {
	var notAdmitted *notAdmittedError
	if errors.As(err, &notAdmitted) {
		return &UnavailableError{Call: call, RetryAfter: notAdmitted.retryAfter, Err: notAdmitted.cause}
	}
	return &UnavailableError{Call: call, Err: err}
}

// send sends the request of an exchange and handles its response. The response must begin
// within the exchange's timeout, and must go on to arrive.
func (c *Client) send(ctx context.Context, x exchange) (callResult, error) {
	start := time.Now()
	limited, cancel := WithProgressTimeout(ctx, ProgressTimeout{
		First: x.timeout, Idle: c.options.Timeout, Total: x.timeout + maxTransferTime,
	})
	defer cancel()

	// The call counts as sent once it has a connection. A later event would be too
	// late, because the transport may still write after it has returned the error.
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(limited, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := c.newRequest(traced, x)
	if err != nil {
		return callResult{outcome: outcomeNeutral}, &CallError{Call: x.call, Err: errors.Wrapf(ErrRefused, "build request: %v", err)}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return c.classifyIncomplete(x, incompleteCall{err: err, sent: sent.Load(), elapsed: time.Since(start), callerGaveUp: ctx.Err() != nil})
	}
	defer response.Body.Close()
	ReportProgress(limited)
	body, err := io.ReadAll(io.LimitReader(progressReader{response.Body, limited}, maxResponseBytes+1))
	if err != nil {
		return c.classifyIncomplete(x, incompleteCall{err: err, sent: true, elapsed: time.Since(start), callerGaveUp: ctx.Err() != nil})
	}
	return c.decodeResponse(x, response, body)
}

func (c *Client) newRequest(ctx context.Context, x exchange) (*http.Request, error) {
	var body io.Reader
	if x.in != nil {
		encoded, err := c.options.Codec.EncodeObject(*x.in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, x.method, c.base+x.path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set(platformapi.HeaderInstance, c.options.Instance)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// classifyIncomplete returns the result and the error of a call that ended without a
// complete response.
func (c *Client) classifyIncomplete(x exchange, e incompleteCall) (callResult, error) {
	r := callResult{outcome: outcomeFailed}
	if e.callerGaveUp && e.elapsed < x.unresponsiveAfter {
		// The caller gave up early, which does not mean that the platform failed.
		r.outcome = outcomeNeutral
	}
	if e.elapsed >= x.unresponsiveAfter {
		// A timeout may mean that a middlebox has dropped the state of our
		// connections: they stay open, and one call fails on each of them. Idle
		// connections of the same age are probably affected too, so close them and
		// let the next calls connect again.
		c.http.CloseIdleConnections()
	}
	if !e.sent {
		return r, &UnavailableError{Call: x.call, Err: withoutURL(e.err)}
	}
	return r, NoResponseError(x.call, withoutURL(e.err))
}

// withoutURL removes the URL from an error, since it contains the object's name.
func withoutURL(err error) error {
	var located *url.Error
	if errors.As(err, &located) {
		return located.Err
	}
	return err
}

// decodeResponse returns the result and the error of a call with a complete response.
func (c *Client) decodeResponse(x exchange, response *http.Response, body []byte) (callResult, error) {
	if response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices {
		return decodeSuccess(x, body)
	}
	retryAfter := parseRetryAfter(response.Header.Get("Retry-After"))
	var current *platformapi.Object
	if response.StatusCode == http.StatusConflict {
		// If the body cannot be decoded, current is nil: it is still a conflict.
		current = c.options.Codec.DecodeConflict(body)
	}
	err := StatusError(x.call, response.StatusCode, retryAfter, current)
	return callResult{outcome: outcomeOf(response.StatusCode), retryAfter: retryAfter}, err
}

// decodeSuccess decodes the body of a successful response. If that fails, the effect
// of the call is unknown, but the platform counts as available.
func decodeSuccess(x exchange, body []byte) (callResult, error) {
	ok := callResult{outcome: outcomeOK}
	if len(body) > maxResponseBytes {
		return ok, NoResponseError(x.call, errors.Wrapf(ErrResponseTooLarge, "over %d bytes", maxResponseBytes))
	}
	if x.decode == nil {
		return ok, nil
	}
	if err := x.decode(body); err != nil {
		return ok, NoResponseError(x.call, errors.Wrap(err, "decode answer"))
	}
	return ok, nil
}

func outcomeOf(status int) outcome {
	switch {
	case status == http.StatusTooManyRequests:
		return outcomeRateLimited
	case status >= http.StatusInternalServerError:
		return outcomeFailed
	default:
		return outcomeOK
	}
}

// parseRetryAfter parses a Retry-After header in seconds. It returns 0 if there is no
// valid one.
//
// The value is bounded by maxRetryAfterSeconds. A wrong value, for example from a
// proxy in front of the platform, would otherwise hold back all calls of this instance
// for years, or overflow the duration. With the bound, the platform is called again
// within minutes.
func parseRetryAfter(header string) time.Duration {
	seconds, err := strconv.Atoi(header)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfterSeconds)) * time.Second
}
