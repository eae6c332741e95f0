// Package soak runs instances as processes of their own before stand-ins of the
// users' platform, harms them from outside at random, and checks from what callers
// and targets saw that the promises hold.
package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/platform/standin"
	"github.com/ivyhollow/ivyhollow/testkit/relay"
)

// Options of one run.
type Options struct {
	// Binary is the daemon, Dir takes settings and logs.
	Binary string
	Dir    string
	Seed   uint64
	// Faults is how long faults come; the run takes some seconds more.
	Faults    time.Duration
	Instances int
	Callers   int
	// Planned has planned work done only, and checks that no caller loses by it.
	Planned bool
	// Silences is how often the store is silent after the faults, and a target leaves
	// then; not in runs of planned work.
	Silences int
}

// world is one run.
type testbed struct {
	options   Options
	random    *rand.Rand
	injector  *faultInjector
	store     *standin.Store
	storeHTTP *httptest.Server
	targets   map[string]*standin.Target
	// paths are the relays before targets, by name, and before the store, by
	// instance.
	relays    map[string]*relay.Relay
	instances []*instance
	// reserved are the sockets that hold the instances' ports.
	reservedSockets []int
	configVersion   int
	keys            atomic.Pointer[[]string]

	// over is closed at the end of the run, leaving are the targets on their way out.
	over       chan struct{}
	departures sync.WaitGroup

	mu         sync.Mutex
	faults     []string
	violations []string
}

func newTestbed(o Options) (*testbed, error) {
	w := &testbed{
		options: o, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), injector: newFaultInjector(o.Seed),
		store: standin.NewStore(), targets: map[string]*standin.Target{}, relays: map[string]*relay.Relay{},
		over: make(chan struct{}),
	}
	w.storeHTTP = httptest.NewServer(w.store)
	for _, name := range []string{"plain-1", "plain-2", "plain-3", "engine-1", "engine-2", "engine-3", "stage-1", "stage-2"} {
		if err := w.addTarget(name); err != nil {
			return nil, err
		}
	}
	w.writeConfiguration()
	for i := range o.Instances {
		if err := w.addInstance(fmt.Sprintf("instance-%d", i+1)); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// reservePorts returns addresses on loopback for an instance. A socket that doesn't
// listen holds each of them while the soak runs: an instance can listen there, but
// while it is down no connection and no other listener gets the port. Else the
// instance could not start again.
func (w *testbed) reservePorts(n int) ([]string, error) {
	var addresses []string
	for range n {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			return nil, errors.Wrap(err, "reserve a port")
		}
		w.reservedSockets = append(w.reservedSockets, fd)
		if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
			return nil, errors.Wrap(err, "reserve a port")
		}
		if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
			return nil, errors.Wrap(err, "reserve a port")
		}
		bound, err := syscall.Getsockname(fd)
		if err != nil {
			return nil, errors.Wrap(err, "reserve a port")
		}
		v4, ok := bound.(*syscall.SockaddrInet4)
		if !ok {
			return nil, errors.Newf("reserve a port: bound to %T", bound)
		}
		addresses = append(addresses, fmt.Sprintf("127.0.0.1:%d", v4.Port))
	}
	return addresses, nil
}

// breach notes a promise that was broken.
func (w *testbed) violation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *testbed) close() {
	close(w.over)
	w.departures.Wait()
	for _, in := range w.instances {
		in.signal(syscall.SIGCONT, true)
		in.signal(syscall.SIGKILL, true)
	}
	for _, path := range w.relays {
		path.Close()
	}
	for _, t := range w.targets {
		t.Close()
	}
	w.storeHTTP.CloseClientConnections()
	w.storeHTTP.Close()
	for _, fd := range w.reservedSockets {
		_ = syscall.Close(fd) // the ports are of no use any more
	}
	for _, in := range w.instances {
		_ = in.log.Close() // its content is only read
	}
}
