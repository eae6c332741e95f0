package tiers

import (
	"maps"
	"slices"
	"time"
)

// maxPeers bounds the digests that are kept; an instance hears of few peers.
const maxPeers = 64

// Peers keeps the newest digests of the peers for one pool.
type Peers struct {
	ttl  time.Duration
	seen map[string]heard
}

type heard struct {
	digest Digest
	at     time.Time
}

// NewPeers makes an empty table whose digests count for ttl.
func NewPeers(ttl time.Duration) *Peers {
	return &Peers{ttl: ttl, seen: make(map[string]heard)}
}

// Heard takes in a peer's digest.
func (p *Peers) Heard(now time.Time, peer string, d Digest) {
	if _, known := p.seen[peer]; !known && len(p.seen) >= maxPeers {
		p.expire(now)
		if len(p.seen) >= maxPeers {
			return
		}
	}
	p.seen[peer] = heard{digest: d, at: now}
}

// Load adds up the digests that count, for instances live instances in all.
func (p *Peers) Load(now time.Time, instances int) PeerLoad {
	p.expire(now)
	out := PeerLoad{Instances: max(instances, len(p.seen)+1), Heard: len(p.seen)}
	// In a fixed order: sums of floats depend on it, and the same events have
	// to lead to the same decisions.
	for _, name := range slices.Sorted(maps.Keys(p.seen)) {
		h := p.seen[name]
		for r := range out.Ranks {
			out.Ranks[r].InFlight += h.digest.Ranks[r].InFlight
			out.Ranks[r].Demand += h.digest.Ranks[r].Demand
		}
	}
	return out
}

func (p *Peers) expire(now time.Time) {
	for name, h := range p.seen {
		if now.Sub(h.at) > p.ttl {
			delete(p.seen, name)
		}
	}
}
