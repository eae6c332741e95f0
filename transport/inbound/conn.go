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

// phase is the progress of the current or next request on a connection.
type phase int

const (
	// phaseIdle: nothing of the next request has been read.
	phaseIdle phase = iota
	// phaseReadingHead: a part of the request's head has been read.
	phaseReadingHead
	// phaseServing: the whole head has been read, and the response isn't written yet.
	phaseServing
)

// conn is a connection of a caller.
type conn struct {
	net.Conn
	server *Server
	// headRefused is set when headTimeoutResponse has been sent for the connection's
	// last request.
	headRefused atomic.Bool

	mu    sync.Mutex
	phase phase
	// responded is set when a response has been written on the connection.
	responded bool
	// readAhead is set when a byte of the next request was read while the previous
	// request was being served.
	readAhead bool
	// idleDeadlineSet is set when net/http has set a deadline for the wait for the
	// next request.
	idleDeadlineSet bool
	// startedAt is when the first byte of the current request was read; before the
	// first request, when the connection was accepted.
	startedAt time.Time
	// draining is set when the connection is to be closed after the current request.
	draining bool
	// headDeadline is when a head that is being read must be complete while the
	// connection is draining.
	headDeadline time.Time
	// requestedDeadline is the read deadline that net/http set last.
	requestedDeadline time.Time
	// closedByServer is set when this end has closed the connection.
	closedByServer bool
}

// Read reads from the socket. If the deadline passes during the wait for a request, it
// checks the socket once more and reads bytes that have arrived, however late.
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

// onReadTimeout returns the error for a read whose deadline passed, or nil to read again.
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

// errHeadTimeout means that a request's head was not completed in time while the
// connection is draining.
var errHeadTimeout = errors.New("the head doesn't come")

const (
	// headTimeoutResponse is the response to a request whose head is not completed.
	// Its status means that the request hasn't run.
	headTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// headTimeoutWriteLimit bounds the write of headTimeoutResponse, which fits into
	// the send buffer of a connection.
	headTimeoutWriteLimit = 100 * time.Millisecond
)

// sendHeadTimeout responds to a request whose head is not completed.
func (c *conn) sendHeadTimeout() {
	if c.SetWriteDeadline(time.Now().Add(headTimeoutWriteLimit)) != nil {
		return // the connection is closed
	}
	_, _ = io.WriteString(c.Conn, headTimeoutResponse) // a caller that disconnected needs no response
	c.headRefused.Store(true)
}

// Write writes to the socket, unless the head was refused. When a read fails, net/http
// parses the part of a line that it has as a whole line and responds that it is malformed,
// which would be a second response.
func (c *conn) Write(p []byte) (int, error) {
	if c.headRefused.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// onRead records that bytes were read into a buffer of the given size.
//
// While a request is served, net/http reads one byte ahead. No other read uses a buffer
// of one byte, so that byte is the first of the next request.
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

// beginHead records the first byte of a request; mu is held. If the deadline has passed
// or drain has set it, beginHead extends it for the rest of the head; net/http then sets
// its own.
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

// headCompletionTimeout bounds the time in which a head must be completed on a draining
// connection: a few round trips, and the second after which a lost packet is
// retransmitted.
const headCompletionTimeout = 2 * time.Second

// limitHead sets the deadline for the rest of a head; mu is held.
//
// Prevents a caller that sends only a part of a head from delaying the stop until the end
// of the grace period.
func (c *conn) limitHead(now time.Time) {
	c.headDeadline = now.Add(headCompletionTimeout)
	c.setSocketDeadline(c.headDeadline)
}

func (c *conn) setSocketDeadline(t time.Time) {
	_ = c.Conn.SetReadDeadline(t) // if the connection is closed, the next read fails
}

// onHeadRead records that a request's head has been read. All of it may have been in
// net/http's buffer, behind the previous request.
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

// onIdle records that a response has been written.
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

// drain makes the reader close the connection when no request is in progress on it.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.shortenWait(time.Now())
}

// drainIfIdle drains the connection if it has carried a request, waits for the next one and isn't
// draining yet. It reports whether it did.
func (c *conn) drainIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining || !c.responded || c.phase != phaseIdle {
		return false
	}
	c.draining = true
	c.shortenWait(time.Now())
	return true
}

// longAgo is a deadline in the past, which ends blocked calls at once.
var longAgo = time.Unix(1, 0)

// shortenWait wakes a reader that waits for a request, or limits the wait for the rest of
// a head; mu is held.
func (c *conn) shortenWait(now time.Time) {
	switch c.phase {
	case phaseIdle:
		c.setSocketDeadline(longAgo)
	case phaseReadingHead:
		c.limitHead(now)
	}
}

// SetReadDeadline implements net.Conn. While the connection is draining, the deadline
// that drain has set stays until the head has been read.
//
// net/http sets a deadline when it starts to wait for the next request, and another one
// when it has the first bytes of that request, which may have arrived with the previous
// one.
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

// CloseWrite closes the sending half. net/http calls it before it closes a connection on
// which the caller is still sending.
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

// firstRequestTimeout is how long draining waits for the first request of a new
// connection: a round trip, and the second after which a lost packet is retransmitted.
const firstRequestTimeout = 1100 * time.Millisecond

// drainDelay returns how long to wait before draining the connection, since a caller that
// has just opened it may have a request in transit. It is 0 or less if there is no need.
func (c *conn) drainDelay(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responded || c.phase != phaseIdle {
		return 0
	}
	return c.startedAt.Add(firstRequestTimeout).Sub(now)
}

// state returns the ConnState of the connection.
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

// connKey is the context key of a request's connection.
type connKey struct{}

// HeadReadTime returns the time from the first byte of a request's head to now; 0 outside
// the handler of a Server.
func HeadReadTime(ctx context.Context) time.Duration {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.startedAt)
}

// ClosedByServer reports whether this end closed a request's connection.
func ClosedByServer(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedByServer
}
