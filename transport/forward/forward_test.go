package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serve runs script on each accepted connection; conns counts the connections.
func serve(t *testing.T, script func(nc net.Conn, r *bufio.Reader)) (address string, conns *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	conns = new(atomic.Int64)
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer nc.Close()
				script(nc, bufio.NewReader(nc))
			}()
		}
	}()
	return listener.Addr().String(), conns
}

const okResponse = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

// answerAll responds to every request on a connection with text.
func answerAll(text string) func(net.Conn, *bufio.Reader) {
	return func(nc net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(nc, text)
		}
	}
}

func do(t *testing.T, c *Client, address, body string, o Options) (string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", strings.NewReader(body))
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	reply, err := c.Do(ctx, address, request, o)
	if err != nil {
		return "", err
	}
	defer reply.Close()
	text, err := io.ReadAll(reply)
	return string(text), err
}

// A connection is reused after a complete response.
func TestConnectionIsReused(t *testing.T) {
	address, conns := serve(t, answerAll(okResponse))
	c := New(ClientOptions{})
	for range 3 {
		got, err := do(t, c, address, "", Options{})
		require.NoError(t, err)
		require.Equal(t, "ok", got)
	}
	require.EqualValues(t, 1, conns.Load())
}

// A connection whose response is followed by other bytes, or which the target closes, must
// not be reused: the next request would get the response to another one.
func TestConnectionIsNotReused(t *testing.T) {
	cases := map[string]string{
		"second answer":  okResponse + okResponse,
		"stray bytes":    okResponse + "stray",
		"asks to close":  "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"foreign answer": "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 5\r\n\r\nother" + okResponse,
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			address, conns := serve(t, answerAll(text))
			c := New(ClientOptions{})
			o := Options{Matches: func(_ int, h http.Header) bool { return h.Get("Id") == "1" }}
			for range 3 {
				got, err := do(t, c, address, "", o)
				require.NoError(t, err)
				require.Equal(t, "ok", got)
			}
			require.EqualValues(t, 3, conns.Load())
		})
	}
}

// Guards against a duplicate of an earlier response that is taken for the response to a later send of the
// same request.
func TestConnectionCarriesARequestOnce(t *testing.T) {
	address, conns := serve(t, answerAll(okResponse))
	c := New(ClientOptions{})
	for _, step := range []struct {
		requestID string
		conns     int
	}{{"a", 1}, {"b", 1}, {"a", 2}, {"c", 2}, {"a", 3}, {"b", 3}} {
		_, err := do(t, c, address, "", Options{RequestID: step.requestID})
		require.NoError(t, err)
		require.EqualValues(t, step.conns, conns.Load(), "request %s", step.requestID)
	}
}

// Guards against records of requests that grow as long as a connection lives.
func TestConnectionCarriesALimitedNumberOfRequests(t *testing.T) {
	address, conns := serve(t, answerAll(okResponse))
	c := New(ClientOptions{})
	for i := range maxRequestIDs + 1 {
		_, err := do(t, c, address, "", Options{RequestID: strconv.Itoa(i)})
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, conns.Load())
}

// A second response that arrives while the connection is idle must not be read as the
// response to the next request.
func TestLateResponseIsNotAccepted(t *testing.T) {
	late := make(chan struct{})
	sent := make(chan struct{})
	var once sync.Once
	address, conns := serve(t, func(nc net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(nc, okResponse)
		<-late
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nlate")
		once.Do(func() { close(sent) })
		_, _ = r.ReadByte()
	})
	c := New(ClientOptions{})
	_, err := do(t, c, address, "", Options{})
	require.NoError(t, err)
	close(late)
	<-sent
	// The next call must see the late response, so wait until it has arrived.
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !nothingReceived(c.idle[idleKey{address: address}][0].Conn)
	}, 5*time.Second, time.Millisecond)
	_, _ = do(t, c, address, "", Options{}) // the script sends one response per connection
	require.EqualValues(t, 2, conns.Load())
}

// If the target closes or refuses the connection, the error reports whether bytes were
// sent and the request may have run. The request is sent at most once.
func TestErrorReportsWhetherRequestWasSent(t *testing.T) {
	var requests atomic.Int64
	address, _ := serve(t, func(_ net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			requests.Add(1)
		}
	})
	_, err := do(t, New(ClientOptions{}), address, "body", Options{})
	var failed *Error
	require.True(t, errors.As(err, &failed))
	require.True(t, failed.Sent)
	require.EqualValues(t, 1, requests.Load())

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	nobody := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = do(t, New(ClientOptions{}), nobody, "body", Options{})
	require.True(t, errors.As(err, &failed))
	require.False(t, failed.Sent)
	require.True(t, failed.Refused)
}

