package peer

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/protocol/peer"
)

// tunnelTarget serves connections with a script and returns its address.
func tunnelTarget(t *testing.T, script func(nc *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go script(nc.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func echoBytes(nc *net.TCPConn) {
	_, _ = io.Copy(nc, nc)
	_ = nc.Close()
}

// tunnelNodes returns two nodes, of which the second one reaches targets.
func tunnelNodes(t *testing.T, change func(*Options)) (from, through *Node) {
	from, _ = testNode(t, "a", nil)
	through, _ = testNode(t, "b", func(o *Options) {
		o.DialTarget = func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			nc, err := d.DialContext(ctx, "tcp", address)
			if errors.Is(err, syscall.ECONNREFUSED) {
				return nil, ErrRefused
			}
			return nc, err
		}
		if change != nil {
			change(o)
		}
	})
	return from, through
}

func awaitNoTunnels(t *testing.T, n *Node) {
	eventually(t, func() bool { return n.TunnelCount() == 0 }, "all tunnels are closed")
}

// A tunnel carries bytes of any length in both directions and frees its slot when it is closed.
func TestTunnelCarriesBytes(t *testing.T) {
	from, through := tunnelNodes(t, nil)
	nc, err := from.DialThrough(t.Context(), through.Addr(), tunnelTarget(t, echoBytes))
	require.NoError(t, err)
	require.Equal(t, 1, through.TunnelCount())
	text := strings.Repeat("0123456789", 20_000)
	go func() { _, _ = io.WriteString(nc, text) }()
	got := make([]byte, len(text))
	_, err = io.ReadFull(nc, got)
	require.NoError(t, err)
	require.Equal(t, text, string(got))
	require.NoError(t, nc.Close())
	awaitNoTunnels(t, through)
}

// Guards against a response that ends with its connection and looks complete though the target
// reset that connection, or the instance in between died.
func TestTunnelEndIsRegularOnlyIfTargetsEndWas(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(nc *net.TCPConn)
		kill bool
		want error
	}{
		"closed":     {func(nc *net.TCPConn) { _ = nc.Close() }, false, nil},
		"reset":      {func(nc *net.TCPConn) { _ = nc.SetLinger(0); _ = nc.Close() }, false, syscall.ECONNRESET},
		"peer ended": {nil, true, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan struct{})
			target := tunnelTarget(t, func(nc *net.TCPConn) {
				_, _ = io.WriteString(nc, "part")
				<-received
				if c.end != nil {
					c.end(nc)
				}
			})
			from, through := tunnelNodes(t, nil)
			nc, err := from.DialThrough(t.Context(), through.Addr(), target)
			require.NoError(t, err)
			defer nc.Close()
			part := make([]byte, 4)
			_, err = io.ReadFull(nc, part)
			require.NoError(t, err)
			close(received)
			if c.kill {
				through.mu.Lock()
				for tunnel := range through.conns {
					go tunnel.close(ErrClosed)
				}
				through.mu.Unlock()
			}
			rest, err := io.ReadAll(nc)
			require.Empty(t, rest)
			if c.want == nil {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, c.want)
			}
		})
	}
}

// Guards against a response that ends with its connection and looks complete though the target reset that connection while
// the request was still being written: a socket reports a reset only once, here to the write.
func TestTunnelEndIsNotRegularIfAWriteMetAReset(t *testing.T) {
	for name, end := range map[string]func(nc *net.TCPConn){
		"reset":                     func(nc *net.TCPConn) { _ = nc.SetLinger(0); _ = nc.Close() },
		"closed with unread bytes":  func(nc *net.TCPConn) { _ = nc.Close() },
		"end of the response first": func(nc *net.TCPConn) { _ = nc.CloseWrite(); _ = nc.SetLinger(0); _ = nc.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			target := tunnelTarget(t, func(nc *net.TCPConn) {
				_, _ = io.ReadFull(nc, make([]byte, 4096))
				_, _ = io.WriteString(nc, "part")
				end(nc)
			})
			from, through := tunnelNodes(t, nil)
			for range 60 {
				nc, err := from.DialThrough(t.Context(), through.Addr(), target)
				require.NoError(t, err)
				go func() { _, _ = io.WriteString(nc, strings.Repeat("x", 4<<20)) }()
				_, err = io.ReadAll(nc)
				require.ErrorIs(t, err, syscall.ECONNRESET)
				require.NoError(t, nc.Close())
			}
			awaitNoTunnels(t, through)
		})
	}
}

