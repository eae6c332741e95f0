package forward

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Reply is a target's response. Read returns io.EOF only at the end of a complete
// body. The caller must call Close.
type Reply struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 if it is unknown.
	Length int64

	client     *Client
	conn       *conn
	response   *http.Response
	options    Options
	sendResult <-chan error
	// sendDone is set when the value of sendResult has been received; sendErr is that
	// value.
	sendDone    bool
	sendErr     error
	stopCancel  func() bool
	complete    bool
	discardConn bool
	reused      bool
	// targetEnded reports whether the target may have ended.
	targetEnded func() bool
}

// Framing is how the end of a response body is marked.
type Framing string

// The framings of a response body.
const (
	// FramedByLength: the header contains the length.
	FramedByLength Framing = "length"
	// FramedByChunks: the body ends with a last chunk.
	FramedByChunks Framing = "chunks"
	// FramedByClose: the body ends when the connection is closed.
	FramedByClose Framing = "close"
)

// Framing returns how the end of the response body is marked.
func (r *Reply) Framing() Framing {
	switch {
	case len(r.response.TransferEncoding) > 0:
		return FramedByChunks
	case r.response.ContentLength >= 0:
		return FramedByLength
	default:
		return FramedByClose
	}
}

// longAgo is a deadline in the past, which ends blocked calls at once.
var longAgo = time.Unix(1, 0)

// Do sends a request to an address and waits for the response header. The context
// bounds the whole attempt including the body.
func (c *Client) Do(ctx context.Context, address string, request *http.Request, o Options) (*Reply, error) {
	peer := idleKey{address, o.Incarnation, o.ConnGroup}
	way := c.choose(o)
	k := c.takeIdle(peer, cmp.Or(o.MaxIdle, maxIdleTime), way, o.RequestID)
	reused := k != nil
	if !reused {
		var err error
		if k, err = c.connect(ctx, peer, o.Service, way); err != nil {
			return nil, err
		}
	}
	if ctx.Err() != nil {
		c.putIdle(k)
		return nil, &Error{Step: StepConnect, Peer: address, Err: ctx.Err()}
	}
	if o.Allowed != nil && !o.Allowed() {
		c.putIdle(k)
		return nil, &Error{Step: StepConnect, Peer: address, Err: ErrWithdrawn}
	}
	reply, err := c.exchange(ctx, k, request, o)
	if err != nil {
		return nil, err
	}
	reply.reused = reused
	return reply, nil
}

// exchange sends a request on a connection and waits for the response header.
func (c *Client) exchange(ctx context.Context, k *conn, request *http.Request, o Options) (*Reply, error) {
	// The end of the context interrupts blocked reads and writes.
	stop := context.AfterFunc(ctx, func() { _ = k.SetDeadline(longAgo) }) // fails only if the connection is closed
	r := &Reply{client: c, conn: k, options: o, stopCancel: stop}
	r.targetEnded = func() bool { return o.EndsWithTarget && c.mayHaveEnded(ctx, k.address) }
	k.began(o.EndIfLost)
	k.recordRequest(o.RequestID)
	r.sendResult = send(k, request)
	if err := r.readHeader(request); err != nil {
		k.ended(err)
		return nil, r.fail(ctx, err)
	}
	k.ended(nil)
	return r, nil
}

// maxSyncBody is the body length, in bytes, up to which a request is written
// synchronously: it fits the buffers of a connection without the other end reading.
const maxSyncBody = 4 << 10

// send writes the request. A long one is written in the background, since a target may
// respond before it has read the body and continue only when its response is read.
func send(k *conn, request *http.Request) <-chan error {
	written := make(chan error, 1)
	if request.ContentLength <= maxSyncBody {
		written <- request.Write(k)
		return written
	}
	go func() {
		written <- request.Write(k)
	}()
	return written
}

// readHeader reads responses up to the header of the one that belongs to the request.
func (r *Reply) readHeader(request *http.Request) error {
	for range maxUnmatchedReplies {
		left := maxHeadBytes
		r.conn.headLeft = &left
		response, err := http.ReadResponse(r.conn.reader, request)
		r.conn.headLeft = nil
		if err != nil {
			return err
		}
		interim, err := classifyStatus(response.StatusCode)
		if err != nil {
			return err
		}
		if interim {
			continue
		}
		if r.options.Matches != nil && !r.options.Matches(response.StatusCode, response.Header) {
			r.discardConn = true
			n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxUnmatchedBytes))
			if err != nil {
				return err
			}
			if n == maxUnmatchedBytes || response.Close {
				return errors.New("the reply belongs to another request")
			}
			continue
		}
		r.response = response
		r.Status, r.Header, r.Length = response.StatusCode, response.Header, response.ContentLength
		return nil
	}
	return errors.New("too many replies of other requests")
}

// ErrInvalidStatus means that what a target sent is no response to the request.
var ErrInvalidStatus = errors.New("invalid status")

