package inbound

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// waitTimeout bounds each wait of a test; a test that reaches it fails.
const waitTimeout = 10 * time.Second

const requestText = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// testServer is a server under test.
type testServer struct {
	t      *testing.T
	server *Server
	// entered receives a value when a request reaches the handler. The handler then waits
	// for a value from release before it responds. Both are nil if it responds at once.
	entered, release chan struct{}
}

func newTestServer(t *testing.T, l net.Listener, waitsForRelease bool) *testServer {
	s := &testServer{t: t}
	if waitsForRelease {
		s.entered, s.release = make(chan struct{}, 16), make(chan struct{}, 16)
	}
	s.server = New(l, http.HandlerFunc(s.handle), Options{})
	t.Cleanup(s.server.Close)
	return s
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func (s *testServer) handle(w http.ResponseWriter, _ *http.Request) {
	if s.entered != nil {
		s.entered <- struct{}{}
		<-s.release
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *testServer) serve() {
	go func() { _ = s.server.Serve() }() // Drain waits for Serve to end
}

// caller is a client connection to the server.
type caller struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (s *testServer) dial() *caller {
	nc, err := net.Dial("tcp", s.server.listener.Addr().String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = nc.Close() })
	require.NoError(s.t, nc.SetDeadline(time.Now().Add(waitTimeout)))
	return &caller{nc, s.t, bufio.NewReader(nc)}
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

func (s *testServer) drain() {
	ctx, cancel := context.WithTimeout(s.t.Context(), waitTimeout)
	defer cancel()
	require.NoError(s.t, s.server.Drain(ctx))
	require.Zero(s.t, s.server.OpenConns())
}

// Draining closes only idle connections at once, so that their callers use another
// instance. A connection opened later still gets a response, and closes after it.
func TestDrainClosesIdleConnections(t *testing.T) {
	s := newTestServer(t, listen(t), false)
	s.serve()
	idle := s.dial()
	idle.send(requestText)
	require.False(t, idle.readResponse())
	s.server.BeginDrain()
	idle.requireClosed()
	later := s.dial()
	later.send(requestText)
	require.True(t, later.readResponse())
	later.requireClosed()
	s.drain()
}

// pausedListener accepts connections whose reads block until resumed is closed, as in a
// process that is paused.
type pausedListener struct {
	net.Listener
	resumed chan struct{}
}

type pausedConn struct {
	*net.TCPConn
	resumed chan struct{}
}

func (l *pausedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausedConn{nc.(*net.TCPConn), l.resumed}, nil
}

func (c *pausedConn) Read(p []byte) (int, error) {
	<-c.resumed
	return c.TCPConn.Read(p)
}

// An instance was paused, and a request lies unread in the socket. When the instance
// resumes, it drains at once, and the connection looks idle. The request must be served.
func TestDrainServesUnreadRequest(t *testing.T) {
	listener := &pausedListener{listen(t), make(chan struct{})}
	s := newTestServer(t, listener, false)
	s.serve()
	c := s.dial()
	c.send(requestText)
	require.Eventually(t, func() bool { return s.server.CountByState()[Unread] == 1 }, waitTimeout, time.Millisecond)
	s.server.connections()[0].drain()
	close(listener.resumed)
	c.readResponse()
	s.drain()
	c.requireClosed()
}

// Half of a request's head has been read when draining begins. The other half arrives
// later.
func TestDrainWaitsForPartialHead(t *testing.T) {
	s := newTestServer(t, listen(t), false)
	s.serve()
	c := s.dial()
	c.send(requestText[:10])
	require.Eventually(t, func() bool { return s.server.CountByState()[Busy] == 1 }, waitTimeout, time.Millisecond)
	s.server.BeginDrain()
	c.send(requestText[10:])
	require.True(t, c.readResponse())
	c.requireClosed()
}

// A caller pipelines a second request while the first is being served. The first byte of
// the second has been read ahead when draining begins, and the response to the first
// request doesn't announce that the connection closes.
func TestDrainServesRequestReadAhead(t *testing.T) {
	s := newTestServer(t, listen(t), true)
	s.serve()
	c := s.dial()
	c.send(requestText)
	<-s.entered
	c.send(requestText[:1])
	connection := s.server.connections()[0]
	require.Eventually(t, func() bool {
		connection.mu.Lock()
		defer connection.mu.Unlock()
		return connection.readAhead
	}, waitTimeout, time.Millisecond)
	s.server.BeginDrain()
	s.release <- struct{}{}
	require.False(t, c.readResponse())
	require.Eventually(t, func() bool {
		connection.mu.Lock()
		defer connection.mu.Unlock()
		return connection.responded
	}, waitTimeout, time.Millisecond)
	require.Equal(t, Busy, connection.state())
	c.send(requestText[1:])
	<-s.entered
	s.release <- struct{}{}
	require.True(t, c.readResponse())
	c.requireClosed()
}

// Callers have opened connections and sent requests that are still in the accept queue
// when accepting stops. Closing the listener would reset them.
func TestDrainServesAcceptQueue(t *testing.T) {
	s := newTestServer(t, listen(t), false)
	callers := []*caller{s.dial(), s.dial(), s.dial()}
	for _, c := range callers {
		c.send(requestText)
	}
	s.server.listener.drain()
	s.serve()
	for _, c := range callers {
		c.readResponse()
	}
	s.drain()
	_, err := net.Dial("tcp", s.server.listener.Addr().String())
	require.Error(t, err)
}

// A request is being served when Drain is called: the caller gets its response, and Drain
// returns after it.
func TestDrainWaitsForResponses(t *testing.T) {
	s := newTestServer(t, listen(t), true)
	s.serve()
	c := s.dial()
	c.send(requestText)
	<-s.entered
	finished := make(chan error, 1)
	go func() { finished <- s.server.Drain(t.Context()) }()
	require.Eventually(t, s.server.isDraining, waitTimeout, time.Millisecond)
	select {
	case <-finished:
		require.Fail(t, "Drain didn't wait for the response")
	default:
	}
	s.release <- struct{}{}
	c.readResponse()
	require.NoError(t, <-finished)
}

// A request never ends. Drain returns the context's error when the context ends.
func TestDrainEndsWithContext(t *testing.T) {
	s := newTestServer(t, listen(t), true)
	s.serve()
	c := s.dial()
	c.send(requestText)
	<-s.entered
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, s.server.Drain(ctx), context.Canceled)
	s.release <- struct{}{}
}

// Two requests arrive in one segment, so the bytes of the second are in net/http's buffer
// while the first is served, and none of them is read from the socket later. Draining begins
// during the first or the second request. Prevents closing the connection as idle while
// the target runs the second request.
func TestDrainServesBufferedRequest(t *testing.T) {
	for name, stopDuring := range map[string]int{"the first": 1, "the second": 2} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, listen(t), true)
			s.serve()
			c := s.dial()
			c.send(requestText + requestText)
			for n := 1; n <= 2; n++ {
				<-s.entered
				if n == stopDuring {
					s.server.BeginDrain()
					require.Equal(t, Busy, s.server.connections()[0].state())
				}
				s.release <- struct{}{}
				c.readResponse()
			}
			c.requireClosed()
			s.drain()
		})
	}
}