// A truncated response must not look complete.
func TestBrokenResponses(t *testing.T) {
	cases := map[string]string{
		"short of its length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"chunks without end":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(nc net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(nc, text)
			})
			got, err := do(t, New(ClientOptions{}), address, "", Options{})
			require.Error(t, err)
			require.NotErrorIs(t, err, io.EOF)
			require.Equal(t, "ok", got)
		})
	}
}

// Prevents a truncated response without a length from looking complete: a reset that
// a write of the request body reports is not reported to the reader.
func TestResetDuringRequestBodyIsReported(t *testing.T) {
	address, _ := serve(t, func(nc net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\nid: 1\n\n")
		_ = nc.(*net.TCPConn).SetLinger(0)
	})
	body := strings.Repeat("x", 16<<20)
	for range 40 {
		_, err := do(t, New(ClientOptions{}), address, body, Options{})
		require.Error(t, err)
	}
}

// earlyTarget responds without a length and ends the response before it has read the whole request.
func earlyTarget(t *testing.T, after func(nc net.Conn)) string {
	address, _ := serve(t, func(nc net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = nc.(*net.TCPConn).CloseWrite()
		after(nc)
	})
	return address
}

// A complete response without a length must be accepted even if the target sent it before it has read the whole
// request.
func TestEarlyResponseIsComplete(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	for name, after := range map[string]func(nc net.Conn){
		"then it reads on":             func(nc net.Conn) { _, _ = io.Copy(io.Discard, nc) },
		"then it doesn't read further": func(net.Conn) { <-done },
	} {
		t.Run(name, func(t *testing.T) {
			address := earlyTarget(t, after)
			body := strings.Repeat("x", 16<<20)
			for range 40 {
				got, err := do(t, New(ClientOptions{}), address, body, Options{})
				require.NoError(t, err)
				require.Equal(t, "whole", got)
			}
		})
	}
}

// Guards against a part of a response that looks complete since its target closed the connection without reading the whole
// request.
func TestEarlyResponseIsBrokenOffIfItsTargetCloses(t *testing.T) {
	for name, end := range map[string]func(nc net.Conn){
		"in order": func(net.Conn) {},
		"reset":    func(nc net.Conn) { _ = nc.(*net.TCPConn).SetLinger(0) },
	} {
		t.Run(name, func(t *testing.T) {
			address := earlyTarget(t, end)
			body := strings.Repeat("x", 16<<20)
			for range 40 {
				_, err := do(t, New(ClientOptions{}), address, body, Options{})
				require.Error(t, err)
			}
		})
	}
}

// failingWriteConn is a connection whose writes all fail.
type failingWriteConn struct {
	net.Conn
	io.Reader
	writeErr error
}

func (w failingWriteConn) Read(p []byte) (int, error)     { return w.Reader.Read(p) }
func (w failingWriteConn) Write([]byte) (int, error)      { return 0, w.writeErr }
func (failingWriteConn) SetWriteDeadline(time.Time) error { return nil }
func (failingWriteConn) Close() error                     { return nil }

// Prevents a response without a length from looking complete if its connection failed while
// the request was written.
func TestCloseDelimitedEndAfterWriteError(t *testing.T) {
	for name, c := range map[string]struct {
		head     string
		writeErr error
		complete bool
	}{
		"reset":                     {"", syscall.ECONNRESET, false},
		"reset behind its end":      {"", syscall.EPIPE, false},
		"silence":                   {"", syscall.ETIMEDOUT, false},
		"body not taken":            {"", os.ErrDeadlineExceeded, true},
		"reset behind whole answer": {"Content-Length: 2\r\n", syscall.ECONNRESET, true},
	} {
		t.Run(name, func(t *testing.T) {
			nc := failingWriteConn{Reader: strings.NewReader("HTTP/1.1 200 OK\r\n" + c.head + "\r\nok"), writeErr: c.writeErr}
			client := New(ClientOptions{})
			k := &conn{Conn: nc, client: client, reader: bufio.NewReader(nc)}
			request, err := http.NewRequest(http.MethodPost, "http://target/x", strings.NewReader(strings.Repeat("x", 2*maxSyncBody)))
			require.NoError(t, err)
			reply, err := client.exchange(t.Context(), k, request, Options{})
			require.NoError(t, err)
			defer reply.Close()
			got, err := io.ReadAll(reply)
			require.Equal(t, "ok", string(got))
			require.Equal(t, c.complete, err == nil, "%v", err)
		})
	}
}

// A target responds before it has read a long body, and reads the body later. The response
// is accepted, but the connection is not reused, since a part of the body is still unsent.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	address, conns := serve(t, func(nc net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(nc, okResponse)
		_, _ = io.Copy(io.Discard, r)
	})
	c := New(ClientOptions{})
	for range 2 {
		got, err := do(t, c, address, strings.Repeat("x", 32<<20), Options{})
		require.NoError(t, err)
		require.Equal(t, "ok", got)
	}
	require.EqualValues(t, 2, conns.Load())
}

