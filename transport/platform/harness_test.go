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

// wire joins a client and a server by net.Pipe, so that HTTP runs in virtual
// time. It can refuse to connect, and make the open connections go silent.
type pipeNetwork struct {
	accepted   chan net.Conn
	closed     chan struct{}
	closing    sync.Once
	refusing   atomic.Bool
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

func (w *pipeNetwork) dial(context.Context, string, string) (net.Conn, error) {
	if w.refusing.Load() {
		return nil, errors.New("connection refused")
	}
	w.dials.Add(1)
	near, far := net.Pipe()
	w.accepted <- far
	return &pipeConn{Conn: near, network: w, generation: w.generation.Load()}, nil
}

// forget makes the connections open now silent for good.
func (w *pipeNetwork) silenceOpenConns() { w.generation.Add(1) }

func (w *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case conn := <-w.accepted:
		return conn, nil
	case <-w.closed:
		return nil, net.ErrClosed
	}
}

func (w *pipeNetwork) Close() error   { w.closing.Do(func() { close(w.closed) }); return nil }
func (w *pipeNetwork) Addr() net.Addr { return &net.IPAddr{} }

// serve starts a server for handler in the test's bubble and returns a client.
func serve(t *testing.T, handler http.Handler) (*platform.Client, *pipeNetwork) {
	w := &pipeNetwork{accepted: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(w) }()
	transport := platform.NewTransport()
	transport.DialContext = w.dial
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
	return client, w
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

// class names what an error says about a call.
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
