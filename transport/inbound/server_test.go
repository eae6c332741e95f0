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

// bound is a bound of waits that a test must not reach.
const bound = 10 * time.Second

const text = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// rig is a server with callers.
type rig struct {
	t      *testing.T
	server *Server
	// entered gets a value when a request reaches the handler, which goes on when
	// release gives one; both are nil for a handler that answers at once.
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
	go func() { _ = r.server.Serve() }() // its end is looked at by Finish
}

// caller is one connection to the server.
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

// answered reads a whole answer and tells whether the connection closes after it.
func (c *caller) answered() (closes bool) {
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	require.Equal(c.t, http.StatusNoContent, response.StatusCode)
	return response.Close
}

func (c *caller) closed() {
	_, err := c.reader.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

func (r *rig) finish() {
	ctx, cancel := context.WithTimeout(r.t.Context(), bound)
	defer cancel()
	require.NoError(r.t, r.server.Drain(ctx))
	require.Zero(r.t, r.server.OpenConns())
}

// A stop closes connections on which nothing is on its way, so that their callers go
// elsewhere, and no others.
func TestRetireClosesIdleConnections(t *testing.T) {
	r := newRig(t, listen(t), false)
	r.serve()
	idle := r.dial()
	idle.send(text)
	require.False(t, idle.answered())
	r.server.BeginDrain()
	idle.closed()
	later := r.dial()
	later.send(text)
	require.True(t, later.answered())
	later.closed()
	r.finish()
}

// gated accepts connections whose reads wait until the gate opens, like those of a
// process that has not run since.
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

// A caller's request lies in the socket: the instance has not run for a while. When it
// runs again, its stop is due, and the connection has no request as far as anybody has
// read. It must be read, and answered.
func TestRetireAnswersWhatLiesUnread(t *testing.T) {
	g := &gated{listen(t), make(chan struct{})}
	r := newRig(t, g, false)
	r.serve()
	c := r.dial()
	c.send(text)
	require.Eventually(t, func() bool { return r.server.CountByState()[Unread] == 1 }, bound, time.Millisecond)
	r.server.all()[0].retire()
	close(g.gate)
	c.answered()
	r.finish()
	c.closed()
}

// Half a request's head has been read when the stop retires connections. The rest
// comes later.
func TestRetireWaitsForTheRestOfAHead(t *testing.T) {
	r := newRig(t, listen(t), false)
	r.serve()
	c := r.dial()
	c.send(text[:10])
	require.Eventually(t, func() bool { return r.server.CountByState()[Busy] == 1 }, bound, time.Millisecond)
	r.server.BeginDrain()
	c.send(text[10:])
	require.True(t, c.answered())
	c.closed()
}

// A caller begins its next request behind the one that is being served. Its first
// byte has been read ahead when the stop retires connections, and the answer to the
// first one didn't say that the connection closes.
func TestRetireAnswersWhatWasReadAhead(t *testing.T) {
	r := newRig(t, listen(t), true)
	r.serve()
	c := r.dial()
	c.send(text)
	<-r.entered
	c.send(text[:1])
	connection := r.server.all()[0]
	require.Eventually(t, func() bool {
		connection.mu.Lock()
		defer connection.mu.Unlock()
		return connection.ahead
	}, bound, time.Millisecond)
	r.server.BeginDrain()
	r.release <- struct{}{}
	require.False(t, c.answered())
	require.Eventually(t, func() bool {
		connection.mu.Lock()
		defer connection.mu.Unlock()
		return connection.answered
	}, bound, time.Millisecond)
	require.Equal(t, Busy, connection.state())
	c.send(text[1:])
	<-r.entered
	r.release <- struct{}{}
	require.True(t, c.answered())
	c.closed()
}

// Callers have opened connections and sent their requests, and nobody has accepted them
// yet when the accepting ends. A closed listener would reset them.
func TestFinishServesWhatWasNotAccepted(t *testing.T) {
	r := newRig(t, listen(t), false)
	callers := []*caller{r.dial(), r.dial(), r.dial()}
	for _, c := range callers {
		c.send(text)
	}
	r.server.listener.end()
	r.serve()
	for _, c := range callers {
		c.answered()
	}
	r.finish()
	_, err := net.Dial("tcp", r.server.listener.Addr().String())
	require.Error(t, err)
}

// A request is being served when the stop finishes: its caller gets the answer, and the
// stop ends after it.
func TestFinishWaitsForAnswers(t *testing.T) {
	r := newRig(t, listen(t), true)
	r.serve()
	c := r.dial()
	c.send(text)
	<-r.entered
	finished := make(chan error, 1)
	go func() { finished <- r.server.Drain(t.Context()) }()
	require.Eventually(t, r.server.isRetiring, bound, time.Millisecond)
	select {
	case <-finished:
		require.Fail(t, "the stop didn't wait")
	default:
	}
	r.release <- struct{}{}
	c.answered()
	require.NoError(t, <-finished)
}

// A request has no end. The stop gives up when its time is over, and says so.
func TestFinishIsBounded(t *testing.T) {
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

// Two requests come in one segment, so the second one's bytes lie in net/http's buffer
// while the first is served, and no byte of it is read from the socket. A stop begins
// during the first or the second: the second was taken for none, its connection was
// closed, and its target ran it.
func TestRetireAnswersWhatLiesInTheBuffer(t *testing.T) {
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
					require.Equal(t, Busy, r.server.all()[0].state())
				}
				r.release <- struct{}{}
				c.answered()
			}
			c.closed()
			r.finish()
		})
	}
}

