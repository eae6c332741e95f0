package relay

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// serveTarget accepts connections and serves each with the given function.
func serveTarget(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

func echo(conn net.Conn) {
	_, _ = io.Copy(conn, conn)
	_ = conn.Close()
}

func startRelay(t *testing.T, target string) *Relay {
	t.Helper()
	r, err := Start("127.0.0.1:0", target)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, r *Relay) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

func requireEcho(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Write([]byte("ping"))
	require.NoError(t, err)
	got := make([]byte, 4)
	_, err = io.ReadFull(conn, got)
	require.NoError(t, err)
	require.Equal(t, "ping", string(got))
}

// requireReset requires that a connection ends with a reset, without any bytes before it.
func requireReset(t *testing.T, conn net.Conn) {
	t.Helper()
	n, err := conn.Read(make([]byte, 1))
	require.Zero(t, n)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestForwardsBothWaysAndHalfClose(t *testing.T) {
	body := bytes.Repeat([]byte("ivyhollow "), 100_000)
	r := startRelay(t, serveTarget(t, func(conn net.Conn) {
		got, _ := io.ReadAll(conn)
		_, _ = conn.Write(got)
		_ = conn.Close()
	}))
	conn := dial(t, r)
	_, err := conn.Write(body)
	require.NoError(t, err)
	require.NoError(t, conn.CloseWrite())
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, body, got)
	require.NoError(t, r.Await(t.Context(), func(s Stats) bool { return s.Open == 0 }))
}

// As when a firewall forgets a connection: the client's writes succeed, no response arrives,
// and a new connection to the same address works.
func TestMuteSilencesOpenConnectionsOnly(t *testing.T) {
	for name, d := range map[string]Direction{"both": Both, "to target": ToTarget, "to client": ToClient} {
		t.Run(name, func(t *testing.T) {
			r := startRelay(t, serveTarget(t, echo))
			old := dial(t, r)
			requireEcho(t, old)
			r.Mute(d)
			_, err := old.Write([]byte("lost"))
			require.NoError(t, err)
			require.NoError(t, r.Await(t.Context(), func(s Stats) bool { return s.DroppedBytes == 4 }))
			requireEcho(t, dial(t, r))
			require.NoError(t, r.Restore())
			_, err = old.Write([]byte("lost"))
			require.NoError(t, err)
			require.NoError(t, r.Await(t.Context(), func(s Stats) bool { return s.DroppedBytes == 8 }))
			r.Reset()
			requireReset(t, old)
		})
	}
}

// As when a caller closes its side of a connection that the network has forgotten: the server
// never learns of it, even after it has closed its own side.
func TestMuteDropsCloses(t *testing.T) {
	conns := make(chan net.Conn, 1)
	r := startRelay(t, serveTarget(t, func(conn net.Conn) { conns <- conn }))
	client := dial(t, r)
	server := <-conns
	defer func() { _ = server.Close() }()
	r.Mute(ToTarget)
	require.NoError(t, client.CloseWrite())
	require.NoError(t, r.Await(t.Context(), func(s Stats) bool { return s.DroppedCloses == 1 }))
	require.NoError(t, server.(*net.TCPConn).CloseWrite())
	_, err := client.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, 1, r.Stats().Open)
	r.Reset()
	requireReset(t, server)
}

func TestMuteNewUntilRestore(t *testing.T) {
	r := startRelay(t, serveTarget(t, echo))
	r.MuteNew(ToClient)
	silent := dial(t, r)
	_, err := silent.Write([]byte("lost"))
	require.NoError(t, err)
	require.NoError(t, r.Await(t.Context(), func(s Stats) bool { return s.DroppedBytes == 4 }))
	require.NoError(t, r.Restore())
	requireEcho(t, dial(t, r))
}

func TestResetOpenConnectionsOnly(t *testing.T) {
	r := startRelay(t, serveTarget(t, echo))
	old := dial(t, r)
	requireEcho(t, old)
	r.Reset()
	requireReset(t, old)
	requireEcho(t, dial(t, r))
}

// The port must refuse connections, stay reserved meanwhile, and be the same afterwards.
func TestRefuseUntilRestore(t *testing.T) {
	r := startRelay(t, serveTarget(t, echo))
	old := dial(t, r)
	requireEcho(t, old)
	r.Refuse()
	_, err := net.Dial("tcp", r.Addr())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	_, err = net.Listen("tcp", r.Addr())
	require.ErrorIs(t, err, syscall.EADDRINUSE)
	requireEcho(t, old)
	require.NoError(t, r.Restore())
	require.NoError(t, r.Restore())
	requireEcho(t, dial(t, r))
}

