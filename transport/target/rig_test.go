package target_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	emulator "github.com/ivyhollow/ivyhollow/emulator/target"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/transport/target"
)

const (
	address        = "192.0.2.1:80"
	incarnation    = "i-1"
	maxTokens      = 6
	tokenTime      = 10 * time.Millisecond
	callTime       = 20 * time.Millisecond
	silenceTimeout = time.Second
)

// pipeNet is an in-memory network. In a synctest bubble, time advances while its
// connections block.
type pipeNet struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	// dials and open count the opened connections and those not yet closed.
	dials, open atomic.Int64
}

func newPipeNet() *pipeNet {
	return &pipeNet{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (p *pipeNet) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeNet) Close() error { p.once.Do(func() { close(p.done) }); return nil }

func (p *pipeNet) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeNet) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		p.dials.Add(1)
		p.open.Add(1)
		return &pipeConn{Conn: near, net: p}, nil
	case <-p.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type pipeConn struct {
	net.Conn
	net  *pipeNet
	once sync.Once
}

func (c *pipeConn) Close() error {
	c.once.Do(func() { c.net.open.Add(-1) })
	return c.Conn.Close()
}

// rig is a client with one target in a synctest bubble.
type rig struct {
	*testing.T
	net    *pipeNet
	client *target.Client
	target *emulator.Target
}

func engine() emulator.Options {
	return emulator.Options{
		Kind: catalog.KindEngine, Incarnation: incarnation, Slots: 2,
		CallTime: callTime, TokenTime: tokenTime,
	}
}

func clientOptions(dial func(context.Context, string, string) (net.Conn, error)) target.Options {
	return target.Options{HeaderTimeout: silenceTimeout, BodyIdleTimeout: silenceTimeout, Dial: dial}
}

// inBubble runs a test against an emulated target.
func inBubble(t *testing.T, options emulator.Options, test func(r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := &rig{T: t, target: emulator.New(options)}
		defer r.target.Close()
		r.serve(r.target.Handler(), func() { test(r) })
	})
}

// inBubbleWithHandler runs a test against a handler that may violate the contract.
func inBubbleWithHandler(t *testing.T, handler http.HandlerFunc, test func(r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := &rig{T: t}
		r.serve(handler, func() { test(r) })
	})
}

func (r *rig) serve(handler http.Handler, test func()) {
	r.net = newPipeNet()
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(r.net) }()
	defer func() { _ = server.Close() }()
	r.client = target.New(clientOptions(r.net.Dial))
	// A test may have replaced the client.
	defer func() { r.client.Close() }()
	test()
}

// attempt returns a call whose IDs contain the name.
func attempt(name string) target.Call {
	return target.Call{
		Address: address, Incarnation: incarnation, AttemptID: "a-" + name, RequestID: "r-" + name,
		Run: targetapi.RunRequest{Stage: "draft", Inputs: []string{name}, MaxTokens: maxTokens},
	}
}

// run makes the call and compares the answer, if there is one, with the expected
// output.
func (r *rig) run(call target.Call, stream bool) (target.ResponseMeta, error) {
	r.Helper()
	text, tokens := emulator.Output(call.Run.Stage, call.Run.Inputs, call.Run.Model, call.Run.MaxTokens)
	seen := []string{}
	var answer targetapi.RunResponse
	var meta target.ResponseMeta
	var err error
	if stream {
		answer, meta, err = r.client.Stream(r.Context(), call, func(offset int, token string) error {
			require.Equal(r, call.Run.ResumeFrom+len(seen), offset)
			seen = append(seen, token)
			return nil
		})
	} else {
		answer, meta, err = r.client.Run(r.Context(), call)
	}
	if err != nil {
		require.Empty(r, answer, "an answer beside an error")
		return meta, err
	}
	require.Equal(r, text, answer.Output)
	require.Equal(r, call.AttemptID, answer.AttemptID)
	if stream {
		require.Equal(r, tokens[call.Run.ResumeFrom:], seen)
	}
	return meta, nil
}

// requireFailure checks the outcome and reason of a failed attempt.
func requireFailure(t require.TestingT, err error, outcome target.Outcome, reason target.Reason) {
	failed := (*target.AttemptError)(nil)
	require.ErrorAs(t, err, &failed)
	require.Equal(t, [2]string{outcome.String(), string(reason)}, [2]string{failed.Outcome.String(), string(failed.Reason)}, err.Error())
	require.Equal(t, address, failed.Peer)
	require.NotEmpty(t, failed.Step)
}

// requireIdle checks that the target has no active or queued call.
func (r *rig) requireIdle() {
	synctest.Wait()
	active, queued := r.target.Load()
	require.Zero(r, active+queued, "the target still runs a call that was abandoned")
}