// Guards against a whole response that looks broken off, since its target ended it before it had read the request and then
// reads on, or not.
func TestTunnelEndIsRegularWhileTheRequestIsWritten(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	for name, after := range map[string]func(nc *net.TCPConn){
		"reads on":      func(nc *net.TCPConn) { _, _ = io.Copy(io.Discard, nc) },
		"reads no more": func(*net.TCPConn) { <-done },
	} {
		t.Run(name, func(t *testing.T) {
			target := tunnelTarget(t, func(nc *net.TCPConn) {
				_, _ = io.ReadFull(nc, make([]byte, 4096))
				defer nc.Close()
				_, _ = io.WriteString(nc, "whole")
				_ = nc.CloseWrite()
				after(nc)
			})
			from, through := tunnelNodes(t, nil)
			for range 5 {
				nc, err := from.DialThrough(t.Context(), through.Addr(), target)
				require.NoError(t, err)
				go func() { _, _ = io.WriteString(nc, strings.Repeat("x", 4<<20)) }()
				got, err := io.ReadAll(nc)
				require.NoError(t, err)
				require.Equal(t, "whole", string(got))
				require.NoError(t, nc.Close())
			}
		})
	}
}

// The dialing instance learns whether nothing listens at the target, and a stopping or busy one in
// between opens nothing.
func TestTunnelRefusals(t *testing.T) {
	closed := func() string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer listener.Close()
		return listener.Addr().String()
	}()
	from, through := tunnelNodes(t, func(o *Options) { o.MaxTunnels = 1 })
	_, err := from.DialThrough(t.Context(), through.Addr(), closed)
	require.ErrorIs(t, err, ErrRefused)
	target := tunnelTarget(t, echoBytes)
	first, err := from.DialThrough(t.Context(), through.Addr(), target)
	require.NoError(t, err, "a refused tunnel frees its slot")
	_, err = from.DialThrough(t.Context(), through.Addr(), target)
	require.ErrorIs(t, err, ErrBusy)
	require.NoError(t, first.Close())
	awaitNoTunnels(t, through)
	through.StopTunnels()
	_, err = from.DialThrough(t.Context(), through.Addr(), target)
	require.ErrorIs(t, err, ErrBusy)
	_, err = through.DialThrough(t.Context(), from.Addr(), target)
	require.ErrorIs(t, err, ErrBusy, "without DialTarget")
}

// Guards against a tunnel to an instance of the version before, which would take the bytes for
// messages between instances.
func TestNoTunnelThroughOlderVersion(t *testing.T) {
	from, _ := testNode(t, "a", nil)
	address := tunnelTarget(t, func(nc *net.TCPConn) {
		_, _ = peer.ReadFrame(nc, peer.MaxFrame)
		hello := peer.Hello{Version: peer.TunnelVersion - 1, Cluster: "c", Name: "old", Address: "x", Incarnation: 1}
		frame, _ := peer.Encode(&peer.Welcome{Hello: hello})
		_, _ = nc.Write(frame)
	})
	_, err := from.DialThrough(t.Context(), address, "127.0.0.1:1")
	require.ErrorIs(t, err, ErrVersion)
}

// A dial through an instance that doesn't respond ends with its context.
func TestTunnelDialEndsWithContext(t *testing.T) {
	from, _ := testNode(t, "a", nil)
	address := tunnelTarget(t, func(*net.TCPConn) {})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err := from.DialThrough(ctx, address, "127.0.0.1:1")
	require.Error(t, err)
	require.Error(t, ctx.Err())
}

// A tunnel between instances that use TLS carries bytes, and can't be checked for bytes that wait: it is
// never used for a second request.
func TestTunnelOverTLS(t *testing.T) {
	authority := newAuthority(t)
	withTLS := func(o *Options) { o.TLS = authority.issue(t, t.TempDir()) }
	from, _ := testNode(t, "a", withTLS)
	through, _ := testNode(t, "b", func(o *Options) {
		withTLS(o)
		o.DialTarget = func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		}
	})
	nc, err := from.DialThrough(t.Context(), through.Addr(), tunnelTarget(t, echoBytes))
	require.NoError(t, err)
	defer nc.Close()
	_, err = io.WriteString(nc, "over TLS")
	require.NoError(t, err)
	got := make([]byte, len("over TLS"))
	_, err = io.ReadFull(nc, got)
	require.NoError(t, err)
	require.Equal(t, "over TLS", string(got))
	_, err = nc.(syscall.Conn).SyscallConn()
	require.Error(t, err)
}
