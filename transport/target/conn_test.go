package target_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	emulator "github.com/ivyhollow/ivyhollow/emulator/target"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
	"github.com/ivyhollow/ivyhollow/transport/target"
)

// fragileConn drops sent and received bytes once silent is closed, and doesn't close the
// connection to the other end any more.
type fragileConn struct {
	net.Conn
	silent <-chan struct{}
	once   sync.Once
	closed chan struct{}
}

func (c *fragileConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *fragileConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *fragileConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *fragileConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	if c.isSilent() {
		return c.SetReadDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}

// faultyConn fails each write from the second one on, after passes bytes.
type faultyConn struct {
	net.Conn
	writes, passes int
}

func (c *faultyConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes == 1 {
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:c.passes])
	return n, errors.New("broken pipe")
}

// An idle connection fails just as a call is assigned to it. If no byte was written, the
// stage can be sent to another target at once; if one was, the target may have received
// the call, and "not run" could be false.
func TestOutcomeDependsOnBytesWritten(t *testing.T) {
	for passes, outcome := range map[int]target.Outcome{0: target.NotRun, 1: target.Unknown} {
		inBubble(t, engine(), func(r *rig) {
			r.client = target.New(clientOptions(func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := r.net.Dial(ctx, network, address)
				return &faultyConn{Conn: conn, passes: passes}, err
			}))
			_, err := r.run(attempt("first"), false)
			require.NoError(r, err)
			_, err = r.run(attempt("second"), false)
			requireFailure(r, err, outcome, target.ReasonReset)
			require.Zero(r, r.target.Runs()["r-second"])
		})
	}
}

// Prevents net/http from running a stage twice: a target accepts a call on a reused
// connection, starts the work and crashes. net/http resends a request in that case if it
// regards it as repeatable.
func TestNoSecondSendOnReusedConnection(t *testing.T) {
	calls := 0
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != targetapi.PathRun {
			return
		}
		_, _ = io.ReadAll(r.Body)
		if calls++; calls > 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(targetapi.HeaderAttempt, "a-x")
		_, _ = w.Write([]byte(`{"attempt_id":"a-x"}`))
	}
	inBubbleWithHandler(t, handler, func(r *rig) {
		_, _, err := r.client.Run(r.Context(), attempt("x"))
		require.NoError(r, err)
		_, _, err = r.client.Run(r.Context(), attempt("x"))
		requireFailure(r, err, target.Unknown, target.ReasonReset)
		synctest.Wait()
		require.Equal(r, 2, calls, "the call was sent twice")
	})
}

// A target's host is unreachable and doesn't respond to a dial. The wait must end with
// the connect timeout, with outcome NotRun.
func TestConnectTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := target.New(clientOptions(func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}))
		defer client.Close()
		began := time.Now()
		_, _, err := client.Run(t.Context(), attempt("x"))
		requireFailure(t, err, target.NotRun, target.ReasonTimeout)
		require.Equal(t, target.DefaultConnectTimeout, time.Since(began))
	})
}

// After a burst that opened many connections, the idle ones must be bounded.
func TestIdleConnectionsAreBounded(t *testing.T) {
	options := engine()
	options.Slots = 8
	inBubble(t, options, func(r *rig) {
		bounded := clientOptions(r.net.Dial)
		bounded.IdlePerTarget = 3
		r.client = target.New(bounded)
		fill(r, nil)
		for range 6 {
			go func() { _, _, _ = r.client.Run(r.Context(), attempt("x")) }()
		}
		<-time.After(silenceTimeout)
		synctest.Wait()
		require.EqualValues(r, 3, r.net.open.Load())
		r.client.Close()
		synctest.Wait()
		require.Zero(r, r.net.open.Load())
	})
}

// A caller processes tokens slowly, and an engine reads a long prompt. Neither makes the
// target silent: the timeout bounds the wait for bytes, not the time between them, and
// keep-alive comments count as bytes.
func TestSlowIsNotSilent(t *testing.T) {
	options := engine()
	options.CallTime = 3 * silenceTimeout
	options.KeepAlive = silenceTimeout / 2
	inBubble(t, options, func(r *rig) {
		received := 0
		_, _, err := r.client.Stream(r.Context(), attempt("x"), func(int, string) error {
			received++
			<-time.After(2 * silenceTimeout)
			return nil
		})
		require.NoError(r, err)
		require.Equal(r, maxTokens, received)
		require.EqualValues(r, 1, r.net.dials.Load())
		_, err = r.run(attempt("y"), true)
		require.NoError(r, err)
		require.EqualValues(r, 1, r.net.dials.Load(), "the connection of a complete stream was not reused")
	})
}

// A caller that disconnects in the middle of a stream ends the attempt at once, and the
// attempt is cancelled on the target.
func TestCallerDisconnectCancelsStream(t *testing.T) {
	inBubble(t, engine(), func(r *rig) {
		_, _, err := r.client.Stream(r.Context(), attempt("x"), func(int, string) error { return io.ErrClosedPipe })
		requireFailure(r, err, target.Unknown, target.ReasonCancelled)
		require.ErrorIs(r, err, io.ErrClosedPipe)
		r.requireIdle()
	})
}

// A target crashes in the middle of a stream and its host resets the connection. The
// caller has some tokens and must learn that the remaining ones are missing.
func TestResetOnTCP(t *testing.T) {
	defer goleak.VerifyNone(t)
	emulated := emulator.New(engine())
	defer emulated.Close()
	server := httptest.NewServer(emulated.Handler())
	defer server.Close()
	client := target.New(target.Options{})
	defer client.Close()
	emulated.SetFaults(emulator.Fault{Kind: emulator.FaultReset, AfterTokens: 2})
	call := attempt("x")
	call.Address = server.Listener.Addr().String()
	_, _, err := client.Stream(t.Context(), call, func(int, string) error { return nil })
	failed := (*target.AttemptError)(nil)
	require.ErrorAs(t, err, &failed)
	require.Equal(t, target.Unknown, failed.Outcome)
	require.Equal(t, target.ReasonReset, failed.Reason)
}