// classifyStatus reports whether a response with a status is followed by another one. It returns ErrInvalidStatus for one
// that HTTP doesn't define, and for a change of protocols, which no request asks for.
func classifyStatus(status int) (interim bool, err error) {
	if status < 100 || status > 599 || status == http.StatusSwitchingProtocols {
		return false, errors.Wrapf(ErrInvalidStatus, "status %03d", status)
	}
	return status < http.StatusOK, nil
}

// fail closes the connection and returns the error of an attempt without a response.
func (r *Reply) fail(ctx context.Context, err error) error {
	r.stopCancel()
	// Closed before the count is read, so that no byte is sent afterwards.
	_ = r.conn.Close() // err holds the cause already
	r.awaitSend()
	failed := &Error{Step: StepReply, Peer: r.conn.address, Sent: r.conn.bytesWritten > 0, Err: err}
	if !failed.Sent && r.sendErr != nil {
		failed.Step, failed.Err = StepSend, r.sendErr
	}
	switch {
	case ctx.Err() != nil:
		failed.Err = errors.CombineErrors(context.Cause(ctx), failed.Err)
	case r.conn.pathLost.Load():
		failed.Err = errors.Mark(failed.Err, ErrPathLost)
	}
	return failed
}

// Read reads the response body.
func (r *Reply) Read(p []byte) (int, error) {
	n, err := r.response.Body.Read(p)
	if err == io.EOF && r.Framing() == FramedByClose {
		err = r.closeDelimitedEnd()
	}
	if err == io.EOF {
		r.complete = true
		return n, err
	}
	if err != nil {
		err = &Error{Step: StepBody, Peer: r.conn.address, Sent: true, Err: err}
	}
	return n, err
}

// ResetDelay is how much later than the end of a target's bytes a reset may be seen that the target's host sends because
// the target has closed the connection with bytes of the request unread or on the way.
const ResetDelay = 100 * time.Millisecond

// closeDelimitedEnd returns io.EOF if the end of the connection is the regular end of the
// response body, or else the error that truncated the body.
//
// A socket reports a reset only once. If a write of the request gets the error, the reader
// sees a regular end. A target that responds before it has read the whole request keeps the
// connection and reads on, so a reset means that it has broken off, even if its bytes ended in
// order before (EPIPE).
func (r *Reply) closeDelimitedEnd() error {
	r.awaitSendFor(ResetDelay)
	_ = r.conn.SetWriteDeadline(longAgo) // ends a blocked write of the request
	r.awaitSend()
	if err := r.conn.writeErr; err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if r.targetEnded() {
		return errTargetEnded
	}
	return io.EOF
}

// errTargetEnded is the error of a response that ended with its connection, at a target that had
// ended: nothing shows that the response is complete.
var errTargetEnded = errors.Wrap(io.ErrUnexpectedEOF, "the target has ended")

// awaitSend waits until send has finished.
func (r *Reply) awaitSend() {
	if !r.sendDone {
		r.sendErr, r.sendDone = <-r.sendResult, true
	}
}

// awaitSendFor waits until send has finished, at most for a time.
func (r *Reply) awaitSendFor(limit time.Duration) {
	if r.sendDone {
		return
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case err := <-r.sendResult:
		r.sendErr, r.sendDone = err, true
	case <-timer.C:
	}
}

// Reused reports whether the connection had carried another request.
func (r *Reply) Reused() bool { return r.reused }

// DiscardConn makes Close close the connection instead of keeping it, for a connection on
// which a response may follow that belongs to no later request.
func (r *Reply) DiscardConn() { r.discardConn = true }

// Close ends the attempt. The connection is kept if the response was complete and nothing
// follows it; otherwise it is closed, which makes the target stop.
func (r *Reply) Close() {
	stopped := r.stopCancel()
	if !r.complete || !stopped || !r.reusable() {
		_ = r.conn.Close() // the attempt is over, so an error is ignored
		return
	}
	r.client.putIdle(r.conn)
}

// reusable reports whether the connection may carry another request.
func (r *Reply) reusable() bool {
	select {
	case err := <-r.sendResult:
		r.sendErr, r.sendDone = err, true
	default:
	}
	if !r.sendDone || r.sendErr != nil {
		// The target responded before it received the whole body. It would read
		// the rest of the body as the next request.
		return false
	}
	if r.discardConn || r.Framing() == FramedByClose || r.response.Close || r.conn.reader.Buffered() > 0 || len(r.conn.requestIDs) >= maxRequestIDs {
		return false
	}
	r.conn.idleTimeout = maxIdleTime
	if r.options.KeepIdle != nil {
		if keep := r.options.KeepIdle(r.Header); keep > 0 {
			r.conn.idleTimeout = min(maxIdleTime, keep-min(idleMargin, keep/2))
		}
	}
	return true
}
