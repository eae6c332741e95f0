// Package detour opens connections to targets through other instances, and for other instances.
//
// An instance that has lost its own links to targets serves its callers, and what duties it holds
// for the fleet, over connections that other instances open for it. Attempts, their number and what
// is known of their fate stay with the instance that has the request.
package detour

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/reach"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/forward"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

const (
	// dialTimeout bounds the opening of a connection through any instance.
	dialTimeout = time.Second
	// nextPeerDelay is how long an instance has for its answer before the next one is asked too.
	nextPeerDelay = 100 * time.Millisecond
	// maxPeers bounds the instances that are asked for one connection.
	maxPeers = 32
	// maxControls bounds the targets of a service that are tried to tell whether a refusal concerns
	// one target alone.
	maxControls = 3
)

// Cluster has the operations of the connections between instances that the package needs.
type Cluster interface {
	View() *membership.View
	Peers() []membership.Member
	// Alone reports whether there is no other instance, known or not yet known.
	Alone() bool
	DialThrough(ctx context.Context, peerAddress, target string) (net.Conn, error)
}

// Dialer opens connections to targets through other instances. It implements forward.Detour.
type Dialer struct {
	cluster Cluster
	scope   tally.Scope

	mu    sync.Mutex
	peers *reach.Peers
}

// Results of asking an instance, as a label of the metric.
const (
	resultOpened         = "opened"
	resultNothingListens = "nothing_listens"
	resultFailed         = "failed"
)

// NewDialer returns a dialer. Its counters are served as zero from the start, since a rate of a
// counter that appears with its first value misses that value.
func NewDialer(c Cluster, scope tally.Scope) *Dialer {
	d := &Dialer{cluster: c, scope: scope.SubScope("detour"), peers: reach.NewPeers()}
	for _, result := range []string{resultOpened, resultNothingListens, resultFailed} {
		d.count(result, 0)
	}
	return d
}

func (d *Dialer) count(result string, n int64) {
	d.scope.Tagged(map[string]string{"result": result}).Counter("dials").Inc(n)
}

// Usable implements forward.Detour.
func (d *Dialer) Usable(through string) bool {
	m, ok := d.cluster.View().Find(through)
	return ok && m.Live()
}

// attempt is the result of asking one instance.
type attempt struct {
	peer membership.Member
	nc   net.Conn
	err  error
}

// Dial implements forward.Detour. It asks one instance after the other until one reaches the target
// or finds that nothing listens there.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, string, error) {
	peers := d.order()
	switch {
	case len(peers) == 0 && d.cluster.Alone():
		return nil, "", forward.ErrNoDetour
	case len(peers) == 0:
		return nil, "", forward.ErrNoPeerKnown
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	results := make(chan attempt, len(peers))
	next := time.NewTimer(0)
	defer next.Stop()
	asked, answered := 0, 0
	var failed error
	for answered < len(peers) {
		select {
		case <-next.C:
			if asked < len(peers) {
				go d.ask(ctx, peers[asked], address, results)
				asked++
				next.Reset(nextPeerDelay)
			}
			continue
		case a := <-results:
			answered++
			d.record(a)
			switch {
			case a.err == nil:
				go closeRest(results, asked-answered)
				return a.nc, a.peer.Name, nil
			case errors.Is(a.err, peer.ErrRefused):
				go closeRest(results, asked-answered)
				return nil, "", errors.Mark(a.err, forward.ErrNothingListens)
			}
			failed = errors.CombineErrors(failed, a.err)
			next.Reset(0)
		case <-ctx.Done():
			go closeRest(results, asked-answered)
			return nil, "", errors.CombineErrors(ctx.Err(), failed)
		}
	}
	return nil, "", failed
}

// order returns the instances to ask.
func (d *Dialer) order() []membership.Member {
	peers := d.cluster.Peers()
	d.mu.Lock()
	defer d.mu.Unlock()
	ordered := d.peers.Order(time.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), peers)
	return ordered[:min(len(ordered), maxPeers)]
}

func (d *Dialer) ask(ctx context.Context, m membership.Member, address string, results chan<- attempt) {
	nc, err := d.cluster.DialThrough(ctx, m.Address, address)
	results <- attempt{m, nc, err}
}

// record remembers and counts the result of asking an instance.
func (d *Dialer) record(a attempt) {
	result := resultOpened
	d.mu.Lock()
	switch {
	case a.err == nil:
		d.peers.Reached(time.Now(), a.peer.Name)
	case errors.Is(a.err, peer.ErrRefused):
		result = resultNothingListens
	default:
		result = resultFailed
		d.peers.Failed(time.Now(), a.peer.Name)
	}
	d.mu.Unlock()
	d.count(result, 1)
	if a.err == nil {
		telemetry.InfoS("Connection to a target opened through another instance", telemetry.Event{Peer: a.peer.Name})
	}
}

// closeRest closes connections that open when another result is used already.
func closeRest(results <-chan attempt, n int) {
	for range n {
		if a := <-results; a.err == nil {
			_ = a.nc.Close() // it was never used
		}
	}
}

// Targets are the targets that connections are opened to for other instances, by address.
type Targets map[string]string

// Server opens connections to targets for other instances.
type Server struct {
	// Dial opens a direct connection.
	Dial forward.DialFunc
	// PathLost reports whether this instance itself has lost the path to a service, PathSuspected
	// whether its latest attempts there failed.
	PathLost, PathSuspected func(service string) bool
	// Targets returns the services of the targets in use, by address.
	Targets func() Targets
}

// DialTarget opens a connection to a target for another instance. It returns peer.ErrRefused if
// nothing listens there, and another error if this instance itself may be cut off.
func (s Server) DialTarget(ctx context.Context, address string) (net.Conn, error) {
	targets := s.Targets()
	service, known := targets[address]
	if !known {
		return nil, errors.Newf("no target in use has the address %.64s", address)
	}
	if s.PathLost(service) {
		return nil, errors.New("the path to the targets is lost here too")
	}
	nc, err := s.Dial(ctx, address)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return nc, err
	}
	if s.reachesAnother(ctx, targets, service, address) {
		return nil, peer.ErrRefused
	}
	return nil, err
}

// reachesAnother reports whether this instance connects to another target of the service or, unless
// its own attempts at the service fail too, of another service: a refusal shows nothing about a target
// while all refuse.
func (s Server) reachesAnother(ctx context.Context, targets Targets, service, refused string) bool {
	var same, other []string
	for address, of := range targets {
		switch {
		case address == refused:
		case of == service:
			same = append(same, address)
		default:
			other = append(other, address)
		}
	}
	if len(same) == 0 && len(other) == 0 {
		return true
	}
	if s.connectsToAny(ctx, same) {
		return true
	}
	return !s.PathSuspected(service) && s.connectsToAny(ctx, other)
}

// connectsToAny tries some of the addresses.
func (s Server) connectsToAny(ctx context.Context, addresses []string) bool {
	for _, address := range addresses[:min(len(addresses), maxControls)] {
		if nc, err := s.Dial(ctx, address); err == nil {
			_ = nc.Close() // it was opened only for the check
			return true
		}
	}
	return false
}
