package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serve answers each connection by a script; conns counts them.
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

const whole = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

// answerAll answers every request on a connection.
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

// A connection whose answer was whole carries the next request.
func TestConnectionIsKept(t *testing.T) {
	address, conns := serve(t, answerAll(whole))
	c := New()
	for range 3 {
		got, err := do(t, c, address, "", Options{})
		require.NoError(t, err)
		require.Equal(t, "ok", got)
	}
	require.EqualValues(t, 1, conns.Load())
}

// What ends badly or is followed by bytes of nobody's must not carry the next
// request: it would be answered by another's answer.
func TestConnectionIsNotKept(t *testing.T) {
	cases := map[string]string{
		"second answer":  whole + whole,
		"stray bytes":    whole + "stray",
		"asks to close":  "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"foreign answer": "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 5\r\n\r\nother" + whole,
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			address, conns := serve(t, answerAll(text))
			c := New()
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

// A second answer arrives late, while the connection is idle.
func TestLateAnswerIsNotTaken(t *testing.T) {
	late := make(chan struct{})
	sent := make(chan struct{})
	var once sync.Once
	address, conns := serve(t, func(nc net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(nc, whole)
		<-late
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nlate")
		once.Do(func() { close(sent) })
		_, _ = r.ReadByte()
	})
	c := New()
	_, err := do(t, c, address, "", Options{})
	require.NoError(t, err)
	close(late)
	<-sent
	// Loopback delivers in order with what the next call looks at.
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !quiet(c.idle[peerKey{address: address}][0].Conn)
	}, 5*time.Second, time.Millisecond)
	_, _ = do(t, c, address, "", Options{}) // the script serves one answer a connection
	require.EqualValues(t, 2, conns.Load())
}

// The target closes or resets the connection: whether the request may have run is
// told by whether a byte left, and it is sent once in any case.
func TestFailuresTellWhetherTheRequestLeft(t *testing.T) {
	var requests atomic.Int64
	address, _ := serve(t, func(_ net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			requests.Add(1)
		}
	})
	_, err := do(t, New(), address, "body", Options{})
	var failed *Error
	require.True(t, errors.As(err, &failed))
	require.True(t, failed.Sent)
	require.EqualValues(t, 1, requests.Load())

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	nobody := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = do(t, New(), nobody, "body", Options{})
	require.True(t, errors.As(err, &failed))
	require.False(t, failed.Sent)
	require.True(t, failed.Refused)
}

// An answer that breaks off must not look whole.
func TestBrokenAnswers(t *testing.T) {
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
			got, err := do(t, New(), address, "", Options{})
			require.Error(t, err)
			require.NotErrorIs(t, err, io.EOF)
			require.Equal(t, "ok", got)
		})
	}
}

// TestResetWhileTheBodyIsWrittenIsNoEnd guards against an answer without a length that
// looks whole, since the writer of the body was told of the reset and the reader wasn't.
func TestResetWhileTheBodyIsWrittenIsNoEnd(t *testing.T) {
	address, _ := serve(t, func(nc net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\nid: 1\n\n")
		_ = nc.(*net.TCPConn).SetLinger(0)
	})
	body := strings.Repeat("x", 16<<20)
	for range 40 {
		_, err := do(t, New(), address, body, Options{})
		require.Error(t, err)
	}
}

// TestOrderlyEndOfAnEarlyAnswerIsWhole guards against the loss of a whole answer without a
// length, whose target needed no more of the request.
func TestOrderlyEndOfAnEarlyAnswerIsWhole(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	for name, after := range map[string]func(){
		"then it closes":               func() {},
		"then it doesn't read further": func() { <-done },
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(nc net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\nwhole")
				_ = nc.(*net.TCPConn).CloseWrite()
				after()
			})
			body := strings.Repeat("x", 16<<20)
			for range 40 {
				got, err := do(t, New(), address, body, Options{})
				require.NoError(t, err)
				require.Equal(t, "whole", got)
			}
		})
	}
}

// wire is a connection whose writes all end with an error.
type wire struct {
	net.Conn
	io.Reader
	writeErr error
}

func (w wire) Read(p []byte) (int, error)     { return w.Reader.Read(p) }
func (w wire) Write([]byte) (int, error)      { return 0, w.writeErr }
func (wire) SetWriteDeadline(time.Time) error { return nil }
func (wire) Close() error                     { return nil }

