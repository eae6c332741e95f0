package reach

import (
	"math/rand/v2"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
)

const (
	// reachValidity is how long an instance is preferred through which a target was reached.
	reachValidity = 10 * time.Second
	// failureValidity is how long an instance is asked last that didn't reach a target.
	failureValidity = time.Second
	// exploreShare is the share of dials that first try an instance of which nothing is known, so
	// that the load spreads over all that reach the targets.
	exploreShare = 0.25
)

// Peers remembers through which other instances targets were reached. It isn't safe for concurrent
// use.
type Peers struct {
	reachedAt, failedAt map[string]time.Time
}

// NewPeers returns an empty memory.
func NewPeers() *Peers {
	return &Peers{reachedAt: map[string]time.Time{}, failedAt: map[string]time.Time{}}
}

// Reached records that a target was reached through an instance.
func (p *Peers) Reached(now time.Time, name string) {
	delete(p.failedAt, name)
	p.reachedAt[name] = now
}

// Failed records that an instance didn't reach a target, or wasn't reached itself.
func (p *Peers) Failed(now time.Time, name string) {
	delete(p.reachedAt, name)
	p.failedAt[name] = now
}

// Order returns the order in which to try instances: those known to reach targets, those of which
// nothing is known, then those known not to, each in random order.
func (p *Peers) Order(now time.Time, random *rand.Rand, peers []membership.Member) []membership.Member {
	p.forget(now)
	var good, unknown, bad []membership.Member
	for _, i := range random.Perm(len(peers)) {
		m := peers[i]
		switch {
		case !p.reachedAt[m.Name].IsZero():
			good = append(good, m)
		case !p.failedAt[m.Name].IsZero():
			bad = append(bad, m)
		default:
			unknown = append(unknown, m)
		}
	}
	if len(good) > 0 && len(unknown) > 0 && random.Float64() < exploreShare {
		good = append([]membership.Member{unknown[0]}, good...)
		unknown = unknown[1:]
	}
	return append(append(good, unknown...), bad...)
}

// forget drops what is no longer valid.
func (p *Peers) forget(now time.Time) {
	for name, at := range p.reachedAt {
		if now.Sub(at) > reachValidity {
			delete(p.reachedAt, name)
		}
	}
	for name, at := range p.failedAt {
		if now.Sub(at) > failureValidity {
			delete(p.failedAt, name)
		}
	}
}
