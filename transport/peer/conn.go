package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/protocol/peer"
)

// Peer is the other end of a connection.
type Peer struct {
	membership.Member
	conn *conn
}

// Reply sends a one-way message on the connection that the peer used, which is
// known to carry at least one way.
func (p Peer) Reply(m peer.Message) error {
	return p.conn.post(m)
}

// conn is one connection. Its reader runs in run, its writer beside it.
type conn struct {
	node *Node
	// address is what was dialled, empty for an accepted connection.
	address string
	remote  string
	// sock is the bare socket, nc what is read and written: sock or TLS on it.
	sock   net.Conn
	nc     net.Conn
	reader *bufio.Reader
	// peer is set by the handshake, before any other goroutine sees conn.
	peer Peer

	ctx    context.Context
	cancel context.CancelCauseFunc
	wake   chan struct{}

	mu      sync.Mutex
	queue   queue
	pending map[uint64]chan *peer.Response
	nextID  uint64

	// ready is set when the handshake is done; peer may be read after it.
	ready atomic.Bool

	// Times are in nanoseconds since started.
	started       time.Time
	lastIn        atomic.Int64
	lastUsed      atomic.Int64
	askedAt       atomic.Int64
	heartbeatSent atomic.Int64
}

// newConn wraps a socket.
func newConn(n *Node, nc net.Conn, address string) *conn {
	c := &conn{
		node:    n,
		address: address,
		remote:  nc.RemoteAddr().String(),
		wake:    make(chan struct{}, 1),
		pending: make(map[uint64]chan *peer.Response),
		started: time.Now(),
	}
	c.queue = queue{maxFrames: n.opts.QueueLength, maxBytes: n.opts.QueueBytes}
	c.sock = &countedConn{Conn: nc, conn: c}
	c.nc = c.sock
	c.reader = bufio.NewReader(c.nc)
	c.ctx, c.cancel = context.WithCancelCause(n.ctx)
	return c
}

// setTLS reads and writes through TLS from now on.
func (c *conn) setTLS(t *tls.Conn) {
	c.nc = t
	c.reader = bufio.NewReader(t)
}

// setPeer notes who the handshake found.
func (c *conn) setPeer(h peer.Hello) {
	c.peer = Peer{Member: h.Member(), conn: c}
	c.ready.Store(true)
}

// now returns the nanoseconds since the connection's start, never 0.
func (c *conn) now() int64 { return max(int64(time.Since(c.started)), 1) }

// isClosed tells whether the connection is of no more use.
func (c *conn) isClosed() bool { return c.ctx.Err() != nil }

// close ends the connection; the first cause is kept.
func (c *conn) close(cause error) {
	// Forgotten first: a call that came between the end and the forgetting would
	// be given the connection that has just been found silent.
	c.node.forget(c)
	c.cancel(cause)
	_ = c.sock.Close()
}

// cause returns why the connection ended.
func (c *conn) cause() error {
	err := context.Cause(c.ctx)
	if errors.Is(err, ErrSilent) || errors.Is(err, ErrClosed) {
		return err
	}
	return errors.Wrapf(ErrConnLost, "%v", err)
}

// run reads until the connection ends.
func (c *conn) run() {
	c.node.wg.Go(c.writeLoop)
	for {
		m, err := c.read(peer.MaxFrame)
		if errors.Is(err, peer.ErrUnknownType) {
			c.node.metrics.unknown.Inc(1)
			continue
		}
		if err != nil {
			c.ended(err)
			return
		}
		c.dispatch(m)
	}
}

// ended closes the connection after a failed read and counts bad input.
func (c *conn) ended(err error) {
	orderly := errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
	if !c.isClosed() && !orderly {
		c.node.metrics.refused(StepRead, err)
	}
	c.close(fail(StepRead, c.remote, err))
}

// read returns the next message. A frame that has begun must end within
// FrameTimeout: a sender that dribbles bytes would otherwise hold its place
// for ever, since each byte counts as a sign of life.
func (c *conn) read(limit int) (peer.Message, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	if c.peer.conn != nil {
		deadline := time.Now().Add(c.node.opts.FrameTimeout)
		if err := c.nc.SetReadDeadline(deadline); err != nil {
			return nil, err
		}
	}
	body, err := peer.ReadFrame(c.reader, limit)
	if err != nil {
		return nil, err
	}
	if c.peer.conn != nil {
		if err := c.nc.SetReadDeadline(time.Time{}); err != nil {
			return nil, err
		}
	}
	return peer.Decode(body)
}

// dispatch hands a message on.
func (c *conn) dispatch(m peer.Message) {
	switch m := m.(type) {
	case *peer.Heartbeat:
		_ = c.post(&peer.HeartbeatAck{Seq: m.Seq})
	case *peer.HeartbeatAck:
		// Its arrival was the sign; lastIn has it.
	case *peer.Hello, *peer.Welcome:
		c.close(errors.Wrapf(ErrInvalid, "%T after the handshake", m))
	case *peer.Request:
		c.lastUsed.Store(c.now())
		c.node.answer(c, m)
	case *peer.Response:
		c.lastUsed.Store(c.now())
		c.answered(m)
	default:
		c.lastUsed.Store(c.now())
		if c.node.onMessage != nil {
			c.node.onMessage(c.peer, m)
		}
	}
}

// writeNow writes a message of the handshake, before the writer runs.
func (c *conn) writeNow(m peer.Message) error {
	frame, err := peer.Encode(m)
	if err != nil {
		return err
	}
	_, err = c.nc.Write(frame)
	return err
}

// post queues a one-way message; the oldest one gives way when the queue is
// full.
func (c *conn) post(m peer.Message) error {
	frame, err := peer.Encode(m)
	if err != nil {
		return err
	}
	c.mu.Lock()
	dropped := c.queue.pushGossip(frame)
	c.mu.Unlock()
	c.node.metrics.dropped.Inc(int64(dropped))
	c.signal()
	return nil
}

// enqueue queues a message that must not be dropped, or says that there is no
// room.
func (c *conn) enqueue(m peer.Message) error {
	frame, err := peer.Encode(m)
	if err != nil {
		return err
	}
	c.mu.Lock()
	ok := c.queue.push(frame)
	c.mu.Unlock()
	if !ok {
		return errors.Wrap(ErrBusy, "write queue is full")
	}
	c.signal()
	return nil
}

// signal wakes the writer.
func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// writeLoop writes queued frames. A peer that does not read makes the write
// miss its deadline, which closes the connection.
func (c *conn) writeLoop() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.wake:
		}
		if err := c.flush(); err != nil {
			c.close(fail(StepWrite, c.remote, err))
			return
		}
	}
}

// flush writes what is queued.
func (c *conn) flush() error {
	for {
		c.mu.Lock()
		frame, ok := c.queue.pop()
		c.mu.Unlock()
		if !ok {
			return nil
		}
		if err := c.nc.SetWriteDeadline(time.Now().Add(c.node.opts.WriteTimeout)); err != nil {
			return err
		}
		if _, err := c.nc.Write(frame); err != nil {
			return err
		}
	}
}

// countedConn counts the bytes of a socket and notes when some arrive.
type countedConn struct {
	net.Conn
	conn *conn
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.conn.lastIn.Store(c.conn.now())
		c.conn.node.bytesIn.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.conn.node.bytesOut.Add(int64(n))
	return n, err
}
