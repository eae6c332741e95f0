// Package soak runs instances as separate processes with emulated targets and an emulated
// store, injects random faults from outside, and checks from the records of callers and
// targets that the guarantees hold.
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

// Options configure one run.
type Options struct {
	// Binary is the path of the daemon, Dir the directory for settings and logs.
	Binary string
	Dir    string
	Seed   uint64
	// Faults is how long faults are injected; the run takes some seconds more.
	Faults    time.Duration
	Instances int
	Callers   int
	// Planned limits the run to planned work, and checks that no caller loses a request by it.
	Planned bool
	// Cuts limits the run to cuts of instances from targets, and checks how callers are served
	// meanwhile.
	Cuts bool
	// Versions has targets of several software versions, rollouts and callers that take streams up, beside
	// faults, and checks that each stream keeps to its version and goes on.
	Versions bool
	// Accounts has client accounts that compete for targets, and callers that come back when they are told to,
	// beside faults, and checks how each account is served.
	Accounts bool
	// Pauses pauses targets beside faults or planned work, again and again.
	Pauses bool
	// Silences is how often, after the faults, the store falls silent and a target leaves; not
	// used in runs of planned work.
	Silences int
}

// testbed holds the processes and records of one run.
type testbed struct {
	options   Options
	random    *rand.Rand
	injector  *faultInjector
	store     *standin.Store
	storeHTTP *httptest.Server
	targets   map[string]*standin.Target
	// relays are the relays before targets, by target name, and before the store, by instance
	// name.
	relays    map[string]*relay.Relay
	instances []*instance
	// reservedSockets hold the instances' ports.
	reservedSockets []int
	// cuts are the cuts of instances from all targets, for the check.
	cuts []targetCut
	// breaks records when connections to targets were reset or refused, pauses when targets were paused.
	breaks, pauses periodLog
	// endBreakOfCut ends the record of a cut that resets connections.
	endBreakOfCut func()
	// departed are the targets that have left, whose paths are closed.
	departed map[string]bool
	// overload holds when the large account sent more than targets bear.
	overload overloadLog
	// rollouts records which software versions the engines have.
	rollouts      rolloutLog
	configVersion int
	keys          atomic.Pointer[[]string]

	// over is closed at the end of the run. departures waits for the targets that are leaving.
	over       chan struct{}
	departures sync.WaitGroup

	mu         sync.Mutex
	faults     []string
	violations []string
}

func newTestbed(o Options) (*testbed, error) {
	tb := &testbed{
		options: o, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), injector: newFaultInjector(o.Seed),
		store: standin.NewStore(), targets: map[string]*standin.Target{}, relays: map[string]*relay.Relay{}, departed: map[string]bool{},
		endBreakOfCut: func() {},
		over:          make(chan struct{}),
	}
	tb.storeHTTP = httptest.NewServer(tb.store)
	for _, name := range []string{"plain-1", "plain-2", "plain-3", "engine-1", "engine-2", "engine-3", "stage-1", "stage-2"} {
		if err := tb.addTarget(name); err != nil {
			return nil, err
		}
	}
	tb.writeConfiguration()
	for i := range o.Instances {
		if err := tb.addInstance(fmt.Sprintf("instance-%d", i+1)); err != nil {
			return nil, err
		}
	}
	return tb, nil
}

// reservePorts returns loopback addresses for an instance. A bound socket that doesn't listen
// holds each port while the soak runs: the instance can listen there, but while it is down no
// connection and no other listener gets the port, which would keep it from starting again.
func (tb *testbed) reservePorts(n int) ([]string, error) {
	var addresses []string
	for range n {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			return nil, errors.Wrap(err, "reserve a port")
		}
		tb.reservedSockets = append(tb.reservedSockets, fd)
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

// violation records a broken guarantee.
func (tb *testbed) violation(format string, args ...any) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.violations = append(tb.violations, fmt.Sprintf(format, args...))
}

func (tb *testbed) close() {
	close(tb.over)
	tb.departures.Wait()
	for _, in := range tb.instances {
		in.signal(syscall.SIGCONT, true)
		in.signal(syscall.SIGKILL, true)
	}
	for _, path := range tb.relays {
		path.Close()
	}
	for _, t := range tb.targets {
		t.Close()
	}
	tb.storeHTTP.CloseClientConnections()
	tb.storeHTTP.Close()
	for _, fd := range tb.reservedSockets {
		_ = syscall.Close(fd) // the ports are no longer needed
	}
	for _, in := range tb.instances {
		_ = in.log.Close() // nothing is written any more
	}
}