// Half of the second request's head is in net/http's buffer when draining begins. The
// other half arrives later.
func TestDrainWaitsForPartialBufferedHead(t *testing.T) {
	s := newTestServer(t, listen(t), true)
	s.serve()
	c := s.dial()
	c.send(requestText + requestText[:10])
	<-s.entered
	connection := s.server.connections()[0]
	s.release <- struct{}{}
	c.readResponse()
	require.Eventually(t, func() bool { return connection.state() == Busy }, waitTimeout, time.Millisecond)
	s.server.BeginDrain()
	c.send(requestText[10:])
	<-s.entered
	s.release <- struct{}{}
	c.readResponse()
}

// A caller sends only a part of a head. The caller must get a response that its request
// hasn't run, and draining must finish. Otherwise the stop would wait for the rest of the
// head until the end of the grace period and close the connection without a response.
func TestDrainRefusesIncompleteHead(t *testing.T) {
	s := newTestServer(t, listen(t), false)
	s.serve()
	c := s.dial()
	c.send(requestText[:10])
	require.Eventually(t, func() bool { return s.server.CountByState()[Busy] == 1 }, waitTimeout, time.Millisecond)
	s.server.BeginDrain()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	c.requireClosed()
	s.drain()
}

// A caller has just opened a connection when draining begins, and others open theirs
// afterwards. Each gets time for its first request; one that sends none doesn't delay the
// stop.
func TestDrainGivesNewConnectionsTime(t *testing.T) {
	s := newTestServer(t, listen(t), false)
	s.serve()
	before := s.dial()
	require.Eventually(t, func() bool { return s.server.OpenConns() == 1 }, waitTimeout, time.Millisecond)
	s.server.BeginDrain()
	require.Equal(t, 1, s.server.CountByState()[Idle])
	before.send(requestText)
	before.readResponse()
	during, silent := s.dial(), s.dial()
	require.Eventually(t, func() bool { return s.server.CountByState()[Idle] == 2 }, waitTimeout, time.Millisecond)
	during.send(requestText)
	during.readResponse()
	silent.requireClosed()
	s.drain()
}

