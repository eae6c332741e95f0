package inbound

import (
	"context"
	"net"
	"sync"
	"time"
)

// conn is a caller's connection.
type conn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// awaiting tells that no byte of the next request has been read.
	awaiting bool
	// early tells that a byte of the next request was read while the one before
	// was being served.
	early bool
	// began is when the first byte of the request under way was read.
	began time.Time
	// closedHere tells that this end closed the connection.
	closedHere bool
}

// Read notes when a request begins.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.read(len(p), time.Now())
	}
	return n, err
}

// read notes that bytes were read into a buffer of the given size.
//
// While a request is served, net/http reads one byte ahead, and nothing else reads
// so little: it is the first of the next request.
func (c *conn) read(size int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaiting && size == 1 {
		c.early = true
		c.began = now
		return
	}
	if c.awaiting {
		c.awaiting = false
		c.began = now
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
	c.awaiting = !c.early
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closedHere = true
	c.mu.Unlock()
	c.server.forget(c)
	return c.Conn.Close()
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