// Of the second of two requests half the head lies in net/http's buffer when the stop
// begins. The rest comes later.
func TestRetireWaitsForTheRestOfABufferedHead(t *testing.T) {
	r := newRig(t, listen(t), true)
	r.serve()
	c := r.dial()
	c.send(text + text[:10])
	<-r.entered
	connection := r.server.all()[0]
	r.release <- struct{}{}
	c.answered()
	require.Eventually(t, func() bool { return connection.state() == Busy }, bound, time.Millisecond)
	r.server.BeginDrain()
	c.send(text[10:])
	<-r.entered
	r.release <- struct{}{}
	c.answered()
}

// A caller begins a head and doesn't go on. The stop waited for it to the end of its
// grace, and closed the connection without a word. The caller hears that its request
// hasn't run, and the stop goes on.
func TestRetireRefusesAHeadThatDoesNotCome(t *testing.T) {
	r := newRig(t, listen(t), false)
	r.serve()
	c := r.dial()
	c.send(text[:10])
	require.Eventually(t, func() bool { return r.server.CountByState()[Busy] == 1 }, bound, time.Millisecond)
	r.server.BeginDrain()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	c.closed()
	r.finish()
}

// A caller has just opened a connection when the stop begins, and another opens one
// during it. Each has time for its first request; one that sends none doesn't hold the
// stop.
func TestRetireGivesNewConnectionsTime(t *testing.T) {
	r := newRig(t, listen(t), false)
	r.serve()
	before := r.dial()
	require.Eventually(t, func() bool { return r.server.OpenConns() == 1 }, bound, time.Millisecond)
	r.server.BeginDrain()
	require.Equal(t, 1, r.server.CountByState()[Idle])
	before.send(text)
	before.answered()
	during, silent := r.dial(), r.dial()
	require.Eventually(t, func() bool { return r.server.CountByState()[Idle] == 2 }, bound, time.Millisecond)
	during.send(text)
	during.answered()
	silent.closed()
	r.finish()
}

// An instance stands still for longer than a connection may be idle, and a request lies in
// the socket when it goes on. It is read, and answered.
func TestIdleTimeoutLooksIntoTheSocket(t *testing.T) {
	g := &gated{listen(t), make(chan struct{})}
	r := &rig{t: t}
	r.server = New(g, http.HandlerFunc(r.handle), Options{HeaderTimeout: time.Nanosecond, IdleTimeout: time.Nanosecond})
	t.Cleanup(r.server.Close)
	r.serve()
	c := r.dial()
	c.send(text)
	require.Eventually(t, func() bool { return r.server.CountByState()[Unread] == 1 }, bound, time.Millisecond)
	close(g.gate)
	c.answered()
}
