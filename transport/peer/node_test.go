package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/protocol/peer"
)

func echo(n *Node) {
	n.Handle("echo", func(_ context.Context, from Peer, body []byte) ([]byte, error) {
		return append([]byte(from.Name+":"), body...), nil
	}, Idempotent())
}

var validHello = peer.Hello{Version: peer.Version, Cluster: "c", Name: "x", Address: "127.0.0.1:1", Incarnation: 1}

// A client that is not an instance of this cluster connects to the peer port. It
// must be refused, the reason must be counted, and the node must continue to serve.
func TestInvalidInputIsRefused(t *testing.T) {
	old, other, unnamed := validHello, validHello, validHello
	old.Version, other.Cluster, unnamed.Name = 0, "d", ""
	long := validHello
	long.CallerURL = strings.Repeat("x", 1000)
	hello := encode(t, &validHello)
	after := func(b ...byte) []byte { return slices.Concat(hello, b) }
	cases := []struct {
		name  string
		input []byte
		// end closes the client's side after the input; otherwise the node must
		// close the connection.
		end    bool
		code   peer.Code
		reason string
	}{
		{"binary noise", []byte{0xff, 0x13, 0x37, 0xaa, 0xbb, 0xcc}, false, -1, "frame_size"},
		{"noise within the limit", append([]byte{0, 0, 0, 4, byte(peer.TypeHello)}, 0xc1, 0xc1, 0xc1), false, -1, "malformed"},
		{"oversized before the handshake", []byte{0, 0, 0x20, 0, 1}, false, -1, "frame_size"},
		{"oversized after it", after(0x7f, 0, 0, 0), false, peer.CodeOK, "frame_size"},
		{"malformed after it", after(0, 0, 0, 2, byte(peer.TypePing), 0xc1), false, peer.CodeOK, "malformed"},
		{"truncated before it", hello[:9], true, -1, "cut_short"},
		{"truncated after it", after(0, 0, 0, 9, byte(peer.TypePing)), true, peer.CodeOK, "cut_short"},
		{"slow before it", hello[:3], false, -1, "timeout"},
		{"slow after it", after(0, 0, 0, 9, byte(peer.TypePing)), false, peer.CodeOK, "timeout"},
		{"silent from the start", nil, false, -1, "timeout"},
		{"another message first", encode(t, &peer.Request{ID: 1}), false, -1, "invalid"},
		{"a second Hello", after(hello...), false, peer.CodeOK, ""},
		{"older version", encode(t, &old), false, peer.CodeVersion, "version"},
		{"another cluster", encode(t, &other), false, peer.CodeCluster, "cluster"},
		{"no name", encode(t, &unnamed), false, peer.CodeInvalid, "invalid"},
		{"a long field", encode(t, &long), false, peer.CodeInvalid, "invalid"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n, scope := testNode(t, "a", func(o *Options) {
				o.HandshakeTimeout = 400 * time.Millisecond
				o.FrameTimeout = 400 * time.Millisecond
				o.HeartbeatBusy, o.HeartbeatTimeout = time.Minute, time.Minute
			}, echo)
			nc, err := net.Dial("tcp", n.Addr())
			require.NoError(t, err)
			_, err = nc.Write(c.input)
			require.NoError(t, err)
			if c.end {
				require.NoError(t, nc.(*net.TCPConn).CloseWrite())
			}
			if c.code >= 0 {
				welcome := readWelcome(t, nc)
				require.Equal(t, c.code, welcome.Code)
				require.Equal(t, c.code != peer.CodeOK, welcome.Reason != "")
			}
			_, _ = io.Copy(io.Discard, nc) // until the node closes the connection
			require.NoError(t, nc.Close())
			if c.reason != "" {
				eventually(t, func() bool { return count(scope, "refused", "reason="+c.reason) == 1 }, "refusal is counted")
			}
			client, _ := testNode(t, "b", nil)
			response, err := client.Call(t.Context(), n.Addr(), "echo", []byte("hi"))
			require.NoError(t, err)
			require.Equal(t, "b:hi", string(response))
		})
	}
}

// A peer sends a message type of a later version. The node must ignore it and
// continue to read.
func TestUnknownTypesAreIgnored(t *testing.T) {
	n, scope := testNode(t, "a", nil, echo)
	nc, err := net.Dial("tcp", n.Addr())
	require.NoError(t, err)
	defer nc.Close()
	input := append(encode(t, &validHello), 0, 0, 0, 2, 200, 0xc0)
	_, err = nc.Write(append(input, encode(t, &peer.Request{ID: 4, Method: "echo"})...))
	require.NoError(t, err)
	require.Equal(t, peer.CodeOK, readWelcome(t, nc).Code)
	body, err := peer.ReadFrame(nc, peer.MaxFrame)
	require.NoError(t, err)
	m, err := peer.Decode(body)
	require.NoError(t, err)
	require.Equal(t, &peer.Response{ID: 4, Body: []byte("x:")}, m)
	require.Equal(t, int64(1), count(scope, "unknown"))
}

