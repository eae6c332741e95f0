package inbound

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// bound is the timeout of waits; no test may reach it.
const bound = 10 * time.Second

const text = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// rig is a server under test.
type rig struct {
	t      *testing.T
	server *Server
	// entered receives a value when a request reaches the handler, which responds when
	// it receives one from release; both are nil if the handler responds at once.
	entered, release chan struct{}
}

func newRig(t *testing.T, l net.Listener, holds bool) *rig {
	r := &rig{t: t}
	if holds {
		r.entered, r.release = make(chan struct{}, 16), make(chan struct{}, 16)
	}
	r.server = New(l, http.HandlerFunc(r.handle), Options{})
	t.Cleanup(r.server.Close)
	return r
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func (r *rig) handle(w http.ResponseWriter, _ *http.Request) {
	if r.entered != nil {
		r.entered <- struct{}{}
		<-r.release
	}
	w.WriteHeader(http.StatusNoContent)
}

func (r *rig) serve() {
	go func() { _ = r.server.Serve() }() // Drain waits for its end
}

// caller is a client connection to the server.
type caller struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (r *rig) dial() *caller {
	nc, err := net.Dial("tcp", r.server.listener.Addr().String())
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = nc.Close() })
	require.NoError(r.t, nc.SetDeadline(time.Now().Add(bound)))
	return &caller{nc, r.t, bufio.NewReader(nc)}
}

func (c *caller) send(text string) {
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// readResponse reads a complete response and reports whether the connection closes after it.
func (c *caller) readResponse() (closes bool) {
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	require.Equal(c.t, http.StatusNoContent, response.StatusCode)
	return response.Close
}

func (c *caller) requireClosed() {
	_, err := c.reader.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

func (r *rig) drain() {
	ctx, cancel := context.WithTimeout(r.t.Context(), bound)
	defer cancel()
	require.NoError(r.t, r.server.Drain(ctx))
	require.Zero(r.t, r.server.OpenConns())
}

// Draining closes idle connections, so that their callers use another instance, and no
// others.
func TestDrainClosesIdleConnections(t *testing.T) {
	r := newRig(t, listen(t), false)
	r.serve()
	idle := r.dial()
	idle.send(text)
	require.False(t, idle.readResponse())
	r.server.BeginDrain()
	idle.requireClosed()
	later := r.dial()
	later.send(text)
	require.True(t, later.readResponse())
	later.requireClosed()
	r.drain()
}

// gated accepts connections whose reads block until the gate is closed, like those of a
// process that is paused.
type gated struct {
	net.Listener
	gate chan struct{}
}

type gatedConn struct {
	*net.TCPConn
	gate chan struct{}
}

func (g *gated) Accept() (net.Conn, error) {
	nc, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{nc.(*net.TCPConn), g.gate}, nil
}

func (c *gatedConn) Read(p []byte) (int, error) {
	<-c.gate
	return c.TCPConn.Read(p)
}

// An instance was paused, and a request lies unread in the socket. When the instance
// resumes, it drains at once, and the connection looks idle. The request must be served.
func TestDrainServesUnreadRequest(t *testing.T) {
	g := &gated{listen(t), make(chan struct{})}
	r := newRig(t, g, false)
	r.serve()
	c := r.dial()
	c.send(text)
	require.Eventually(t, func() bool { return r.server.CountByState()[Unread] == 1 }, bound, time.Millisecond)
	r.server.connections()[0].drain()
	close(g.gate)
	c.readResponse()
	r.drain()
	c.requireClosed()
}

// Half of a request's head has been read when draining begins. The other half arrives
// later.
func TestDrainWaitsForPartialHead(t *testing.T) {
	r := newRig(t, listen(t), false)
	r.serve()
	c := r.dial()
	c.send(text[:10])
	require.Eventually(t, func() bool { return r.server.CountByState()[Busy] == 1 }, bound, time.Millisecond)
	r.server.BeginDrain()
	c.send(text[10:])
	require.True(t, c.readResponse())
	c.requireClosed()
}

// A caller pipelines a request behind the one that is being served. Its first byte has
// been read ahead when draining begins, and the response to the first request doesn't
// announce that the connection closes.
func TestDrainServesRequestReadAhead(t *testing.T) {
	r := newRig(t, listen(t), true)
	r.serve()
	c := r.dial()
	c.send(text)
	<-r.entered
	c.send(text[:1])
	connection := r.server.connections()[0]
	require.Eventually(t, func() bool {
		connection.mu.Lock()
		defer connection.mu.Unlock()
		return connection.readAhead
	}, bound, time.Millisecond)
	r.server.BeginDrain()
	r.release <- struct{}{}
	require.False(t, c.readResponse())
	require.Eventually(t, func() bool {
		connection.mu.Lock()
		defer connection.mu.Unlock()
		return connection.responded
	}, bound, time.Millisecond)
	require.Equal(t, Busy, connection.state())
	c.send(text[1:])
	<-r.entered
	r.release <- struct{}{}
	require.True(t, c.readResponse())
	c.requireClosed()
}

// Callers have opened connections and sent requests that are still in the accept queue
// when accepting stops. Closing the listener would reset them.
func TestDrainServesAcceptQueue(t *testing.T) {
	r := newRig(t, listen(t), false)
	callers := []*caller{r.dial(), r.dial(), r.dial()}
	for _, c := range callers {
		c.send(text)
	}
	r.server.listener.drain()
	r.serve()
	for _, c := range callers {
		c.readResponse()
	}
	r.drain()
	_, err := net.Dial("tcp", r.server.listener.Addr().String())
	require.Error(t, err)
}

// A request is being served when Drain is called: the caller gets its response, and Drain
// returns after it.
func TestDrainWaitsForResponses(t *testing.T) {
	r := newRig(t, listen(t), true)
	r.serve()
	c := r.dial()
	c.send(text)
	<-r.entered
	finished := make(chan error, 1)
	go func() { finished <- r.server.Drain(t.Context()) }()
	require.Eventually(t, r.server.isDraining, bound, time.Millisecond)
	select {
	case <-finished:
		require.Fail(t, "Drain didn't wait for the response")
	default:
	}
	r.release <- struct{}{}
	c.readResponse()
	require.NoError(t, <-finished)
}

// A request never ends. Drain returns the context's error when the context ends.
func TestDrainEndsWithContext(t *testing.T) {
	r := newRig(t, listen(t), true)
	r.serve()
	c := r.dial()
	c.send(text)
	<-r.entered
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, r.server.Drain(ctx), context.Canceled)
	r.release <- struct{}{}
}

// Two requests arrive in one segment, so the second one's bytes are in net/http's buffer
// while the first is served, and none of them is read from the socket. Draining begins
// during the first or the second request. Prevents closing the connection as idle while
// the target runs the second request.
func TestDrainServesBufferedRequest(t *testing.T) {
	for name, stopDuring := range map[string]int{"the first": 1, "the second": 2} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, listen(t), true)
			r.serve()
			c := r.dial()
			c.send(text + text)
			for n := 1; n <= 2; n++ {
				<-r.entered
				if n == stopDuring {
					r.server.BeginDrain()
					require.Equal(t, Busy, r.server.connections()[0].state())
				}
				r.release <- struct{}{}
				c.readResponse()
			}
			c.requireClosed()
			r.drain()
		})
	}
}