// Prevents a truncated response from looking complete: the reset of a target that fails in the
// middle of a response must not reach the client as an orderly end.
func TestResetOfTheTargetReachesTheClient(t *testing.T) {
	r := startRelay(t, serveTarget(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1))
		reset(conn)
	}))
	conn := dial(t, r)
	_, err := conn.Write([]byte("x"))
	require.NoError(t, err)
	requireReset(t, conn)
}

// The reset races with the client's connect: it is seen there or at the first read, and never
// as an orderly end.
func TestUnreachableTargetResetsTheClient(t *testing.T) {
	down := startRelay(t, "127.0.0.1:1")
	down.Refuse()
	r := startRelay(t, down.Addr())
	conn, err := net.Dial("tcp", r.Addr())
	if err != nil {
		require.ErrorIs(t, err, syscall.ECONNRESET)
		return
	}
	defer func() { _ = conn.Close() }()
	requireReset(t, conn)
}

func TestDelayKeepsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Relay{}
		r.counters.init()
		r.Delay(ToTarget, 30*time.Millisecond)
		client, relayClient := net.Pipe()
		target, relayTarget := net.Pipe()
		l := newLink(relayClient, &r.delays, &r.counters)
		done := make(chan struct{})
		go func() {
			l.run(relayTarget)
			close(done)
		}()
		start := time.Now()
		_, _ = client.Write([]byte("a"))
		synctest.Wait() // until "a" is queued with its delay
		r.Delay(Both, 0)
		_, _ = client.Write([]byte("b"))
		got := make([]byte, 1)
		for _, want := range []string{"a", "b"} {
			_, err := target.Read(got)
			require.NoError(t, err)
			require.Equal(t, want, string(got))
			require.Equal(t, 30*time.Millisecond, time.Since(start))
		}
		l.reset()
		<-done
	})
}

func TestCloseResetsConnectionsAndFreesThePort(t *testing.T) {
	r := startRelay(t, serveTarget(t, echo))
	conn := dial(t, r)
	requireEcho(t, conn)
	r.Mute(Both)
	r.Close()
	r.Close()
	requireReset(t, conn)
	require.Equal(t, 0, r.Stats().Open)
	require.ErrorIs(t, r.Restore(), ErrClosed)
	l, err := net.Listen("tcp", r.Addr())
	require.NoError(t, err)
	require.NoError(t, l.Close())
}

func TestAdmin(t *testing.T) {
	r := startRelay(t, serveTarget(t, echo))
	admin := r.Handler()
	call := func(method, path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		admin.ServeHTTP(w, httptest.NewRequest(method, path, nil))
		return w
	}
	cases := []struct {
		path  string
		code  int
		check func()
	}{
		{"/mute?direction=to_client", http.StatusNoContent, nil},
		{"/mute-new?direction=to_target", http.StatusNoContent, func() { require.Equal(t, [ways]bool{true, false}, r.muteNew) }},
		{"/delay?by=50ms&direction=to_client", http.StatusNoContent, func() {
			require.Equal(t, int64(0), r.delays[0].Load())
			require.Equal(t, int64(50*time.Millisecond), r.delays[1].Load())
		}},
		{"/reset", http.StatusNoContent, nil},
		{"/refuse", http.StatusNoContent, func() {
			_, err := net.Dial("tcp", r.Addr())
			require.ErrorIs(t, err, syscall.ECONNREFUSED)
		}},
		{"/restore", http.StatusNoContent, func() { requireEcho(t, dial(t, r)) }},
		{"/delay?by=-1s", http.StatusBadRequest, nil},
		{"/delay", http.StatusBadRequest, nil},
		{"/mute?direction=up", http.StatusBadRequest, nil},
		{"/nothing", http.StatusNotFound, nil},
	}
	for _, c := range cases {
		w := call(http.MethodPost, c.path)
		require.Equal(t, c.code, w.Code, c.path)
		if c.check != nil {
			c.check()
		}
	}
	require.Equal(t, http.StatusMethodNotAllowed, call(http.MethodGet, "/reset").Code)
	var stats Stats
	require.NoError(t, json.NewDecoder(call(http.MethodGet, "/stats").Body).Decode(&stats))
	require.Equal(t, 1, stats.Accepted)
}