// refusingAddress returns an address at which nobody listens. The port stays bound,
// so that no other process can use it, unlike the port of a closed listener.
func refusingAddress(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

// The error of a call must report whether the method may have run, and name the
// step and the peer.
func TestCallErrors(t *testing.T) {
	release := make(chan struct{})
	server, _ := testNode(t, "a", func(o *Options) { o.MaxHandlers = 1 }, echo, func(n *Node) {
		n.Handle("fail", func(context.Context, Peer, []byte) ([]byte, error) { return nil, errors.New("handler error") })
		n.Handle("large", func(context.Context, Peer, []byte) ([]byte, error) { return make([]byte, peer.MaxFrame), nil })
		n.Handle("wait", func(ctx context.Context, _ Peer, _ []byte) ([]byte, error) {
			<-release
			return nil, ctx.Err()
		})
	})
	client, _ := testNode(t, "b", nil)
	foreign, _ := testNode(t, "c", func(o *Options) { o.Cluster = "d" })
	occupied := make(chan struct{})
	go func() {
		defer close(occupied)
		_, _ = client.Call(context.Background(), server.Addr(), "wait", nil)
	}()
	eventually(t, func() bool { return len(server.handlerSlots) == 1 }, "handler runs")
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	cases := []struct {
		name, address, method string
		ctx                   context.Context
		body                  []byte
		cause                 error
		step                  Step
		notRun                bool
		free                  bool
	}{
		{name: "nobody listens", address: refusingAddress(t), method: "echo", step: StepDial, notRun: true},
		{name: "beyond loopback", address: "10.1.2.3:4", method: "echo", cause: ErrCleartext, step: StepDial, notRun: true},
		{name: "another cluster", address: foreign.Addr(), method: "echo", cause: ErrCluster, step: StepHandshake, notRun: true},
		{name: "no such method", address: server.Addr(), method: "none", cause: ErrNoMethod, step: StepCall, notRun: true},
		// The request of the cancelled call is refused before that of the next call,
		// so it cannot occupy the handler slot of a later one.
		{name: "cancelled", address: server.Addr(), method: "echo", ctx: cancelled, cause: context.Canceled, step: StepCall},
		{name: "too many handlers", address: server.Addr(), method: "echo", cause: ErrBusy, step: StepCall, notRun: true},
		{name: "request too large", address: server.Addr(), method: "echo", body: make([]byte, peer.MaxFrame), cause: peer.ErrFrameSize, step: StepCall, notRun: true},
		{name: "handler fails", address: server.Addr(), method: "fail", cause: ErrHandler, step: StepCall, free: true},
		{name: "answer too large", address: server.Addr(), method: "large", cause: ErrHandler, step: StepCall, free: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.free && release != nil {
				close(release)
				<-occupied
				release = nil
				eventually(t, func() bool { return len(server.handlerSlots) == 0 }, "handler ended")
			}
			ctx := t.Context()
			if c.ctx != nil {
				ctx = c.ctx
			}
			_, err := client.Call(ctx, c.address, c.method, c.body)
			var e *Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, c.step, e.Step)
			require.Equal(t, c.address, e.Peer)
			require.Equal(t, c.notRun, e.NotRun)
			if c.cause != nil {
				require.ErrorIs(t, err, c.cause)
			}
		})
	}
}

