package tiers

import (
	"maps"
	"slices"
	"time"
)

// maxPeers bounds the digests that are kept; an instance receives the digests
// of few peers.
const maxPeers = 64

// PeerDigests holds the latest digest of each peer for one pool.
type PeerDigests struct {
	ttl      time.Duration
	received map[string]receivedDigest
}

type receivedDigest struct {
	digest     Digest
	receivedAt time.Time
}

// NewPeerDigests returns an empty table whose digests expire after ttl.
func NewPeerDigests(ttl time.Duration) *PeerDigests {
	return &PeerDigests{ttl: ttl, received: make(map[string]receivedDigest)}
}

// Add replaces a peer's digest. A digest of a new peer is dropped while the
// table is full.
func (p *PeerDigests) Add(now time.Time, peer string, d Digest) {
	if _, known := p.received[peer]; !known && len(p.received) >= maxPeers {
		p.expire(now)
		if len(p.received) >= maxPeers {
			return
		}
	}
	p.received[peer] = receivedDigest{digest: d, receivedAt: now}
}

// Load returns the sum of the unexpired digests. instances is the number of
// live instances, this one included.
func (p *PeerDigests) Load(now time.Time, instances int) PeerLoad {
	p.expire(now)
	out := PeerLoad{Instances: max(instances, len(p.received)+1), Reporting: len(p.received)}
	// The order is fixed because sums of floats depend on it, and the same
	// events have to lead to the same decisions.
	for _, name := range slices.Sorted(maps.Keys(p.received)) {
		h := p.received[name]
		for r := range out.Ranks {
			out.Ranks[r].InFlight += h.digest.Ranks[r].InFlight
			out.Ranks[r].Demand += h.digest.Ranks[r].Demand
		}
	}
	return out
}

func (p *PeerDigests) expire(now time.Time) {
	for name, h := range p.received {
		if now.Sub(h.receivedAt) > p.ttl {
			delete(p.received, name)
		}
	}
}
