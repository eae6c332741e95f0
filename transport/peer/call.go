package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/peer"
)

// Handler answers a call. The context ends when the asker stops waiting or the
// connection is lost.
type Handler func(ctx context.Context, from Peer, body []byte) ([]byte, error)

// method is a registered method.
type method struct {
	handler    Handler
	idempotent bool
}

// HandleOption changes how a method is registered.
type HandleOption func(*method)

// Idempotent marks a method that may run twice for one call. All instances
// register the same methods, so the asker finds it in its own table.
func Idempotent() HandleOption {
	return func(m *method) { m.idempotent = true }
}

// Handle registers a method.
func (n *Node) Handle(name string, h Handler, opts ...HandleOption) {
	m := method{handler: h}
	for _, o := range opts {
		o(&m)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.methods[name] = m
}

// method returns a registered method.
func (n *Node) method(name string) (method, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.methods[name]
	return m, ok
}

// Send sends a one-way message. It waits for a connection, not for the write.
func (n *Node) Send(ctx context.Context, address string, m peer.Message) error {
	c, err := n.link(ctx, address, false)
	if err != nil {
		return err
	}
	return fail(StepWrite, address, c.post(m))
}

// Post sends a one-way message without waiting; if there is no connection, or
// fresh asks for a new one, a bounded number of messages wait for it and the
// others are dropped and counted.
func (n *Node) Post(address string, m peer.Message, fresh bool) {
	n.mu.Lock()
	c := n.links[address]
	if c != nil && !fresh && !c.isClosed() {
		n.mu.Unlock()
		_ = c.post(m)
		return
	}
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	select {
	case n.posts <- struct{}{}:
	default:
		n.metrics.dropped.Inc(1)
		return
	}
	n.wg.Go(func() {
		defer func() { <-n.posts }()
		c, err := n.link(n.ctx, address, fresh)
		if err != nil {
			n.metrics.dropped.Inc(1)
			return
		}
		_ = c.post(m)
	})
}

// Call asks a peer and waits for its answer. An *Error tells by NotRun whether
// the method certainly did not start. When the connection is lost or silent,
// the call is tried once more on a new connection if the method is idempotent.
func (n *Node) Call(ctx context.Context, address, name string, body []byte) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, n.opts.CallTimeout)
		defer cancel()
	}
	c, err := n.link(ctx, address, false)
	if err != nil {
		return nil, err
	}
	answer, err := c.call(ctx, address, name, body)
	if !connectionFailed(err) {
		return answer, err
	}
	if m, ok := n.method(name); !ok || !m.idempotent {
		return nil, err
	}
	// The path of the old connection may have lost its state somewhere between
	// the two ends, while the peer is well. Only a new connection can tell.
	c, err = n.link(ctx, address, true)
	if err != nil {
		return nil, err
	}
	return c.call(ctx, address, name, body)
}

// connectionFailed tells whether a call failed for want of its connection.
func connectionFailed(err error) bool {
	return errors.Is(err, ErrSilent) || errors.Is(err, ErrConnLost)
}

// call sends an Ask and waits for the Answer.
func (c *conn) call(ctx context.Context, address, name string, body []byte) ([]byte, error) {
	id, answers, err := c.begin()
	if err != nil {
		return nil, notRun(StepCall, address, err)
	}
	defer c.finish(id)
	if err := c.enqueue(newAsk(ctx, id, name, body)); err != nil {
		return nil, notRun(StepCall, address, err)
	}
	select {
	case a := <-answers:
		return result(address, a)
	case <-c.ctx.Done():
		return nil, fail(StepCall, address, c.cause())
	case <-ctx.Done():
		return nil, fail(StepCall, address, ctx.Err())
	}
}

// newAsk builds an Ask that carries the time left.
func newAsk(ctx context.Context, id uint64, name string, body []byte) *peer.Request {
	ask := &peer.Request{ID: id, Method: name, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		ask.TimeoutMillis = uint32(max(time.Until(deadline).Milliseconds(), 1))
	}
	return ask
}

// result translates an Answer.
func result(address string, a *peer.Response) ([]byte, error) {
	if a.Code == peer.CodeOK {
		return a.Body, nil
	}
	cause := codeError(a.Code, a.Reason)
	if a.Code == peer.CodeBusy || a.Code == peer.CodeNoMethod {
		return nil, notRun(StepCall, address, cause)
	}
	return nil, &Error{Step: StepCall, Peer: address, Cause: cause}
}

// begin reserves an id.
func (c *conn) begin() (uint64, chan *peer.Response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= c.node.opts.MaxPending {
		return 0, nil, errors.Wrapf(ErrBusy, "%d calls wait on the connection", len(c.pending))
	}
	now := c.now()
	c.lastUsed.Store(now)
	if c.askedAt.Load() <= c.lastIn.Load() {
		c.askedAt.Store(now)
	}
	c.nextID++
	answers := make(chan *peer.Response, 1)
	c.pending[c.nextID] = answers
	return c.nextID, answers, nil
}

// finish frees an id.
func (c *conn) finish(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// answered hands an Answer to its call. One whose call has given up, and a
// second one for the same id, find no channel and are dropped.
func (c *conn) answered(a *peer.Response) {
	c.mu.Lock()
	answers := c.pending[a.ID]
	delete(c.pending, a.ID)
	c.mu.Unlock()
	if answers != nil {
		answers <- a
	}
}

// waiting returns the number of calls that wait on the connection.
func (c *conn) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// answer runs the handler of an Ask in its own goroutine, within the bound of
// handlers.
func (n *Node) answer(c *conn, ask *peer.Request) {
	m, ok := n.method(ask.Method)
	if !ok {
		c.reply(&peer.Response{ID: ask.ID, Code: peer.CodeNoMethod, Reason: "no such method"})
		return
	}
	select {
	case n.handlers <- struct{}{}:
	default:
		c.reply(&peer.Response{ID: ask.ID, Code: peer.CodeBusy, Reason: "too many calls"})
		return
	}
	n.wg.Go(func() {
		answer := n.runHandler(c, m.handler, ask)
		// The place is free before its asker knows the answer: else the next call of
		// one that calls in turn is refused as one too many.
		<-n.handlers
		c.reply(answer)
	})
}

// runHandler runs a handler under the asker's time limit.
func (n *Node) runHandler(c *conn, h Handler, ask *peer.Request) *peer.Response {
	timeout := n.opts.CallTimeout
	if ask.TimeoutMillis > 0 {
		timeout = min(timeout, time.Duration(ask.TimeoutMillis)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	body, err := h(ctx, c.peer, ask.Body)
	if err != nil {
		return &peer.Response{ID: ask.ID, Code: peer.CodeFailed, Reason: err.Error()}
	}
	return &peer.Response{ID: ask.ID, Body: body}
}

// reply sends an Answer; one that is too large is replaced by its error. If
// the peer does not take its answers, the connection is of no use.
func (c *conn) reply(a *peer.Response) {
	err := c.enqueue(a)
	if errors.Is(err, peer.ErrFrameSize) {
		err = c.enqueue(&peer.Response{ID: a.ID, Code: peer.CodeFailed, Reason: "answer exceeds the frame size"})
	}
	if err != nil {
		c.close(fail(StepWrite, c.remote, err))
	}
}