// A connection between two instances goes silent: it stays open and writes
// succeed, but nothing arrives any more, while new connections work. Without
// heartbeats a call would wait until its deadline. With them, an idempotent call is
// retried on a new connection, and any other call ends with an unknown outcome.
func TestSilentConnection(t *testing.T) {
	runs := make(chan string, 8)
	server, _ := testNode(t, "a", nil, func(n *Node) {
		for _, name := range []string{"twice", "once"} {
			n.Handle(name, func(context.Context, Peer, []byte) ([]byte, error) {
				runs <- name
				return []byte("ok"), nil
			})
		}
	})
	proxy := newBlackholeProxy(t, server.Addr())
	client, scope := testNode(t, "b", nil, func(n *Node) { n.Handle("twice", nil, Idempotent()) })
	_, err := client.Call(t.Context(), proxy.address(), "twice", nil)
	require.NoError(t, err)

	proxy.blackhole()
	response, err := client.Call(t.Context(), proxy.address(), "twice", nil)
	require.NoError(t, err)
	require.Equal(t, "ok", string(response))
	require.Equal(t, int64(1), count(scope, "silent_connections"))

	proxy.blackhole()
	_, err = client.Call(t.Context(), proxy.address(), "once", nil)
	require.ErrorIs(t, err, ErrSilent)
	var e *Error
	require.ErrorAs(t, err, &e)
	require.False(t, e.NotRun, "it may have run")
	require.Len(t, runs, 2, "the silent connections delivered nothing")

	// Calls with short deadlines end before a heartbeat is sent. The silent
	// connection must be found all the same, after one such call and under many.
	shortCall := func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err := client.Call(ctx, proxy.address(), "once", nil)
		return err == nil
	}
	_, err = client.Call(t.Context(), proxy.address(), "once", nil)
	require.NoError(t, err)
	proxy.blackhole()
	require.False(t, shortCall())
	eventually(t, func() bool { return count(scope, "silent_connections") == 3 }, "found after one call")
	_, err = client.Call(t.Context(), proxy.address(), "once", nil)
	require.NoError(t, err)
	proxy.blackhole()
	eventually(t, shortCall, "the silent connection is replaced")
}

// A peer stops reading. The frames for it must not accumulate without limit: the
// oldest droppable ones are dropped, calls are refused, and the write deadline ends
// the connection.
func TestQueueIsBounded(t *testing.T) {
	q := queue{maxFrames: 3, maxBytes: 10}
	require.True(t, q.push([]byte("ask")))
	require.Zero(t, q.pushDroppable([]byte("g1")))
	require.Zero(t, q.pushDroppable([]byte("g2")))
	require.Equal(t, 1, q.pushDroppable([]byte("g3")), "the oldest droppable frame is dropped")
	require.False(t, q.push([]byte("ask")), "calls are refused")
	require.Equal(t, 3, q.pushDroppable([]byte("12345678")), "larger than the queue: the new one is dropped too")
	for _, want := range []string{"ask"} {
		got, ok := q.pop()
		require.True(t, ok)
		require.Equal(t, want, string(got))
	}
	_, ok := q.pop()
	require.False(t, ok)

	n, _ := testNode(t, "a", func(o *Options) { o.WriteTimeout = 20 * time.Millisecond })
	nc, err := net.Dial("tcp", n.Addr())
	require.NoError(t, err)
	defer nc.Close()
	_, err = nc.Write(encode(t, &validHello))
	require.NoError(t, err)
	eventually(t, func() bool { return len(n.established()) == 1 }, "connected")
	c := n.established()[0]
	for !c.isClosed() {
		_ = c.enqueueDroppable(&peer.Request{Body: make([]byte, 512<<10)})
	}
	require.ErrorContains(t, context.Cause(c.ctx), "write")
}

// A process opens many connections. Their number must be bounded, and idle ones
// must be closed.
func TestConnectionsAreBounded(t *testing.T) {
	server, scope := testNode(t, "a", func(o *Options) {
		o.MaxConns = 2
		o.IdleTimeout = 30 * time.Millisecond
	}, echo)
	for range 3 {
		nc, err := net.Dial("tcp", server.Addr())
		require.NoError(t, err)
		defer nc.Close()
		_, err = nc.Write(encode(t, &validHello))
		require.NoError(t, err)
	}
	eventually(t, func() bool { return count(scope, "refused", "reason=busy") == 1 }, "third one refused")
	eventually(t, func() bool { return server.Stats().Conns == 0 }, "idle ones closed")
}

// An instance must accept a connection from each of several hundred others: all of
// them call the holder of a fleet-wide role, and an instance that the holder refuses
// calls another instance instead.
func TestInstanceAcceptsConnectionsOfTheFleet(t *testing.T) {
	const peers = 440
	server, scope := testNode(t, "holder", nil, echo)
	accepted := 0
	for i := range peers {
		hello := validHello
		hello.Name, hello.Address = fmt.Sprint("peer-", i), fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250+1)
		nc, err := net.Dial("tcp", server.Addr())
		require.NoError(t, err)
		defer nc.Close()
		_, err = nc.Write(encode(t, &hello))
		require.NoError(t, err)
		if _, err := peer.ReadFrame(nc, peer.MaxHandshakeFrame); err == nil {
			accepted++
		}
	}
	require.Equal(t, peers, accepted)
	require.Zero(t, count(scope, "refused"))
}

