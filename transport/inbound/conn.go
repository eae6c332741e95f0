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
	phaseHead
	// phaseServed: its head has been read whole, and its answer isn't written.
	phaseServed
)

// conn is a caller's connection.
type conn struct {
	net.Conn
	server *Server
	// refused tells that the connection's last request has been refused here.
	refused atomic.Bool

	mu    sync.Mutex
	phase phase
	// answered tells that a request has been answered on the connection.
	answered bool
	// ahead tells that a byte of the next request was read while the one before was
	// being served.
	ahead bool
	// idleBounded tells that net/http has bounded the wait for the next request.
	idleBounded bool
	// began is when the first byte of the request under way was read; before the
	// first one, when the connection was accepted.
	began time.Time
	// retired tells that the connection is to be closed once nothing is on its way.
	retired bool
	// headBy is when the head that was coming as the connection was retired must be
	// there.
	headBy time.Time
	// deadline is the read deadline that net/http asked for.
	deadline time.Time
	// closedHere tells that this end closed the connection.
	closedHere bool
}

// Read reads from the socket. A reader that waits for a request and whose time is over
// looks into the socket once more: what lies there is read, however late.
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
		next := c.timedOut(err, time.Now())
		if errors.Is(next, errHeadOverdue) {
			c.refuseHead()
			return 0, err
		}
		if next != nil {
			return 0, next
		}
	}
}

// timedOut decides how a read goes on that ran into its deadline: nil to read again.
func (c *conn) timedOut(err error, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseIdle && readable(c.Conn):
		c.begin(now)
		return nil
	case c.phase == phaseIdle && c.retired:
		return io.EOF
	case c.phase == phaseHead && c.retired:
		return errHeadOverdue
	default:
		return err
	}
}

// errHeadOverdue tells that a head doesn't come during a stop.
var errHeadOverdue = errors.New("the head doesn't come")

const (
	// headTimeout answers a request whose head doesn't come: it says that it hasn't run.
	headTimeout = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// refuseWithin bounds the sending of it: it fits what a connection takes at once.
	refuseWithin = 100 * time.Millisecond
)

// refuseHead answers a request whose head doesn't come.
func (c *conn) refuseHead() {
	if c.SetWriteDeadline(time.Now().Add(refuseWithin)) != nil {
		return // it is closed
	}
	_, _ = io.WriteString(c.Conn, headTimeout) // a caller that left needs no answer
	c.refused.Store(true)
}

// Write writes to the socket. net/http takes what it has of a line for the whole line when
// a read fails, and answers that it is malformed: a second answer after the refusal.
func (c *conn) Write(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// read notes that bytes were read into a buffer of the given size.
//
// While a request is served, net/http reads one byte ahead, and nothing else reads
// so little: it is the first of the next request.
func (c *conn) read(size int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseIdle:
		c.begin(now)
	case c.phase == phaseServed && size == 1:
		c.ahead = true
		c.began = now
	}
}

// begin notes the first byte of a request; mu is held. Where the reader was woken, or its
// time was over, it gets time for the head; net/http bounds that anew.
func (c *conn) begin(now time.Time) {
	c.phase = phaseHead
	c.began = now
	switch {
	case c.retired:
		c.boundHead(now)
	case !c.deadline.IsZero() && c.deadline.Before(now):
		c.setDeadline(now.Add(restOfHead))
	}
}

// restOfHead is how long a head may take to come whose connection is retired: a few
// round trips, and the second after which a lost packet is sent again.
const restOfHead = 2 * time.Second

// boundHead bounds the wait for the rest of a head; mu is held.
//
// It guards against a caller that begins a request and doesn't go on: the stop would wait
// for it until the end of the grace.
func (c *conn) boundHead(now time.Time) {
	c.headBy = now.Add(restOfHead)
	c.setDeadline(c.headBy)
}

func (c *conn) setDeadline(t time.Time) {
	_ = c.Conn.SetReadDeadline(t) // a closed connection shows at the next read
}

// headRead notes that a request's head has been read. net/http may have had all of it in
// its buffer, behind the request before.
func (c *conn) headRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		c.began = time.Now()
	}
	c.phase = phaseServed
	c.ahead = false
	if c.retired {
		c.setDeadline(c.deadline)
	}
}

// idle notes that a request's answer has been written.
func (c *conn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
	c.idleBounded = false
	c.phase = phaseIdle
	if c.ahead {
		c.phase = phaseHead
	}
	if c.retired {
		c.hasten(time.Now())
	}
}

// retire has the connection closed once no request is on its way on it.
func (c *conn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	c.hasten(time.Now())
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// hasten wakes a reader that waits for a request, and bounds the wait for a head; mu is
// held.
func (c *conn) hasten(now time.Time) {
	switch c.phase {
	case phaseIdle:
		c.setDeadline(longAgo)
	case phaseHead:
		c.boundHead(now)
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
	c.deadline = t
	if c.phase == phaseIdle && c.idleBounded {
		c.begin(time.Now())
	}
	c.idleBounded = c.answered && c.phase == phaseIdle
	if c.retired && c.phase != phaseServed {
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
	if c.answered || c.phase != phaseIdle {
		return 0
	}
	return c.began.Add(firstRequestIn).Sub(now)
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
	return time.Since(c.began)
}

// ClosedHere tells whether this end closed a request's connection.
func ClosedByServer(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedHere
}
