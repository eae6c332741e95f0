package target

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// maxHeaderBytes bounds the headers of an answer.
const maxHeaderBytes = 64 << 10

// Client calls targets. It is safe for concurrent use.
type Client struct {
	options Options
	// pooled keeps idle connections. It is used without http.Client, which
	// would follow redirects: an answer from elsewhere is not the target's.
	pooled *http.Transport
	// fresh opens a connection for each call.
	fresh *http.Transport

	// closing ends when Close is called.
	closing context.Context
	close   context.CancelFunc
	// cancels holds a token for each cancellation under way.
	cancels chan struct{}
	mu      sync.Mutex
	closed  bool
	wg      sync.WaitGroup
}

// New returns a client; the caller closes it.
func New(options Options) *Client {
	options = options.withDefaults()
	c := &Client{options: options, cancels: make(chan struct{}, options.MaxCancels)}
	c.pooled = c.newTransport()
	c.fresh = c.newTransport()
	c.fresh.DisableKeepAlives = true
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
	return &conn{Conn: inner}, nil
}

// Close ends the cancellations under way and closes idle connections. Calls
// under way go on.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.close()
	c.wg.Wait()
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Run makes one attempt and returns the whole answer. Its error is always an
// *AttemptError.
func (c *Client) Run(ctx context.Context, call Call) (targetapi.RunResponse, Meta, error) {
	x, meta, err := c.send(ctx, call, contentTypeJSON)
	if err != nil {
		return targetapi.RunResponse{}, meta, err
	}
	answer, err := x.readWhole()
	return answer, meta, x.finish(err)
}

// Stream makes one attempt and passes each token on as it arrives. Offsets
// start at call.Run.ResumeFrom and have no gap. An error of onToken ends the
// attempt, and is wrapped in the *AttemptError that Stream returns.
func (c *Client) Stream(ctx context.Context, call Call, onToken func(offset int, token string) error) (targetapi.RunResponse, Meta, error) {
	x, meta, err := c.send(ctx, call, contentTypeStream)
	if err != nil {
		return targetapi.RunResponse{}, meta, err
	}
	answer, err := x.readStream(onToken)
	return answer, meta, x.finish(err)
}

// send sends the call and reads the headers of its answer. It returns an
// exchange only for an answer whose body has to be read; that of a refusal
// has been.
func (c *Client) send(ctx context.Context, call Call, accept string) (*exchange, Meta, error) {
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
