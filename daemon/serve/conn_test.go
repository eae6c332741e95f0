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

// pipes is a listener in memory, so that time in a bubble goes on while
// connections wait. A net.Pipe has no buffer: who does not read blocks a write.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error { p.once.Do(func() { close(p.done) }); return nil }

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// connRig is a server and one caller's connection, in virtual time.
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
		listener := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
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

func (r *connRig) send(t *testing.T, a ask) {
	request := a.request(t.Context())
	request.URL.Host = "x"
	go func() { _ = request.Write(r.conn) }() // its end is the end of the connection
}

// Story: a caller's connection stays open and nobody reads from it. The answer
// fills the buffers, and its place, or its target's slot, would be gone until a
// restart: some hundreds of such callers and the instance serves nobody.
func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	for _, a := range []ask{{pipeline: "again"}, {pipeline: "again", stream: true}, {pipeline: "none"}} {
		inBubble(t, answers, func(t *testing.T, r *connRig) {
			r.send(t, a)
			<-time.After(10 * time.Millisecond)
			<-time.After(2*r.opts.StreamIdle + time.Millisecond)
			require.Zero(t, r.server.InFlight())
			_, err := r.conn.Write([]byte("G"))
			require.ErrorIs(t, err, io.ErrClosedPipe, "the connection is open")
		})
	}
}

// Story: a clerk's browser hangs while the answer to an order is streamed. The
// wait for it must not last until the order's deadline, or the order, which ran
// to its end at the target, is told as unknown to the clerk's retry.
func TestHangingCallerCostsNoClaimedAnswer(t *testing.T) {
	patient := func(o *Options) { o.StreamIdle = time.Minute }
	run := func(ctx context.Context, job execute.Job) (execute.Result, error) {
		got, err := answers(ctx, job)
		if ctx.Err() != nil {
			return got, &execute.Failure{Reason: execute.ReasonDeadline, Verdict: outcome.Unknown}
		}
		return got, err
	}
	inBubbleWith(t, run, patient, func(t *testing.T, r *connRig) {
		a := ask{pipeline: "once", key: "k", stream: true}
		r.send(t, a)
		<-time.After(2 * time.Minute)
		require.Equal(t, "out", r.ask(t, a).output)
		require.EqualValues(t, 1, r.runs.Load())
	})
}

// Story: a tool keeps its connection open after a stream and asks again later.
// The bound on the stream's writes must not cut off the next answer.
func TestConnectionServesAgainAfterAStream(t *testing.T) {
	inBubble(t, answers, func(t *testing.T, r *connRig) {
		for range 3 {
			r.send(t, ask{pipeline: "again", stream: true})
			got, err := http.ReadResponse(r.reader, nil)
			require.NoError(t, err)
			body, err := io.ReadAll(got.Body)
			require.NoError(t, err)
			require.Contains(t, string(body), "event: "+callerapi.EventDone)
			<-time.After(3 * r.opts.StreamIdle)
		}
	})
}

// Story: an instance is stopped as planned while it streams. The stream must
// end whole before the server does.
func TestShutdownLetsAStreamEnd(t *testing.T) {
	var release chan struct{}
	run := func(ctx context.Context, job execute.Job) (execute.Result, error) {
		if err := job.OnToken(0, "out"); err != nil {
			return execute.Result{}, err
		}
		<-release
		return execute.Result{Output: "out", Tokens: 1}, nil
	}
	inBubble(t, run, func(t *testing.T, r *connRig) {
		release = make(chan struct{}) // of the bubble
		r.send(t, ask{pipeline: "again", stream: true})
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
