package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/peer"
)

// Handler executes a call and returns the body of its response. The context ends
// when the requester stops waiting or the connection is closed.
type Handler func(ctx context.Context, from Peer, body []byte) ([]byte, error)

// method is a registered method.
type method struct {
	handler    Handler
	idempotent bool
}

// HandleOption is an option of Handle.
type HandleOption func(*method)

// Idempotent marks a method that may run twice for one call. All instances
// register the same methods, so the requester looks up the mark in its own methods.
func Idempotent() HandleOption {
	return func(m *method) { m.idempotent = true }
}

// Handle registers the handler of a method.
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

// Send queues a one-way message for an address. It waits until there is a
// connection, but not for the write.
func (n *Node) Send(ctx context.Context, address string, m peer.Message) error {
	c, err := n.connTo(ctx, address, false)
	if err != nil {
		return err
	}
	return wrapError(StepWrite, address, c.enqueueDroppable(m))
}

// Post sends a one-way message without blocking. If there is no connection, or if
// fresh asks for a new one, up to MaxPendingPosts messages wait for it; further
// ones are dropped and counted.
func (n *Node) Post(address string, m peer.Message, fresh bool) {
	n.mu.Lock()
	c := n.connByAddress[address]
	if c != nil && !fresh && !c.isClosed() {
		n.mu.Unlock()
		_ = c.enqueueDroppable(m)
		return
	}
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	select {
	case n.postSlots <- struct{}{}:
	default:
		n.metrics.dropped.Inc(1)
		return
	}
	n.wg.Go(func() {
		defer func() { <-n.postSlots }()
		c, err := n.connTo(n.ctx, address, fresh)
		if err != nil {
			n.metrics.dropped.Inc(1)
			return
		}
		_ = c.enqueueDroppable(m)
	})
}

// Call calls a method of a peer and waits for its response. NotRun of the *Error
// that it returns reports whether the method is known not to have started. When
// the connection fails or is silent, the call of an idempotent method is retried
// once on a new connection.
func (n *Node) Call(ctx context.Context, address, name string, body []byte) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, n.opts.CallTimeout)
		defer cancel()
	}
	c, err := n.connTo(ctx, address, false)
	if err != nil {
		return nil, err
	}
	response, err := c.call(ctx, address, name, body)
	if !connectionFailed(err) {
		return response, err
	}
	if m, ok := n.method(name); !ok || !m.idempotent {
		return nil, err
	}
	// A middlebox may have dropped the state of the old connection while the peer
	// is healthy. Only a new connection shows which of the two has failed.
	c, err = n.connTo(ctx, address, true)
	if err != nil {
		return nil, err
	}
	return c.call(ctx, address, name, body)
}

// connectionFailed reports whether a call failed because its connection did.
func connectionFailed(err error) bool {
	return errors.Is(err, ErrSilent) || errors.Is(err, ErrConnLost)
}

// call sends a request and waits for its response.
func (c *conn) call(ctx context.Context, address, name string, body []byte) ([]byte, error) {
	id, responses, err := c.registerCall()
	if err != nil {
		return nil, notRunError(StepCall, address, err)
	}
	defer c.unregisterCall(id)
	if err := c.enqueue(newRequest(ctx, id, name, body)); err != nil {
		return nil, notRunError(StepCall, address, err)
	}
	select {
	case response := <-responses:
		return responseResult(address, response)
	case <-c.ctx.Done():
		return nil, wrapError(StepCall, address, c.closeCause())
	case <-ctx.Done():
		return nil, wrapError(StepCall, address, ctx.Err())
	}
}

// newRequest returns a request that carries the remaining time of ctx.
func newRequest(ctx context.Context, id uint64, name string, body []byte) *peer.Request {
	request := &peer.Request{ID: id, Method: name, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		request.TimeoutMillis = uint32(max(time.Until(deadline).Milliseconds(), 1))
	}
	return request
}

// responseResult returns the body of a response, or the error that its code
// means.
func responseResult(address string, response *peer.Response) ([]byte, error) {
	if response.Code == peer.CodeOK {
		return response.Body, nil
	}
	cause := codeError(response.Code, response.Reason)
	if response.Code == peer.CodeBusy || response.Code == peer.CodeNoMethod {
		return nil, notRunError(StepCall, address, cause)
	}
	return nil, &Error{Step: StepCall, Peer: address, Cause: cause}
}

// registerCall reserves the id of a call and the channel for its response.
func (c *conn) registerCall() (uint64, chan *peer.Response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= c.node.opts.MaxPendingCalls {
		return 0, nil, errors.Wrapf(ErrBusy, "%d calls wait on the connection", len(c.pending))
	}
	now := c.now()
	c.lastUsed.Store(now)
	if c.unansweredSince.Load() <= c.lastReceived.Load() {
		c.unansweredSince.Store(now)
	}
	c.nextID++
	responses := make(chan *peer.Response, 1)
	c.pending[c.nextID] = responses
	return c.nextID, responses, nil
}

// unregisterCall releases the id of a call.
func (c *conn) unregisterCall(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// deliverResponse passes a response to its call. A response whose call has given
// up, and a second one for the same id, find no channel and are dropped.
func (c *conn) deliverResponse(response *peer.Response) {
	c.mu.Lock()
	responses := c.pending[response.ID]
	delete(c.pending, response.ID)
	c.mu.Unlock()
	if responses != nil {
		responses <- response
	}
}

// pendingCount returns the number of calls that wait for a response.
func (c *conn) pendingCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// handleRequest runs the handler of a request in its own goroutine, or refuses the
// request if MaxHandlers are running.
func (n *Node) handleRequest(c *conn, request *peer.Request) {
	m, ok := n.method(request.Method)
	if !ok {
		c.sendResponse(&peer.Response{ID: request.ID, Code: peer.CodeNoMethod, Reason: "no such method"})
		return
	}
	select {
	case n.handlerSlots <- struct{}{}:
	default:
		c.sendResponse(&peer.Response{ID: request.ID, Code: peer.CodeBusy, Reason: "too many calls"})
		return
	}
	n.wg.Go(func() {
		response := n.runHandler(c, m.handler, request)
		// Free the slot before sending the response. Otherwise a requester that makes
		// its calls one after the other could have its next call refused, because
		// the slot of the previous call is still taken.
		<-n.handlerSlots
		c.sendResponse(response)
	})
}

// runHandler runs a handler within the requester's timeout, at most CallTimeout.
func (n *Node) runHandler(c *conn, h Handler, request *peer.Request) *peer.Response {
	timeout := n.opts.CallTimeout
	if request.TimeoutMillis > 0 {
		timeout = min(timeout, time.Duration(request.TimeoutMillis)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	body, err := h(ctx, c.peer, request.Body)
	if err != nil {
		return &peer.Response{ID: request.ID, Code: peer.CodeFailed, Reason: err.Error()}
	}
	return &peer.Response{ID: request.ID, Body: body}
}

// sendResponse queues a response; one that is too large is replaced by an error.
// If the write queue is full, the peer is not reading its responses and the
// connection is closed.
func (c *conn) sendResponse(response *peer.Response) {
	err := c.enqueue(response)
	if errors.Is(err, peer.ErrFrameSize) {
		err = c.enqueue(&peer.Response{ID: response.ID, Code: peer.CodeFailed, Reason: "answer exceeds the frame size"})
	}
	if err != nil {
		c.close(wrapError(StepWrite, c.remoteAddress, err))
	}
}
