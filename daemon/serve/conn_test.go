package serve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/outcome"
	"github.com/ivyhollow/ivyhollow/daemon/execute"
	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/transport/inbound"
)

// pipeListener is a listener in memory, so that virtual time advances in a synctest
// bubble while connections wait. A net.Pipe has no buffer: a peer that doesn't read
// blocks the write.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error { p.once.Do(func() { close(p.done) }); return nil }

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// connRig is a server and a connection of one caller, in virtual time.
type connRig struct {
	*rig
	http   *inbound.Server
	conn   net.Conn
	reader *bufio.Reader
}

func inBubble(t *testing.T, run executorFunc, test func(t *testing.T, r *connRig)) {
	t.Helper()
	inBubbleWith(t, run, nil, test)
}

func inBubbleWith(t *testing.T, run executorFunc, change func(*Options), test func(t *testing.T, r *connRig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		listener := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		r := &connRig{rig: newRig(t, run, change)}
		r.http = inbound.New(listener, r.server.Handler(), inbound.Options{})
		go func() { _ = r.http.Serve() }()
		near, far := net.Pipe()
		listener.conns <- far
		r.conn, r.reader = near, bufio.NewReader(near)
		test(t, r)
		_ = near.Close()
		r.http.Close()
		synctest.Wait()
	})
}

func (r *connRig) send(t *testing.T, test testRequest) {
	request := test.request(t.Context())
	request.URL.Host = "x"
	go func() { _ = request.Write(r.conn) }() // ends with the connection
}

// A caller keeps its connection open and doesn't read from it. Without a write timeout
// the response would fill the buffers, and the request would occupy its slot, and a stream
// also its target's slot, until a restart. With some hundreds of such callers the instance
// would serve nobody.
func TestCallerThatDoesNotReadIsDisconnected(t *testing.T) {
	for _, request := range []testRequest{{pipeline: "again"}, {pipeline: "again", stream: true}, {pipeline: "none"}} {
		inBubble(t, respondOK, func(t *testing.T, r *connRig) {
			r.send(t, request)
			<-time.After(10 * time.Millisecond)
			<-time.After(2*r.opts.CallerWriteTimeout + time.Millisecond)
			require.Zero(t, r.server.InFlight())
			_, err := r.conn.Write([]byte("G"))
			require.ErrorIs(t, err, io.ErrClosedPipe, "the connection is open")
		})
	}
}

// A caller hangs while the response to a claimed request is streamed. The write must not
// wait until the request's deadline: the retry would get an unknown outcome although
// the target has completed the work.
func TestHangingCallerLosesNoClaimedResponse(t *testing.T) {
	longTimeout := func(o *Options) { o.CallerWriteTimeout = time.Minute }
	run := func(ctx context.Context, job execute.Job) (execute.Result, error) {
		got, err := respondOK(ctx, job)
		if ctx.Err() != nil {
			return got, &execute.Failure{Reason: execute.ReasonDeadline, Verdict: outcome.Unknown}
		}
		return got, err
	}
	inBubbleWith(t, run, longTimeout, func(t *testing.T, r *connRig) {
		request := testRequest{pipeline: "once", key: "k", stream: true}
		r.send(t, request)
		<-time.After(2 * time.Minute)
		require.Equal(t, "out", r.do(t, request).output)
		require.EqualValues(t, 1, r.runs.Load())
	})
}

// A caller sends another request on the connection of an earlier stream. The write
// deadline of the stream must not cut off the next response.
func TestConnectionServesAgainAfterAStream(t *testing.T) {
	inBubble(t, respondOK, func(t *testing.T, r *connRig) {
		for range 3 {
			r.send(t, testRequest{pipeline: "again", stream: true})
			got, err := http.ReadResponse(r.reader, nil)
			require.NoError(t, err)
			body, err := io.ReadAll(got.Body)
			require.NoError(t, err)
			require.Contains(t, string(body), "event: "+callerapi.EventDone)
			<-time.After(3 * r.opts.CallerWriteTimeout)
		}
	})
}

// An instance is stopped as planned during a stream. The stream must be completed before
// the server ends.
func TestShutdownWaitsForStream(t *testing.T) {
	var release chan struct{}
	run := func(ctx context.Context, job execute.Job) (execute.Result, error) {
		if err := job.OnToken(0, "out"); err != nil {
			return execute.Result{}, err
		}
		<-release
		return execute.Result{Output: "out", Tokens: 1}, nil
	}
	inBubble(t, run, func(t *testing.T, r *connRig) {
		release = make(chan struct{}) // made here, so that it belongs to the synctest bubble
		r.send(t, testRequest{pipeline: "again", stream: true})
		got, err := http.ReadResponse(r.reader, nil)
		require.NoError(t, err)
		ended := make(chan error, 1)
		go func() { ended <- r.http.Drain(context.Background()) }()
		synctest.Wait()
		require.Empty(t, ended)
		go func() { release <- struct{}{} }()
		body, err := io.ReadAll(got.Body)
		require.NoError(t, err)
		require.Equal(t, 1, strings.Count(string(body), "event: "+callerapi.EventDone))
		require.NoError(t, <-ended)
	})
}