// An idle connection older than MaxIdle isn't reused for a request that may run at most
// once, since the target may close it at that moment.
func TestMaxIdle(t *testing.T) {
	address, conns := serve(t, answerAll(okResponse))
	c := New(ClientOptions{})
	_, err := do(t, c, address, "", Options{})
	require.NoError(t, err)
	c.mu.Lock()
	c.idle[idleKey{address: address}][0].idleSince = time.Now().Add(-2 * NonRepeatableMaxIdle)
	c.mu.Unlock()
	_, err = do(t, c, address, "", Options{MaxIdle: NonRepeatableMaxIdle})
	require.NoError(t, err)
	require.EqualValues(t, 2, conns.Load())
}

// An attempt at a target that doesn't respond ends when the attempt's context ends.
func TestSilentTarget(t *testing.T) {
	address, _ := serve(t, func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
	require.NoError(t, err)
	_, err = New(ClientOptions{}).Do(ctx, address, request, Options{})
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// A target crashes behind a failed link and restarts at the same address. The idle
// connection to it looks healthy, but bytes sent on it are reset by the host of the new
// process: a request that may run at most once would count as one that may have run. So
// the request must use a new connection.
func TestIdleConnectionIsBoundToIncarnation(t *testing.T) {
	var served atomic.Int64
	address, conns := serve(t, func(nc net.Conn, r *bufio.Reader) {
		first := served.Add(1) == 1
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if first && n > 0 {
				_ = nc.(*net.TCPConn).SetLinger(0) // makes Close reset the connection
				return
			}
			_, _ = io.WriteString(nc, okResponse)
		}
	})
	c := New(ClientOptions{})
	_, err := do(t, c, address, "", Options{Incarnation: "a@100"})
	require.NoError(t, err)
	for range 2 {
		got, err := do(t, c, address, "", Options{Incarnation: "a@200"})
		require.NoError(t, err)
		require.Equal(t, "ok", got)
	}
	require.EqualValues(t, 2, conns.Load(), "the connection to the new process is reused")

	c.CloseIdle(func(incarnation string) bool { return incarnation == "a@200" })
	require.Len(t, c.idle, 1)
	require.Contains(t, c.idle, idleKey{address: address, incarnation: "a@200"})
}

// Prevents a late response from reaching another request: groups don't share connections,
// and a connection is not reused after DiscardConn.
func TestConnGroupsAndDiscardedConns(t *testing.T) {
	address, conns := serve(t, answerAll(okResponse))
	c := New(ClientOptions{})
	for _, use := range []string{"", "other", "", "other"} {
		_, err := do(t, c, address, "", Options{ConnGroup: use})
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, conns.Load())

	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", nil)
	require.NoError(t, err)
	reply, err := c.Do(t.Context(), address, request, Options{})
	require.NoError(t, err)
	require.True(t, reply.Reused())
	_, err = io.ReadAll(reply)
	require.NoError(t, err)
	reply.DiscardConn()
	reply.Close()
	_, err = do(t, c, address, "", Options{})
	require.NoError(t, err)
	require.EqualValues(t, 3, conns.Load())
}

// A data centre is drained while a connection to one of its targets is being opened. The target
// must get no byte of the request, and the connection stays usable.
func TestWithdrawnTargetGetsNothing(t *testing.T) {
	var received atomic.Int64
	address, conns := serve(t, func(nc net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			received.Add(1)
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(nc, okResponse)
		}
	})
	c := New(ClientOptions{})
	_, err := do(t, c, address, "", Options{Allowed: func() bool { return false }})
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.ErrorIs(t, err, ErrWithdrawn)
	require.False(t, failed.Sent)
	require.Equal(t, StepConnect, failed.Step)
	require.Zero(t, received.Load())
	_, err = do(t, c, address, "", Options{Allowed: func() bool { return true }})
	require.NoError(t, err)
	require.Equal(t, int64(1), conns.Load())
}

// A target leaves while a connection to it opens, which may take longer than the bound for what
// leaves. Nothing may be sent on the connection.
func TestTargetThatLeavesDuringConnectGetsNothing(t *testing.T) {
	var received atomic.Int64
	address, _ := serve(t, func(_ net.Conn, r *bufio.Reader) {
		if _, err := r.ReadByte(); err == nil {
			received.Add(1)
		}
	})
	var left atomic.Bool
	c := New(ClientOptions{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		left.Store(true)
		return Dial(ctx, address)
	}})
	allowed := func() bool { return !left.Load() }
	require.True(t, allowed())
	_, err := do(t, c, address, "", Options{Allowed: allowed})
	require.ErrorIs(t, err, ErrWithdrawn)
	c.CloseIdle(func(string) bool { return false })
	require.Zero(t, received.Load())
}

