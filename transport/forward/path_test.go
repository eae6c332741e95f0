package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// peerDetour is a detour that always works.
type peerDetour struct{}

func (peerDetour) Dial(ctx context.Context, address string) (net.Conn, string, error) {
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	return nc, "peer", err
}

func (peerDetour) Usable(string) bool { return true }

// Guards against answers of targets that paused, and go on at the same time as others, that are given up
// because another instance received an answer first.
func TestAttemptEndsOnlyIfItsPathStaysLost(t *testing.T) {
	const wakes = 2500 * time.Millisecond
	for name, c := range map[string]struct {
		responds time.Duration
		ends     bool
	}{
		"target goes on":  {responds: wakes + 50*time.Millisecond},
		"path stays lost": {responds: time.Minute, ends: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			serve := func(after time.Duration) string {
				s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					select {
					case <-time.After(time.Until(start.Add(after))):
					case <-r.Context().Done():
					}
				}))
				t.Cleanup(s.Close)
				return s.Listener.Addr().String()
			}
			client := New(ClientOptions{Detour: peerDetour{}})
			go func() { _ = client.Run(t.Context()) }()
			do := func(address string) error {
				request, err := http.NewRequest(http.MethodPost, "http://"+address+"/", nil)
				require.NoError(t, err)
				reply, err := client.Do(t.Context(), address, request, Options{Service: "s", EndIfLost: true})
				if err == nil {
					reply.Close()
				}
				return err
			}
			paused, other := serve(c.responds), serve(wakes)
			result := make(chan error, 1)
			go func() { result <- do(paused) }()
			time.Sleep(wakes - 100*time.Millisecond)
			require.NoError(t, do(other), "through another instance")
			err := <-result
			if !c.ends {
				require.NoError(t, err)
				return
			}
			require.True(t, errors.Is(err, ErrPathLost), "%v", err)
			require.Less(t, time.Since(start), wakes+time.Second)
		})
	}
}

// Guards against a tunnel that stays open idle because the direct path comes back just as its request
// ends: between the check of the way and the addition to the idle connections.
func TestTunnelOfEndedRequestClosesAsPathComesBack(t *testing.T) {
	client := New(ClientOptions{Detour: peerDetour{}})
	for _, address := range []string{"a", "b"} {
		client.recordDetour(idleKey{address: address}, "s")
	}
	require.True(t, client.PathLost("s"))
	tunnel, _ := net.Pipe()
	k := client.newConn(dialed{nc: tunnel, through: "peer"}, idleKey{address: "a"}, "s")
	client.pathMu.Lock()
	put := make(chan struct{})
	go func() {
		defer close(put)
		client.putIdle(k)
	}()
	assert.Eventually(t, func() bool {
		free := client.mu.TryLock()
		if free {
			client.mu.Unlock()
		}
		return !free
	}, 10*time.Second, time.Millisecond, "the way is checked before the idle connections are locked")
	client.paths.Received(time.Now(), "s", time.Now())
	changes := client.paths.TakeChanges()
	client.pathMu.Unlock()
	require.Len(t, changes, 1)
	client.applyChange(changes[0])
	<-put
	require.Empty(t, client.idle)
	_, err := tunnel.Write([]byte{1})
	require.ErrorIs(t, err, io.ErrClosedPipe)
}

// Guards against a target that stops reading a long request, whose path is taken for one that doesn't
// answer: its host acknowledges what it accepts.
func TestUnsentBytesAreNotUnacknowledged(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	nc, err := Dial(t.Context(), listener.Addr().String())
	require.NoError(t, err)
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = nc.Write(make([]byte, 64<<20)) // ends when the connection is closed
	}()
	require.Eventually(t, func() bool {
		unacked, unsent := sendQueue(nc)
		return unsent > 0 && unacked == 0 && !hasUnackedBytes(nc)
	}, 2*time.Second, time.Millisecond)
	require.NoError(t, nc.Close())
	<-written
}
