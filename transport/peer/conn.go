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

// Peer is the instance at the other end of a connection.
type Peer struct {
	membership.Member
	// Version is the protocol version of the instance.
	Version int
	conn    *conn
}

// Reply sends a one-way message on the connection that the peer used. That
// connection is known to work in at least one direction.
func (p Peer) Reply(m peer.Message) error {
	return p.conn.enqueueDroppable(m)
}

// conn is one connection. run reads from it in one goroutine, and writeLoop writes to
// it in another.
type conn struct {
	node *Node
	// dialedAddress is empty for an accepted connection.
	dialedAddress string
	remoteAddress string
	// socket is the TCP connection; nc is the stream that carries the frames:
	// socket itself, or TLS over it.
	socket net.Conn
	nc     net.Conn
	reader *bufio.Reader
	// target is the connection to the target of a tunnel; nil for other connections.
	target net.Conn
	// peer is set by the handshake. Other goroutines read it only once ready is
	// set.
	peer Peer

	ctx    context.Context
	cancel context.CancelCauseFunc
	wake   chan struct{}

	mu      sync.Mutex
	queue   queue
	pending map[uint64]chan *peer.Response
	nextID  uint64

	// ready is set when the handshake is complete.
	ready atomic.Bool

	// The times below are in nanoseconds since started.
	started time.Time
	// lastReceived is when bytes last arrived.
	lastReceived atomic.Int64
	// lastUsed is when a call was last made or a message other than a heartbeat
	// last arrived.
	lastUsed atomic.Int64
	// unansweredSince is the start of the first call after lastReceived. It is at
	// or before lastReceived if there was none.
	unansweredSince atomic.Int64
	// heartbeatSent is when the pending heartbeat was sent; 0 if none is pending.
	heartbeatSent atomic.Int64
}

// newConn returns a conn over a socket, before its handshake.
func newConn(n *Node, nc net.Conn, dialedAddress string) *conn {
	c := &conn{
		node:          n,
		dialedAddress: dialedAddress,
		remoteAddress: nc.RemoteAddr().String(),
		wake:          make(chan struct{}, 1),
		pending:       make(map[uint64]chan *peer.Response),
		started:       time.Now(),
	}
	c.queue = queue{maxFrames: n.opts.QueueLength, maxBytes: n.opts.QueueBytes}
	c.socket = &countingConn{Conn: nc, conn: c}
	c.nc = c.socket
	c.reader = bufio.NewReader(c.nc)
	c.ctx, c.cancel = context.WithCancelCause(n.ctx)
	return c
}

// useTLS makes t the stream that carries the frames.
func (c *conn) useTLS(t *tls.Conn) {
	c.nc = t
	c.reader = bufio.NewReader(t)
}

// setPeer stores the peer found by the handshake and marks the connection as
// ready.
func (c *conn) setPeer(h peer.Hello) {
	c.peer = Peer{Member: h.Member(), Version: h.Version, conn: c}
	c.ready.Store(true)
}

// now returns the nanoseconds since started; at least 1, since 0 means that no
// heartbeat is pending.
func (c *conn) now() int64 { return max(int64(time.Since(c.started)), 1) }

// isClosed reports whether the connection is closed.
func (c *conn) isClosed() bool { return c.ctx.Err() != nil }

// close closes the connection; only the first cause is kept.
func (c *conn) close(cause error) {
	// Remove it from the node first: a call between the close and the removal
	// would otherwise get a connection that has just been found silent.
	c.node.removeConn(c)
	c.cancel(cause)
	_ = c.socket.Close()
}

// closeCause returns the error of a call whose connection was closed.
func (c *conn) closeCause() error {
	err := context.Cause(c.ctx)
	if errors.Is(err, ErrSilent) || errors.Is(err, ErrClosed) {
		return err
	}
	return errors.Wrapf(ErrConnLost, "%v", err)
}

// run starts the writer, then reads and dispatches messages until the connection
// ends.
func (c *conn) run() {
	c.node.wg.Go(c.writeLoop)
	for {
		m, err := c.read(peer.MaxFrame)
		if errors.Is(err, peer.ErrUnknownType) {
			c.node.metrics.unknown.Inc(1)
			continue
		}
		if err != nil {
			c.closeAfterRead(err)
			return
		}
		c.dispatch(m)
	}
}

// closeAfterRead closes the connection after a failed read. It counts invalid
// input and connections that broke off, but not an orderly end by the peer.
func (c *conn) closeAfterRead(err error) {
	orderly := errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
	if !c.isClosed() && !orderly {
		c.node.metrics.refused(StepRead, err)
	}
	c.close(wrapError(StepRead, c.remoteAddress, err))
}

// read returns the next message. Once the first byte of a frame has arrived, the
// rest must follow within FrameTimeout: a sender of single bytes could otherwise
// keep its connection for ever, since each byte updates lastReceived.
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

// dispatch passes a message to its receiver.
func (c *conn) dispatch(m peer.Message) {
	switch m := m.(type) {
	case *peer.Heartbeat:
		_ = c.enqueueDroppable(&peer.HeartbeatAck{Seq: m.Seq})
	case *peer.HeartbeatAck:
		// lastReceived was updated when its bytes arrived.
	case *peer.Hello, *peer.Welcome:
		c.close(errors.Wrapf(ErrInvalid, "%T after the handshake", m))
	case *peer.Request:
		c.lastUsed.Store(c.now())
		c.node.handleRequest(c, m)
	case *peer.Response:
		c.lastUsed.Store(c.now())
		c.deliverResponse(m)
	default:
		c.lastUsed.Store(c.now())
		if c.node.onMessage != nil {
			c.node.onMessage(c.peer, m)
		}
	}
}

// writeHandshake writes a message of the handshake, before writeLoop runs.
func (c *conn) writeHandshake(m peer.Message) error {
	frame, err := peer.Encode(m)
	if err != nil {
		return err
	}
	_, err = c.nc.Write(frame)
	return err
}

// enqueueDroppable queues a one-way message for writing. When the queue is full,
// the oldest droppable messages are dropped to make space.
func (c *conn) enqueueDroppable(m peer.Message) error {
	frame, err := peer.Encode(m)
	if err != nil {
		return err
	}
	c.mu.Lock()
	dropped := c.queue.pushDroppable(frame)
	c.mu.Unlock()
	c.node.metrics.dropped.Inc(int64(dropped))
	c.wakeWriter()
	return nil
}

// enqueue queues a message that must not be dropped. It returns ErrBusy if the
// queue is full.
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
	c.wakeWriter()
	return nil
}

// wakeWriter makes writeLoop look at the queue.
func (c *conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// writeLoop writes queued frames. If the peer does not read, a write misses its
// deadline and the connection is closed.
func (c *conn) writeLoop() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.wake:
		}
		if err := c.flush(); err != nil {
			c.close(wrapError(StepWrite, c.remoteAddress, err))
			return
		}
	}
}

// flush writes frames until the queue is empty.
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

// countingConn counts the bytes of a socket and records when some arrive.
type countingConn struct {
	net.Conn
	conn *conn
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.conn.lastReceived.Store(c.conn.now())
		c.conn.node.bytesIn.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.conn.node.bytesOut.Add(int64(n))
	return n, err
}
