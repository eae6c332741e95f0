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

// maxAnswerBytes bounds an answer: a page and the one item that may exceed it,
// with room for the envelope.
const maxResponseBytes = platformapi.MaxPageBytes + 4*platformapi.MaxValueBytes

// idleTimeout closes connections that nothing has used for so long.
const idleTimeout = 30 * time.Second

// Times of connections to the platform. A watch waits on one that says nothing
// for seconds; the probes tell within three of them that something on the way has
// lost track of it.
const (
	connectTimeout    = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// maxRetryAfterSeconds bounds the wait that an answer may ask for.
const maxRetryAfterSeconds = 60

// NewTransport returns the transport of a client's own. It speaks HTTP/1.1
// alone: there, a call that timed out closes its connection, while HTTP/2 would
// go on sending calls into a connection that has gone silent.
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

// exchange is one call and its answer.
type exchange struct {
	call   Call
	class  Class
	method string
	path   string
	// probe replaces path when this call probes the platform after an outage;
	// empty means path.
	probe string
	in    *platformapi.Object
	// decode takes in the body of a success; nil drops it.
	decode  func(body []byte) error
	timeout time.Duration
	// patience is how long an answer may be missing before that counts against
	// the platform, even if the caller gave up before timeout.
	unresponsiveAfter time.Duration
}

// NewHTTPClient returns a client over transport that gives back a redirect as
// the answer: following one would send a write a second time.
func NewHTTPClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// ending is the end of a call without a whole answer.
type incompleteCall struct {
	err          error
	sent         bool
	elapsed      time.Duration
	callerGaveUp bool
}

// do takes the call from the budget, carries it out and reports how it went.
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

// unavailable is the error of a call that the budget didn't let out.
func unavailable(call Call, err error) error {
	var held *notAdmittedError
	if errors.As(err, &held) {
		return &UnavailableError{Call: call, RetryAfter: held.retryAfter, Err: held.cause}
	}
	return &UnavailableError{Call: call, Err: err}
}

// send carries out one exchange within its time limit.
func (c *Client) send(ctx context.Context, x exchange) (callResult, error) {
	start := time.Now()
	limited, cancel := context.WithTimeout(ctx, x.timeout)
	defer cancel()

	// The call counts as sent once it holds a connection. A later mark would be
	// wrong: the transport may still write after it has returned the error.
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
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

// failed classifies a call without a whole answer.
func (c *Client) classifyIncomplete(x exchange, e incompleteCall) (callResult, error) {
	r := callResult{outcome: outcomeFailed}
	if e.callerGaveUp && e.elapsed < x.unresponsiveAfter {
		// The caller gave up early: that says nothing about the platform.
		r.outcome = outcomeNeutral
	}
	if e.elapsed >= x.unresponsiveAfter {
		// A timeout may mean that a middlebox forgot our connections: they stay
		// open, and each takes one more call down with it. Idle ones of the same
		// age are likely gone too, so the next calls connect anew.
		c.http.CloseIdleConnections()
	}
	if !e.sent {
		return r, &UnavailableError{Call: x.call, Err: withoutURL(e.err)}
	}
	return r, NoResponseError(x.call, withoutURL(e.err))
}

// withoutURL takes the URL off an error, since it holds the object's name.
func withoutURL(err error) error {
	var located *url.Error
	if errors.As(err, &located) {
		return located.Err
	}
	return err
}

// readAnswer decodes a whole answer.
func (c *Client) decodeResponse(x exchange, response *http.Response, body []byte) (callResult, error) {
	if response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices {
		return decodeSuccess(x, body)
	}
	retryAfter := parseRetryAfter(response.Header.Get("Retry-After"))
	var current *platformapi.Object
	if response.StatusCode == http.StatusConflict {
		// A body that doesn't decode leaves current nil: it is still a conflict.
		current = c.options.Codec.DecodeConflict(body)
	}
	err := StatusError(x.call, response.StatusCode, retryAfter, current)
	return callResult{outcome: outcomeOf(response.StatusCode), retryAfter: retryAfter}, err
}

// readSuccess decodes the body of a success. One that doesn't decode leaves the
// result unknown, although the platform is up.
func decodeSuccess(x exchange, body []byte) (callResult, error) {
	ok := callResult{outcome: outcomeOK}
	if len(body) > maxResponseBytes {
		return ok, NoResponseError(x.call, errors.Newf("answer over %d bytes", maxResponseBytes))
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

// parseRetryAfter reads a Retry-After in seconds; 0 when there is none.
//
// Guard: a wrong value, perhaps of a hop before the platform, would hold back all
// calls of this instance for years, or overflow the duration. The bound has the
// platform asked again within minutes.
func parseRetryAfter(header string) time.Duration {
	seconds, err := strconv.Atoi(header)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfterSeconds)) * time.Second
}
