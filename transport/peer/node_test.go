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

var goodHello = peer.Hello{Version: peer.Version, Cluster: "c", Name: "x", Address: "127.0.0.1:1", Incarnation: 1}

// Something that is no instance of this cluster reaches the peer port. It must
// be refused with a counted reason, and the node must go on serving.
func TestBadInputOnThePort(t *testing.T) {
	old, other, unnamed := goodHello, goodHello, goodHello
	old.Version, other.Cluster, unnamed.Name = 0, "d", ""
	long := goodHello
	long.CallerURL = strings.Repeat("x", 1000)
	hello := wire(t, &goodHello)
	after := func(b ...byte) []byte { return slices.Concat(hello, b) }
	cases := []struct {
		name  string
		input []byte
		// end closes our side after the input; else the node must end it.
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
		{"another message first", wire(t, &peer.Request{ID: 1}), false, -1, "invalid"},
		{"a second Hello", after(hello...), false, peer.CodeOK, ""},
		{"older version", wire(t, &old), false, peer.CodeVersion, "version"},
		{"another cluster", wire(t, &other), false, peer.CodeCluster, "cluster"},
		{"no name", wire(t, &unnamed), false, peer.CodeInvalid, "invalid"},
		{"a long field", wire(t, &long), false, peer.CodeInvalid, "invalid"},
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
			_, _ = io.Copy(io.Discard, nc) // until the node has closed it
			require.NoError(t, nc.Close())
			if c.reason != "" {
				eventually(t, func() bool { return count(scope, "refused", "reason="+c.reason) == 1 }, "refusal is counted")
			}
			client, _ := testNode(t, "b", nil)
			answer, err := client.Call(t.Context(), n.Addr(), "echo", []byte("hi"))
			require.NoError(t, err)
			require.Equal(t, "b:hi", string(answer))
		})
	}
}

// A peer speaks a message type of a later version. The older one must ignore
// it and read on.
func TestUnknownTypesAreIgnored(t *testing.T) {
	n, scope := testNode(t, "a", nil, echo)
	nc, err := net.Dial("tcp", n.Addr())
	require.NoError(t, err)
	defer nc.Close()
	input := append(wire(t, &goodHello), 0, 0, 0, 2, 200, 0xc0)
	_, err = nc.Write(append(input, wire(t, &peer.Request{ID: 4, Method: "echo"})...))
	require.NoError(t, err)
	require.Equal(t, peer.CodeOK, readWelcome(t, nc).Code)
	body, err := peer.ReadFrame(nc, peer.MaxFrame)
	require.NoError(t, err)
	m, err := peer.Decode(body)
	require.NoError(t, err)
	require.Equal(t, &peer.Response{ID: 4, Body: []byte("x:")}, m)
	require.Equal(t, int64(1), count(scope, "unknown"))
}