// TestEndByCloseNeedsASentRequest guards against an answer without a length that looks whole
// though its connection broke under the writer of the request.
func TestEndByCloseNeedsASentRequest(t *testing.T) {
	for name, c := range map[string]struct {
		head     string
		writeErr error
		whole    bool
	}{
		"reset":                     {"", syscall.ECONNRESET, false},
		"reset behind its end":      {"", syscall.EPIPE, true},
		"silence":                   {"", syscall.ETIMEDOUT, false},
		"body not taken":            {"", os.ErrDeadlineExceeded, true},
		"reset behind whole answer": {"Content-Length: 2\r\n", syscall.ECONNRESET, true},
	} {
		t.Run(name, func(t *testing.T) {
			nc := wire{Reader: strings.NewReader("HTTP/1.1 200 OK\r\n" + c.head + "\r\nok"), writeErr: c.writeErr}
			k := &conn{Conn: nc, reader: bufio.NewReader(nc)}
			request, err := http.NewRequest(http.MethodPost, "http://target/x", strings.NewReader(strings.Repeat("x", 2*smallBody)))
			require.NoError(t, err)
			reply, err := New().exchange(t.Context(), k, request, Options{})
			require.NoError(t, err)
			defer reply.Close()
			got, err := io.ReadAll(reply)
			require.Equal(t, "ok", string(got))
			require.Equal(t, c.whole, err == nil, "%v", err)
		})
	}
}

// A target answers before it has read a long body, and reads on later. The answer is
// taken; the connection, on which the rest of the body is due, carries nothing else.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	address, conns := serve(t, func(nc net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(nc, whole)
		_, _ = io.Copy(io.Discard, r)
	})
	c := New()
	for range 2 {
		got, err := do(t, c, address, strings.Repeat("x", 32<<20), Options{})
		require.NoError(t, err)
		require.Equal(t, "ok", got)
	}
	require.EqualValues(t, 2, conns.Load())
}

// A kept connection that was idle too long isn't used for what may run once at most:
// its target may close it just then.
func TestIdleConnectionIsTooOld(t *testing.T) {
	address, conns := serve(t, answerAll(whole))
	c := New()
	_, err := do(t, c, address, "", Options{})
	require.NoError(t, err)
	c.mu.Lock()
	c.idle[peerKey{address: address}][0].since = time.Now().Add(-2 * NonRepeatableMaxIdle)
	c.mu.Unlock()
	_, err = do(t, c, address, "", Options{MaxIdle: NonRepeatableMaxIdle})
	require.NoError(t, err)
	require.EqualValues(t, 2, conns.Load())
}

// A target is silent. The attempt ends with its context.
func TestSilentTarget(t *testing.T) {
	address, _ := serve(t, func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
	require.NoError(t, err)
	_, err = New().Do(ctx, address, request, Options{})
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// A target dies behind a cut link and starts again at its address. The connection that
// was kept to it looks whole, and what is sent on it is reset by the new process's
// machine: a request that may run once at most would end as one that may have run. It
// goes out on a connection of its own.
func TestKeptConnectionIsForItsProcess(t *testing.T) {
	var served atomic.Int64
	address, conns := serve(t, func(nc net.Conn, r *bufio.Reader) {
		first := served.Add(1) == 1
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if first && n > 0 {
				_ = nc.(*net.TCPConn).SetLinger(0) // closed, it is reset
				return
			}
			_, _ = io.WriteString(nc, whole)
		}
	})
	c := New()
	_, err := do(t, c, address, "", Options{Incarnation: "a@100"})
	require.NoError(t, err)
	for range 2 {
		got, err := do(t, c, address, "", Options{Incarnation: "a@200"})
		require.NoError(t, err)
		require.Equal(t, "ok", got)
	}
	require.EqualValues(t, 2, conns.Load(), "the new process's connection is kept as well")

	c.CloseIdle(func(process string) bool { return process == "a@200" })
	require.Len(t, c.idle, 1)
	require.Contains(t, c.idle, peerKey{address: address, process: "a@200"})
}

// TestConnectionsAreKeptApart guards against an answer that comes late, on a connection that
// another kind of request would share or that its reader has given up.
func TestConnectionsAreKeptApart(t *testing.T) {
	address, conns := serve(t, answerAll(whole))
	c := New()
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