// An instance was paused for longer than the idle timeout, and a request lies unread in
// the socket when it resumes. The request must be served.
func TestIdleTimeoutChecksSocket(t *testing.T) {
	listener := &pausedListener{listen(t), make(chan struct{})}
	s := &testServer{t: t}
	s.server = New(listener, http.HandlerFunc(s.handle), Options{HeaderTimeout: time.Nanosecond, IdleTimeout: time.Nanosecond})
	t.Cleanup(s.server.Close)
	s.serve()
	c := s.dial()
	c.send(requestText)
	require.Eventually(t, func() bool { return s.server.CountByState()[Unread] == 1 }, waitTimeout, time.Millisecond)
	close(listener.resumed)
	c.readResponse()
}

// newLimitedServer returns a server of at most n connections and the number of those it refused.
func newLimitedServer(t *testing.T, n int, waitsForRelease bool) (*testServer, *atomic.Int64) {
	s, refused := newTestServer(t, listen(t), waitsForRelease), new(atomic.Int64)
	s.server.maxConns, s.server.onRefuse = n, func() { refused.Add(1) }
	s.serve()
	return s, refused
}

// Guards against a crowd of connections that takes all descriptors, so that no request is served.
func TestConnectionsBeyondTheLimitAreClosedUnread(t *testing.T) {
	s, refused := newLimitedServer(t, 2, true)
	served := []*caller{s.dial(), s.dial()}
	for _, c := range served {
		c.send(requestText)
		<-s.entered
	}
	for range 5 {
		c := s.dial()
		_, err := c.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	}
	require.Equal(t, int64(5), refused.Load())
	require.Equal(t, 2, s.server.OpenConns())
	for _, c := range served {
		s.release <- struct{}{}
		require.False(t, c.readResponse())
	}
	require.Empty(t, s.entered)
}

// Guards against connections that wait for a request and keep callers with one from being served.
func TestIdleConnectionMakesRoomForANewOne(t *testing.T) {
	s, refused := newLimitedServer(t, 2, false)
	for range 6 {
		c := s.dial()
		c.send(requestText)
		require.False(t, c.readResponse())
		require.Eventually(t, func() bool { return s.server.CountByState()[Idle] == s.server.OpenConns() }, waitTimeout, time.Millisecond)
	}
	require.Zero(t, refused.Load())
	require.Eventually(t, func() bool { return s.server.OpenConns() == 2 }, waitTimeout, time.Millisecond)
}
