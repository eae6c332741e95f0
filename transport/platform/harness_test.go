package platform_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

const (
	instance = "i1"
	timeout  = time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// pipeNetwork connects a client and a server by net.Pipe, so that HTTP runs in virtual
// time. It can refuse connections, and make the open ones silent.
type pipeNetwork struct {
	accepted chan net.Conn
	closed   chan struct{}
	closing  sync.Once
	refusing atomic.Bool
	// generation counts the calls of silenceOpenConns. What the client writes on a
	// connection of an earlier generation is discarded.
	generation atomic.Int64
	dials      atomic.Int64
}

type pipeConn struct {
	net.Conn
	network    *pipeNetwork
	generation int64
}

func (c *pipeConn) Write(p []byte) (int, error) {
	if c.generation < c.network.generation.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (n *pipeNetwork) dial(context.Context, string, string) (net.Conn, error) {
	if n.refusing.Load() {
		return nil, errors.New("connection refused")
	}
	n.dials.Add(1)
	near, far := net.Pipe()
	n.accepted <- far
	return &pipeConn{Conn: near, network: n, generation: n.generation.Load()}, nil
}

// silenceOpenConns makes all open connections permanently silent.
func (n *pipeNetwork) silenceOpenConns() { n.generation.Add(1) }

func (n *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case conn := <-n.accepted:
		return conn, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

func (n *pipeNetwork) Close() error   { n.closing.Do(func() { close(n.closed) }); return nil }
func (n *pipeNetwork) Addr() net.Addr { return &net.IPAddr{} }

// serve starts a server for handler in the test's synctest bubble and returns a client.
func serve(t *testing.T, handler http.Handler) (*platform.Client, *pipeNetwork) {
	network := &pipeNetwork{accepted: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(network) }()
	transport := platform.NewTransport()
	transport.DialContext = network.dial
	client := platform.New(platform.Options{
		BaseURL:  "http://platform",
		Instance: instance,
		HTTP:     platform.NewHTTPClient(transport),
		Timeout:  timeout, WatchSlack: timeout,
		Budget: platform.NewBudget(platform.BudgetOptions{ReadsPerSecond: 1e4, WritesPerSecond: 1e4, Burst: 1e4}),
	})
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = server.Close()
	})
	return client, network
}

// eachStore runs a test in virtual time against both implementations.
func eachStore(t *testing.T, run func(t *testing.T, e *emulator.Store, s platform.Store)) {
	options := emulator.Options{ReadsPerSecond: 1e5, WritesPerSecond: 1e5, LocalTimeout: timeout}
	t.Run("in process", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e := emulator.New(options)
			run(t, e, e.Local(instance))
		})
	})
	t.Run("over HTTP", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e := emulator.New(options)
			client, _ := serve(t, e.Handler())
			run(t, e, client)
		})
	})
}

func object(name, spec string) platformapi.Object {
	return platformapi.Object{Metadata: platformapi.Metadata{Name: name}, Spec: []byte(spec)}
}

// class returns what an error reports about the effect of a call.
func class(err error) string {
	var unavailable *platform.UnavailableError
	var unknown *platform.UnknownEffectError
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &unavailable):
		return "nothing done"
	case errors.As(err, &unknown):
		return "unknown"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.Is(err, platform.ErrNotFound):
		return "not found"
	case errors.Is(err, platform.ErrCompacted):
		return "compacted"
	case errors.Is(err, platform.ErrTooLarge):
		return "too large"
	case errors.Is(err, platform.ErrRefused):
		return "refused"
	}
	return err.Error()
}