// boundAddress returns an address at which nobody listens and that no other process
// can take meanwhile, as the port of a closed listener could be.
func boundAddress(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

// An error must tell the caller of a call whether it may have run, and name
// the step and the peer.
func TestCallErrors(t *testing.T) {
	release := make(chan struct{})
	server, _ := testNode(t, "a", func(o *Options) { o.MaxHandlers = 1 }, echo, func(n *Node) {
		n.Handle("fail", func(context.Context, Peer, []byte) ([]byte, error) { return nil, errors.New("no luck") })
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
	eventually(t, func() bool { return len(server.handlers) == 1 }, "handler runs")
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
		{name: "nobody listens", address: boundAddress(t), method: "echo", step: StepDial, notRun: true},
		{name: "beyond loopback", address: "10.1.2.3:4", method: "echo", cause: ErrCleartext, step: StepDial, notRun: true},
		{name: "another cluster", address: foreign.Addr(), method: "echo", cause: ErrCluster, step: StepHandshake, notRun: true},
		{name: "no such method", address: server.Addr(), method: "none", cause: ErrNoMethod, step: StepCall, notRun: true},
		// What a cancelled call sent is refused before the next call is, and so can't
		// take the place of a later one.
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
				eventually(t, func() bool { return len(server.handlers) == 0 }, "handler ended")
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

// A connection between two instances goes silent: it stays open, writes
// succeed, nothing arrives any more. New connections work. A caller would wait
// in vain; instead the heartbeat is missed, and an idempotent call is made
// again on a new connection, while any other ends with an unknown outcome.
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
	relay := newMuteRelay(t, server.Addr())
	client, scope := testNode(t, "b", nil, func(n *Node) { n.Handle("twice", nil, Idempotent()) })
	_, err := client.Call(t.Context(), relay.addr(), "twice", nil)
	require.NoError(t, err)

	relay.mute()
	answer, err := client.Call(t.Context(), relay.addr(), "twice", nil)
	require.NoError(t, err)
	require.Equal(t, "ok", string(answer))
	require.Equal(t, int64(1), count(scope, "silent_connections"))

	relay.mute()
	_, err = client.Call(t.Context(), relay.addr(), "once", nil)
	require.ErrorIs(t, err, ErrSilent)
	var e *Error
	require.ErrorAs(t, err, &e)
	require.False(t, e.NotRun, "it may have run")
	require.Len(t, runs, 2, "the mute connections delivered nothing")

	// Callers with little patience never wait for a heartbeat; the silent
	// connection must be found all the same, after one call and under many.
	impatient := func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err := client.Call(ctx, relay.addr(), "once", nil)
		return err == nil
	}
	_, err = client.Call(t.Context(), relay.addr(), "once", nil)
	require.NoError(t, err)
	relay.mute()
	require.False(t, impatient())
	eventually(t, func() bool { return count(scope, "silent_connections") == 3 }, "found after one call")
	_, err = client.Call(t.Context(), relay.addr(), "once", nil)
	require.NoError(t, err)
	relay.mute()
	eventually(t, impatient, "the silent connection is replaced")
}

// A peer stops reading. What it does not take must not pile up here: the
// oldest gossip gives way, calls are refused, and the write deadline ends the
// connection.
func TestQueueIsBounded(t *testing.T) {
	q := queue{maxFrames: 3, maxBytes: 10}
	require.True(t, q.push([]byte("ask")))
	require.Zero(t, q.pushGossip([]byte("g1")))
	require.Zero(t, q.pushGossip([]byte("g2")))
	require.Equal(t, 1, q.pushGossip([]byte("g3")), "the oldest gossip goes")
	require.False(t, q.push([]byte("ask")), "calls are refused")
	require.Equal(t, 3, q.pushGossip([]byte("12345678")), "no room at all: the new one goes too")
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
	_, err = nc.Write(wire(t, &goodHello))
	require.NoError(t, err)
	eventually(t, func() bool { return len(n.established()) == 1 }, "connected")
	c := n.established()[0]
	for !c.isClosed() {
		_ = c.post(&peer.Request{Body: make([]byte, 512<<10)})
	}
	require.ErrorContains(t, context.Cause(c.ctx), "write")
}

// A process floods the port with connections. The number that is served is
// bounded, idle ones are closed, and a restarted peer's link is replaced.
func TestConnectionsAreBounded(t *testing.T) {
	server, scope := testNode(t, "a", func(o *Options) {
		o.MaxConns = 2
		o.IdleClose = 30 * time.Millisecond
	}, echo)
	for range 3 {
		nc, err := net.Dial("tcp", server.Addr())
		require.NoError(t, err)
		defer nc.Close()
		_, err = nc.Write(wire(t, &goodHello))
		require.NoError(t, err)
	}
	eventually(t, func() bool { return count(scope, "refused", "reason=busy") == 1 }, "third one refused")
	eventually(t, func() bool { return server.Stats().Conns == 0 }, "idle ones closed")
}

// TestFleetReachesOneInstance guards against refused peers in fleets of several hundred:
// each instance that the holder of a duty refuses asks another one.
func TestFleetReachesOneInstance(t *testing.T) {
	const peers = 440
	server, scope := testNode(t, "holder", nil, echo)
	welcomed := 0
	for i := range peers {
		hello := goodHello
		hello.Name, hello.Address = fmt.Sprint("peer-", i), fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250+1)
		nc, err := net.Dial("tcp", server.Addr())
		require.NoError(t, err)
		defer nc.Close()
		_, err = nc.Write(wire(t, &hello))
		require.NoError(t, err)
		if _, err := peer.ReadFrame(nc, peer.MaxHandshakeFrame); err == nil {
			welcomed++
		}
	}
	require.Equal(t, peers, welcomed)
	require.Zero(t, count(scope, "refused"))
}

// An instance is started anew at its address. Messages to that address must
// not go on into the connection of the earlier run.
func TestNewRunReplacesTheLink(t *testing.T) {
	n, _ := testNode(t, "a", nil)
	dial := func(incarnation uint64) net.Conn {
		hello := goodHello
		hello.Incarnation = incarnation
		nc, err := net.Dial("tcp", n.Addr())
		require.NoError(t, err)
		_, err = nc.Write(wire(t, &hello))
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
	require.NoError(t, n.Send(t.Context(), goodHello.Address, &membership.SyncRequest{After: "q"}))
	body, err := peer.ReadFrame(next, peer.MaxFrame)
	require.NoError(t, err)
	m, err := peer.Decode(body)
	require.NoError(t, err)
	require.Equal(t, &membership.SyncRequest{After: "q"}, m)
}

// Settings without certificates name an address that others can reach: whoever
// connects could read and forge what instances tell one another.
func TestCleartextOnLoopbackOnly(t *testing.T) {
	for _, listen := range []string{"0.0.0.0:0", "10.0.0.1:1", "[::]:0", "example.org:1", ""} {
		_, err := New(Options{Cluster: "c", Listen: listen, Self: membership.Member{Name: "a", Incarnation: 1}})
		require.Error(t, err, listen)
	}
}

// Whoever has no certificate of the CA must not become a peer, from either
// end; a certificate that is replaced on disk is used without a restart.
func TestMutualTLS(t *testing.T) {
	ca, otherCA := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	files := ca.issue(t, dir)
	secure := func(f *Files) func(*Options) { return func(o *Options) { o.TLS = f } }
	server, scope := testNode(t, "a", secure(files), echo)
	good, _ := testNode(t, "b", secure(ca.issue(t, t.TempDir())))
	for range 2 {
		answer, err := good.Call(t.Context(), server.Addr(), "echo", []byte("hi"))
		require.NoError(t, err)
		require.Equal(t, "b:hi", string(answer))
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
	stranger, _ := testNode(t, "d", secure(otherCA.issue(t, t.TempDir())))
	refused(stranger)
	// This one trusts the server, so that the server alone has to refuse it.
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

	// The CA changes. Files that do not fit together are left alone; once they
	// fit, old certificates are refused, on resumed sessions too.
	require.NoError(t, os.WriteFile(filepath.Join(dir, "key.pem"), []byte("half written"), 0o600))
	_, err = server.creds.reload()
	require.Error(t, err)
	otherCA.issue(t, dir)
	eventually(t, func() bool {
		return server.creds.current.Load().roots.Equal(mustRead(t, *f, otherCA.file).roots)
	}, "files are re-read")
	again, _ := testNode(t, "f", secure(otherCA.issue(t, t.TempDir())))
	_, err = again.Call(t.Context(), server.Addr(), "echo", nil)
	require.NoError(t, err)
	for _, c := range good.established() {
		c.close(ErrConnLost)
	}
	refused(good)
}

func mustRead(t *testing.T, f Files, ca string) *material {
	f.CA = ca
	m, err := f.read()
	require.NoError(t, err)
	return m
}