// An instance restarts at the same address. Messages to that address must not be
// sent on the connection to its earlier incarnation.
func TestNewIncarnationReplacesTheConnection(t *testing.T) {
	n, _ := testNode(t, "a", nil)
	dial := func(incarnation uint64) net.Conn {
		hello := validHello
		hello.Incarnation = incarnation
		nc, err := net.Dial("tcp", n.Addr())
		require.NoError(t, err)
		_, err = nc.Write(encode(t, &hello))
		require.NoError(t, err)
		readWelcome(t, nc)
		return nc
	}
	old := dial(1)
	defer old.Close()
	eventually(t, func() bool { return len(n.established()) == 1 }, "connected")
	next := dial(2)
	defer next.Close()
	_, err := io.Copy(io.Discard, old)
	require.NoError(t, err, "the old connection is closed")
	require.NoError(t, n.Send(t.Context(), validHello.Address, &membership.SyncRequest{After: "q"}))
	body, err := peer.ReadFrame(next, peer.MaxFrame)
	require.NoError(t, err)
	m, err := peer.Decode(body)
	require.NoError(t, err)
	require.Equal(t, &membership.SyncRequest{After: "q"}, m)
}

// Settings without certificates name an address beyond loopback. They must be
// refused: others could read and forge the messages between instances.
func TestCleartextOnLoopbackOnly(t *testing.T) {
	for _, listen := range []string{"0.0.0.0:0", "10.0.0.1:1", "[::]:0", "example.org:1", ""} {
		_, err := New(Options{Cluster: "c", Listen: listen, Self: membership.Member{Name: "a", Incarnation: 1}})
		require.Error(t, err, listen)
	}
}

// A process without a certificate of the CA must not be accepted as a peer, neither
// as client nor as server. Certificates that are replaced on disk must be used
// without a restart.
func TestMutualTLS(t *testing.T) {
	ca, otherCA := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	files := ca.issue(t, dir)
	secure := func(f *TLSFiles) func(*Options) { return func(o *Options) { o.TLS = f } }
	server, scope := testNode(t, "a", secure(files), echo)
	good, _ := testNode(t, "b", secure(ca.issue(t, t.TempDir())))
	for range 2 {
		response, err := good.Call(t.Context(), server.Addr(), "echo", []byte("hi"))
		require.NoError(t, err)
		require.Equal(t, "b:hi", string(response))
	}

	refused := func(client *Node) {
		t.Helper()
		_, err := client.Call(t.Context(), server.Addr(), "echo", nil)
		var e *Error
		require.ErrorAs(t, err, &e)
		require.True(t, e.NotRun)
	}
	cleartext, _ := testNode(t, "c", nil)
	refused(cleartext)
	otherAuthority, _ := testNode(t, "d", secure(otherCA.issue(t, t.TempDir())))
	refused(otherAuthority)
	// This client trusts the server, so that only the server can refuse it.
	f := otherCA.issue(t, t.TempDir())
	f.CA = ca.file
	trusting, _ := testNode(t, "e", secure(f), echo)
	refused(trusting)
	_, err := good.Call(t.Context(), trusting.Addr(), "echo", nil)
	require.ErrorContains(t, err, "unknown authority", "an impostor as the server")
	nc, err := tls.Dial("tcp", server.Addr(), &tls.Config{InsecureSkipVerify: true})
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, nc)
	require.Error(t, err, "no certificate")
	require.NoError(t, nc.Close())
	eventually(t, func() bool { return count(scope, "refused", "reason=tls") >= 4 }, "refusals are counted")

	// The CA changes. Files that do not match are not used. Once they match, old
	// certificates are refused, on resumed sessions too.
	require.NoError(t, os.WriteFile(filepath.Join(dir, "key.pem"), []byte("half written"), 0o600))
	_, err = server.creds.reload()
	require.Error(t, err)
	otherCA.issue(t, dir)
	eventually(t, func() bool {
		return server.creds.current.Load().roots.Equal(mustRead(t, *f, otherCA.file).roots)
	}, "files are re-read")
	renewed, _ := testNode(t, "f", secure(otherCA.issue(t, t.TempDir())))
	_, err = renewed.Call(t.Context(), server.Addr(), "echo", nil)
	require.NoError(t, err)
	for _, c := range good.established() {
		c.close(ErrConnLost)
	}
	refused(good)
}

func mustRead(t *testing.T, f TLSFiles, ca string) *loadedTLSFiles {
	f.CA = ca
	m, err := f.load()
	require.NoError(t, err)
	return m
}
