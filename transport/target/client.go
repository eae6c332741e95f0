package target

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// maxHeaderBytes bounds the headers of a response.
const maxHeaderBytes = 64 << 10

// Client calls targets. It is safe for concurrent use.
type Client struct {
	options Options
	// pooled reuses idle connections. It is used without http.Client, which would
	// follow redirects and accept a response from another server.
	pooled *http.Transport
	// unpooled opens a connection for each call.
	unpooled *http.Transport

	// closing is cancelled by Close.
	closing context.Context
	close   context.CancelFunc
	// cancelSlots is a semaphore with a value for each cancellation in progress.
	cancelSlots chan struct{}
	mu          sync.Mutex
	closed      bool
	wg          sync.WaitGroup
}

// New returns a client. The caller must close it.
func New(options Options) *Client {
	options = options.withDefaults()
	c := &Client{options: options, cancelSlots: make(chan struct{}, options.MaxCancels)}
	c.pooled = c.newTransport()
	c.unpooled = c.newTransport()
	c.unpooled.DisableKeepAlives = true
	c.closing, c.close = context.WithCancel(context.Background())
	return c
}

func (c *Client) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxIdleConns:           c.options.IdleTotal,
		MaxIdleConnsPerHost:    c.options.IdlePerTarget,
		IdleConnTimeout:        c.options.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, c.options.ConnectTimeout, errConnectTimeout)
	defer cancel()
	inner, err := c.options.Dial(ctx, network, address)
	if err != nil {
		return nil, &dialError{cause: err, timeout: context.Cause(ctx) == errConnectTimeout}
	}
	return &countingConn{Conn: inner}, nil
}

// Close aborts pending cancellations and closes idle connections. Calls in
// progress continue.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.close()
	c.wg.Wait()
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Run makes one attempt and returns the complete answer. Its error is always an
// *AttemptError.
func (c *Client) Run(ctx context.Context, call Call) (targetapi.RunResponse, ResponseMeta, error) {
	x, meta, err := c.send(ctx, call, contentTypeJSON)
	if err != nil {
		return targetapi.RunResponse{}, meta, err
	}
	answer, err := x.readWhole()
	return answer, meta, x.finish(err)
}

// Stream makes one attempt and calls onToken for each token as it arrives.
// Offsets are consecutive and start at call.Run.ResumeFrom. An error of onToken
// ends the attempt and is wrapped in the *AttemptError that Stream returns.
func (c *Client) Stream(ctx context.Context, call Call, onToken func(offset int, token string) error) (targetapi.RunResponse, ResponseMeta, error) {
	x, meta, err := c.send(ctx, call, contentTypeStream)
	if err != nil {
		return targetapi.RunResponse{}, meta, err
	}
	answer, err := x.readStream(onToken)
	return answer, meta, x.finish(err)
}

// send sends the call and reads the response headers. It returns an exchange only
// if the caller has to read the response body; the body of a refusal has been read.
func (c *Client) send(ctx context.Context, call Call, accept string) (*exchange, ResponseMeta, error) {
	x := c.newExchange(ctx, call, accept)
	err := x.roundTrip()
	if err == nil {
		err = x.checkHeaders()
	}
	if err != nil {
		return nil, x.meta, x.finish(err)
	}
	return x, x.meta, nil
}
