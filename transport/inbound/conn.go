package inbound

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// conn is a caller's connection.
type conn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// awaiting tells that no byte of the next request has been read.
	awaiting bool
	// served tells that a request has been answered on the connection.
	served bool
	// early tells that a byte of the next request was read while the one before
	// was being served.
	early bool
	// began is when the first byte of the request under way was read; before the
	// first one, when the connection was accepted.
	began time.Time
	// retired tells that the connection is to be closed once nothing is on its way.
	retired bool
	// deadline is the read deadline that net/http asked for.
	deadline time.Time
	// closedHere tells that this end closed the connection.
	closedHere bool
}

// Read reads from the socket. The reader of a retired connection that waits for a
// request is woken; it ends the connection if the socket is empty too, and goes on
// with the request otherwise.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.read(len(p), time.Now())
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err := c.woken(err, time.Now()); err != nil {
			return 0, err
		}
	}
}

// woken decides how a read goes on that ran into its deadline: nil to read again.
func (c *conn) woken(err error, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.retired || !c.awaiting:
		return err
	case readable(c.Conn):
		c.begin(now)
		return nil
	default:
		return io.EOF
	}
}

// read notes that bytes were read into a buffer of the given size.
//
// While a request is served, net/http reads one byte ahead, and nothing else reads
// so little: it is the first of the next request.
func (c *conn) read(size int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.awaiting:
		c.begin(now)
	case size == 1:
		c.early = true
		c.began = now
	}
}

// begin notes the first byte of a request; mu is held.
func (c *conn) begin(now time.Time) {
	c.awaiting = false
	c.began = now
	if c.retired {
		_ = c.Conn.SetReadDeadline(c.deadline) // a closed connection shows at the next read
	}
}

// active notes that a request's head has been read.
func (c *conn) active() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.early = false
}

// idle notes that a request's answer has been written.
func (c *conn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served = true
	c.awaiting = !c.early
	if c.awaiting && c.retired {
		c.wake()
	}
}

// retire has the connection closed once no request is on its way on it.
func (c *conn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	if c.awaiting {
		c.wake()
	}
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// wake ends a read that waits for a request; mu is held.
func (c *conn) wake() {
	_ = c.Conn.SetReadDeadline(longAgo) // a closed connection has no read that waits
}

// SetReadDeadline implements net.Conn. A reader that has been woken stays so until a
// request begins.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.retired && c.awaiting {
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
	c.closedHere = true
	c.mu.Unlock()
	err := c.Conn.Close()
	c.server.forget(c)
	return err
}

// firstRequestIn is how long the first request of a new connection may take to come:
// a round trip, and the second after which a lost packet is sent again.
const firstRequestIn = 1100 * time.Millisecond

// patience is how long the connection may not be retired yet: a caller has just opened
// it for a request that is on its way.
func (c *conn) patience(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.served || !c.awaiting {
		return 0
	}
	return c.began.Add(firstRequestIn).Sub(now)
}

// state tells what is on its way on the connection.
func (c *conn) state() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.awaiting:
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
func HeadTime(ctx context.Context) time.Duration {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.began)
}

// ClosedHere tells whether this end closed a request's connection.
func ClosedHere(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedHere
}