// endingTarget serves one request with a response that ends with its connection, and accepts a number
// of further connections before it ends; it doesn't end if that is negative.
func endingTarget(t *testing.T, accepts int) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(nc))
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\nok")
		if accepts > 0 {
			_ = nc.Close()
		}
		for range accepts {
			if nc, err = listener.Accept(); err != nil {
				return
			}
		}
		if accepts >= 0 {
			_ = listener.Close()
		}
		_ = nc.Close()
	}()
	return listener.Addr().String()
}

// askedPeer is a Detour whose every connection fails with an error, or opens if that is nil.
type askedPeer struct{ err error }

func (p askedPeer) Dial(context.Context, string) (net.Conn, string, error) {
	if p.err != nil {
		return nil, "", p.err
	}
	nc, _ := net.Pipe()
	return nc, "peer", nil
}

func (askedPeer) Usable(string) bool { return true }

// Guards against an instance that takes a whole response for broken off since it alone lost its path to
// the target, and against a piece that counts as whole since no other instance reaches the target either.
func TestOnlyAnotherInstanceShowsThatTheTargetRuns(t *testing.T) {
	for want, whole := range map[error]bool{nil: true, ErrNoPeerKnown: true, ErrNothingListens: false, ErrNoDetour: false, errors.New("not reached"): false} {
		c := New(ClientOptions{Detour: askedPeer{want}})
		_, err := do(t, c, endingTarget(t, 0), "", Options{EndsWithTarget: true})
		require.Equal(t, whole, err == nil, "%v: %v", want, err)
	}
}

// Guards against a piece of a response that counts as whole, and against a whole one that counts as
// broken off, where the end of the connection is the only mark of the end.
func TestResponseEndedWithItsTargetIsBrokenOff(t *testing.T) {
	for name, c := range map[string]struct {
		accepts int
		checked bool
		whole   bool
	}{
		"target goes on":            {-1, true, true},
		"ended":                     {0, true, false},
		"ends a little later":       {1, true, false},
		"ended, nobody asks for it": {0, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := do(t, New(ClientOptions{}), endingTarget(t, c.accepts), "", Options{EndsWithTarget: c.checked})
			require.Equal(t, "ok", got)
			if c.whole {
				require.NoError(t, err)
				return
			}
			require.True(t, ClosedByPeer(err), "%v", err)
		})
	}
}

// Guards against a status that is none, which is passed on as a response, or taken for an interim one, so that the request
// waits for another head, or the next one is taken for its response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		for name, rest := range map[string]string{"alone": "", "with a response behind it": okResponse} {
			t.Run(status+" "+name, func(t *testing.T) {
				address, conns := serve(t, answerAll("HTTP/1.1 "+status+" Odd\r\nId: 1\r\nContent-Length: 0\r\n\r\n"+rest))
				c := New(ClientOptions{})
				for range 2 {
					got, err := do(t, c, address, "", Options{})
					require.ErrorIs(t, err, ErrInvalidStatus)
					require.Empty(t, got)
				}
				require.EqualValues(t, 2, conns.Load(), "the connection is not reused")
			})
		}
	}
}

// Guards against an interim response that is taken for the response.
func TestInterimResponsesAreSkipped(t *testing.T) {
	address, _ := serve(t, answerAll("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"+okResponse))
	got, err := do(t, New(ClientOptions{}), address, "", Options{})
	require.NoError(t, err)
	require.Equal(t, "ok", got)
}

// Guards against a target that sends a head without end until no memory is left.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	closed := make(chan int, 1)
	address, _ := serve(t, func(nc net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		sent, chunk := 0, strings.Repeat("x", 4096)
		for _, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nX: "); err == nil; sent += len(chunk) {
			_, err = io.WriteString(nc, chunk)
		}
		closed <- sent
	})
	_, err := do(t, New(ClientOptions{}), address, "", Options{})
	require.ErrorIs(t, err, ErrHeadTooLong)
	require.False(t, ClosedByPeer(err))
	require.Greater(t, <-closed, 0, "the connection is closed")
}

// Guards against a limit of heads that counts the bodies of replies, or the heads of earlier ones.
func TestHeadLimitIsForEachHead(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxHeadBytes/2) + "\r\nContent-Length: " + strconv.Itoa(maxHeadBytes) + "\r\n\r\n"
	address, conns := serve(t, answerAll(head+strings.Repeat("y", maxHeadBytes)))
	c := New(ClientOptions{})
	for range 3 {
		got, err := do(t, c, address, "", Options{})
		require.NoError(t, err)
		require.Len(t, got, maxHeadBytes)
	}
	require.Equal(t, int64(1), conns.Load())
}
