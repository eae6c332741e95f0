package inbound

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// phase is how far the next request on a connection is.
type phase int

const (
	// phaseIdle: nothing of the next request has been read.
	phaseIdle phase = iota
	// phaseHead: some of its head has been read.
	phaseReadingHead
	// phaseServed: its head has been read whole, and its answer isn't written.
	phaseServing
)

// conn is a caller's connection.
type conn struct {
	net.Conn
	server *Server
	// refused tells that the connection's last request has been refused here.
	headRefused atomic.Bool

	mu    sync.Mutex
	phase phase
	// answered tells that a request has been answered on the connection.
	responded bool
	// ahead tells that a byte of the next request was read while the one before was
	// being served.
	readAhead bool
	// idleBounded tells that net/http has bounded the wait for the next request.
	idleDeadlineSet bool
	// began is when the first byte of the request under way was read; before the
	// first one, when the connection was accepted.
	startedAt time.Time
	// retired tells that the connection is to be closed once nothing is on its way.
	draining bool
	// headBy is when the head that was coming as the connection was retired must be
	// there.
	headDeadline time.Time
	// deadline is the read deadline that net/http asked for.
	requestedDeadline time.Time
	// closedHere tells that this end closed the connection.
	closedByServer bool
}

// Read reads from the socket. A reader that waits for a request and whose time is over
// looks into the socket once more: what lies there is read, however late.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.onRead(len(p), time.Now())
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		next := c.onReadTimeout(err, time.Now())
		if errors.Is(next, errHeadTimeout) {
			c.sendHeadTimeout()
			return 0, err
		}
		if next != nil {
			return 0, next
		}
	}
}

// timedOut decides how a read goes on that ran into its deadline: nil to read again.
func (c *conn) onReadTimeout(err error, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseIdle && readable(c.Conn):
		c.beginHead(now)
		return nil
	case c.phase == phaseIdle && c.draining:
		return io.EOF
	case c.phase == phaseReadingHead && c.draining:
		return errHeadTimeout
	default:
		return err
	}
}

// errHeadOverdue tells that a head doesn't come during a stop.
var errHeadTimeout = errors.New("the head doesn't come")

const (
	// headTimeout answers a request whose head doesn't come: it says that it hasn't run.
	headTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// refuseWithin bounds the sending of it: it fits what a connection takes at once.
	headTimeoutWriteLimit = 100 * time.Millisecond
)

// refuseHead answers a request whose head doesn't come.
func (c *conn) sendHeadTimeout() {
	if c.SetWriteDeadline(time.Now().Add(headTimeoutWriteLimit)) != nil {
		return // it is closed
	}
	_, _ = io.WriteString(c.Conn, headTimeoutResponse) // a caller that left needs no answer
	c.headRefused.Store(true)
}

// Write writes to the socket. net/http takes what it has of a line for the whole line when
// a read fails, and answers that it is malformed: a second answer after the refusal.
func (c *conn) Write(p []byte) (int, error) {
	if c.headRefused.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// read notes that bytes were read into a buffer of the given size.
//
// While a request is served, net/http reads one byte ahead, and nothing else reads
// so little: it is the first of the next request.
func (c *conn) onRead(size int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseIdle:
		c.beginHead(now)
	case c.phase == phaseServing && size == 1:
		c.readAhead = true
		c.startedAt = now
	}
}

// begin notes the first byte of a request; mu is held. Where the reader was woken, or its
// time was over, it gets time for the head; net/http bounds that anew.
func (c *conn) beginHead(now time.Time) {
	c.phase = phaseReadingHead
	c.startedAt = now
	switch {
	case c.draining:
		c.limitHead(now)
	case !c.requestedDeadline.IsZero() && c.requestedDeadline.Before(now):
		c.setSocketDeadline(now.Add(headCompletionTimeout))
	}
}

// restOfHead is how long a head may take to come whose connection is retired: a few
// round trips, and the second after which a lost packet is sent again.
const headCompletionTimeout = 2 * time.Second

// boundHead bounds the wait for the rest of a head; mu is held.
//
// It guards against a caller that begins a request and doesn't go on: the stop would wait
// for it until the end of the grace.
func (c *conn) limitHead(now time.Time) {
	c.headDeadline = now.Add(headCompletionTimeout)
	c.setSocketDeadline(c.headDeadline)
}

func (c *conn) setSocketDeadline(t time.Time) {
	_ = c.Conn.SetReadDeadline(t) // a closed connection shows at the next read
}

// headRead notes that a request's head has been read. net/http may have had all of it in
// its buffer, behind the request before.
func (c *conn) onHeadRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		c.startedAt = time.Now()
	}
	c.phase = phaseServing
	c.readAhead = false
	if c.draining {
		c.setSocketDeadline(c.requestedDeadline)
	}
}

// idle notes that a request's answer has been written.
func (c *conn) onIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responded = true
	c.idleDeadlineSet = false
	c.phase = phaseIdle
	if c.readAhead {
		c.phase = phaseReadingHead
	}
	if c.draining {
		c.shortenWait(time.Now())
	}
}

// retire has the connection closed once no request is on its way on it.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.shortenWait(time.Now())
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// hasten wakes a reader that waits for a request, and bounds the wait for a head; mu is
// held.
func (c *conn) shortenWait(now time.Time) {
	switch c.phase {
	case phaseIdle:
		c.setSocketDeadline(longAgo)
	case phaseReadingHead:
		c.limitHead(now)
	}
}

// SetReadDeadline implements net.Conn. What retire has set holds until the head has been
// read.
//
// net/http sets a deadline when it begins to wait for the next request, and another
// when it has the first bytes of it, which may have come behind the request before.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestedDeadline = t
	if c.phase == phaseIdle && c.idleDeadlineSet {
		c.beginHead(time.Now())
	}
	c.idleDeadlineSet = c.responded && c.phase == phaseIdle
	if c.draining && c.phase != phaseServing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the sending half, as net/http does before it closes a connection on
// which the caller still sends.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closedByServer = true
	c.mu.Unlock()
	err := c.Conn.Close()
	c.server.untrack(c)
	return err
}

// firstRequestIn is how long the first request of a new connection may take to come:
// a round trip, and the second after which a lost packet is sent again.
const firstRequestTimeout = 1100 * time.Millisecond

// patience is how long the connection may not be retired yet: a caller has just opened
// it for a request that is on its way.
func (c *conn) drainDelay(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responded || c.phase != phaseIdle {
		return 0
	}
	return c.startedAt.Add(firstRequestTimeout).Sub(now)
}

// state tells what is on its way on the connection.
func (c *conn) state() ConnState {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase != phaseIdle:
		return Busy
	case readable(c.Conn):
		return Unread
	default:
		return Idle
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// HeadTime is how long a request's head took from its first byte to now; 0 outside
// a Server's handler.
func HeadReadTime(ctx context.Context) time.Duration {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.startedAt)
}

// ClosedHere tells whether this end closed a request's connection.
func ClosedByServer(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedByServer
}