// Half of the second request's head is in net/http's buffer when draining begins. The
// other half arrives later.
func TestDrainWaitsForPartialBufferedHead(t *testing.T) {
	r := newRig(t, listen(t), true)
	r.serve()
	c := r.dial()
	c.send(text + text[:10])
	<-r.entered
	connection := r.server.connections()[0]
	r.release <- struct{}{}
	c.readResponse()
	require.Eventually(t, func() bool { return connection.state() == Busy }, bound, time.Millisecond)
	r.server.BeginDrain()
	c.send(text[10:])
	<-r.entered
	r.release <- struct{}{}
	c.readResponse()
}

// A caller sends only a part of a head. Otherwise the stop would wait for it until the end
// of the grace period and close the connection without a response. The caller must get a
// response that its request hasn't run, and draining must finish.
func TestDrainRefusesIncompleteHead(t *testing.T) {
	r := newRig(t, listen(t), false)
	r.serve()
	c := r.dial()
	c.send(text[:10])
	require.Eventually(t, func() bool { return r.server.CountByState()[Busy] == 1 }, bound, time.Millisecond)
	r.server.BeginDrain()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	c.requireClosed()
	r.drain()
}

// A caller has just opened a connection when draining begins, and others open theirs
// afterwards. Each gets time for its first request; one that sends none doesn't delay the
// stop.
func TestDrainGivesNewConnectionsTime(t *testing.T) {
	r := newRig(t, listen(t), false)
	r.serve()
	before := r.dial()
	require.Eventually(t, func() bool { return r.server.OpenConns() == 1 }, bound, time.Millisecond)
	r.server.BeginDrain()
	require.Equal(t, 1, r.server.CountByState()[Idle])
	before.send(text)
	before.readResponse()
	during, silent := r.dial(), r.dial()
	require.Eventually(t, func() bool { return r.server.CountByState()[Idle] == 2 }, bound, time.Millisecond)
	during.send(text)
	during.readResponse()
	silent.requireClosed()
	r.drain()
}

// An instance was paused for longer than the idle timeout, and a request lies unread in
// the socket when it resumes. The request must be served.
func TestIdleTimeoutChecksSocket(t *testing.T) {
	g := &gated{listen(t), make(chan struct{})}
	r := &rig{t: t}
	r.server = New(g, http.HandlerFunc(r.handle), Options{HeaderTimeout: time.Nanosecond, IdleTimeout: time.Nanosecond})
	t.Cleanup(r.server.Close)
	r.serve()
	c := r.dial()
	c.send(text)
	require.Eventually(t, func() bool { return r.server.CountByState()[Unread] == 1 }, bound, time.Millisecond)
	close(g.gate)
	c.readResponse()
}
