package forward

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Reply is a target's answer. Its body ends with io.EOF only if it is whole.
// Close must be called.
type Reply struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, -1 if it is unknown.
	Length int64

	client   *Client
	conn     *conn
	response *http.Response
	options  Options
	written  <-chan error
	// sendDone tells that written has told how the sending of the request ended, and
	// sendErr its error.
	sendDone bool
	sendErr  error
	stop     func() bool
	whole    bool
	foreign  bool
	reused   bool
}

// Framing is how an answer marks its end.
type Framing string

// The framings of answers.
const (
	// FramedByLength announces the number of bytes.
	FramedByLength Framing = "length"
	// FramedByChunks has a last chunk.
	FramedByChunks Framing = "chunks"
	// FramedByClose ends with its connection.
	FramedByClose Framing = "close"
)

// Framing tells how the answer marks its end.
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

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Do sends a request to an address and waits for the header of its answer. The
// context bounds the whole attempt, the body included.
func (c *Client) Do(ctx context.Context, address string, request *http.Request, o Options) (*Reply, error) {
	peer := peerKey{address, o.Incarnation, o.ConnGroup}
	k := c.take(peer, cmp.Or(o.MaxIdle, idleMax))
	reused := k != nil
	if !reused {
		var err error
		if k, err = c.dial(ctx, peer); err != nil {
			return nil, err
		}
	}
	if ctx.Err() != nil {
		c.keep(k)
		return nil, &Error{Step: StepConnect, Peer: address, Err: ctx.Err()}
	}
	reply, err := c.exchange(ctx, k, request, o)
	if err != nil {
		return nil, err
	}
	reply.reused = reused
	return reply, nil
}

// exchange sends a request on a connection and waits for the header of its answer.
func (c *Client) exchange(ctx context.Context, k *conn, request *http.Request, o Options) (*Reply, error) {
	// Waiting reads and writes end with the context.
	stop := context.AfterFunc(ctx, func() { _ = k.SetDeadline(longAgo) }) // a closed one needs none
	r := &Reply{client: c, conn: k, options: o, stop: stop}
	r.written = send(k, request)
	if err := r.readHeader(request); err != nil {
		return nil, r.fail(ctx, err)
	}
	return r, nil
}

// smallBody is the size, in bytes, up to which a request fits what a connection
// takes without the other end reading.
const smallBody = 4 << 10

// send writes the request, a long one beside the reader: a target may answer
// before it has read the body, and read on only when its answer is taken.
func send(k *conn, request *http.Request) <-chan error {
	written := make(chan error, 1)
	if request.ContentLength <= smallBody {
		written <- request.Write(k)
		return written
	}
	go func() {
		written <- request.Write(k)
	}()
	return written
}

// readHeader reads up to the header of the reply that belongs to the request.
func (r *Reply) readHeader(request *http.Request) error {
	for range maxForeignReplies {
		response, err := http.ReadResponse(r.conn.reader, request)
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if r.options.Matches != nil && !r.options.Matches(response.StatusCode, response.Header) {
			r.foreign = true
			n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes))
			if err != nil {
				return err
			}
			if n == maxForeignBytes || response.Close {
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

// fail ends an attempt without a reply.
func (r *Reply) fail(ctx context.Context, err error) error {
	r.stop()
	// Closed before the count is read, so that no byte can leave after.
	_ = r.conn.Close() // its fault is told by err
	r.awaitSend()
	failed := &Error{Step: StepReply, Peer: r.conn.address, Sent: r.conn.writes > 0, Err: err}
	if !failed.Sent && r.sendErr != nil {
		failed.Step, failed.Err = StepSend, r.sendErr
	}
	if ctx.Err() != nil {
		failed.Err = errors.CombineErrors(context.Cause(ctx), failed.Err)
	}
	return failed
}

// Read reads the body.
func (r *Reply) Read(p []byte) (int, error) {
	n, err := r.response.Body.Read(p)
	if err == io.EOF && r.Framing() == FramedByClose {
		err = r.endByClose()
	}
	if err == io.EOF {
		r.whole = true
		return n, err
	}
	if err != nil {
		err = &Error{Step: StepBody, Peer: r.conn.address, Sent: true, Err: err}
	}
	return n, err
}

// endByClose tells what the end of a connection means that is the end of its answer:
// io.EOF, or the error that broke it off.
//
// A socket tells of a reset once. If the writer of the request is told, the reader sees an
// orderly end. EPIPE tells of a reset behind an orderly end: the target had answered and
// closed before it got the rest of the request.
func (r *Reply) endByClose() error {
	_ = r.conn.SetWriteDeadline(longAgo) // a writer that waits is of no use any more
	r.awaitSend()
	err := r.conn.writeErr
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		return io.EOF
	}
	return err
}

// awaitSend waits until the sending of the request has ended.
func (r *Reply) awaitSend() {
	if !r.sendDone {
		r.sendErr, r.sendDone = <-r.written, true
	}
}

// Reused tells whether the connection had carried another request.
func (r *Reply) Reused() bool { return r.reused }

// Distrust has Close close the connection: an answer that belongs to no later request may
// follow on it.
func (r *Reply) DiscardConn() { r.foreign = true }

// Close ends the attempt. The connection is kept if the answer was whole and
// nothing follows it; otherwise it is closed, which tells the target to stop.
func (r *Reply) Close() {
	stopped := r.stop()
	if !r.whole || !stopped || !r.reusable() {
		_ = r.conn.Close() // the attempt is over, whatever it brings
		return
	}
	r.client.keep(r.conn)
}

// reusable tells whether the connection may carry another request.
func (r *Reply) reusable() bool {
	select {
	case err := <-r.written:
		r.sendErr, r.sendDone = err, true
	default:
	}
	if !r.sendDone || r.sendErr != nil {
		// The target answered before it had the body; what of it is on the way
		// would be read as the next request.
		return false
	}
	if r.foreign || r.Framing() == FramedByClose || r.response.Close || r.conn.reader.Buffered() > 0 {
		return false
	}
	r.conn.keep = idleMax
	if r.options.KeepIdle != nil {
		if keep := r.options.KeepIdle(r.Header); keep > 0 {
			r.conn.keep = min(idleMax, keep-min(idleMargin, keep/2))
		}
	}
	return true
}
