// Package load exchanges load digests with the peers: it sends the counts of this instance's
// requests in flight and applies the counts that the other instances send.
package load

import (
	"context"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
	"github.com/ivyhollow/ivyhollow/protocol/loadwire"
)

// interval is the time between two updates of the digests. The gossip limits how often
// they are sent.
const interval = 200 * time.Millisecond

// digestTTL is the age up to which a peer's digest is applied to the router and the gates.
// The gates also stop using it at this age; the router has its own limit.
const digestTTL = 3 * time.Second

// Limits of the digests that the gossip sends.
const (
	// maxLoadBytes is the maximum number of bytes sent directly per second.
	maxLoadBytes = 1100
	// directPeers is the number of peers to which a digest is sent directly.
	directPeers = 7
	// digestOverhead is the size in bytes that the gossip counts for a digest in
	// addition to its name and body.
	digestOverhead = 32
)

// GossipConfig returns the gossip configuration that fits the digests.
//
// It prevents outdated digests in small clusters. If the direct bytes don't suffice for
// a digest to each of seven peers, the gossip forwards digests from instance to instance,
// as it has to among hundreds of instances. Among eight instances most digests would then
// be older than digestTTL.
func GossipConfig() spread.Config {
	c := spread.DefaultConfig()
	c.MaxLoadBytes = maxLoadBytes
	return c
}

// maxBodyBytes returns the maximum size of the digest of an instance with the given name.
func maxBodyBytes(name string) int {
	return min(GossipConfig().MaxLoadBodyBytes, maxLoadBytes/directPeers-digestOverhead-len(name))
}

// Cluster sends and receives the digests; *cluster.Cluster is one.
type Cluster interface {
	SendDigest(body []byte)
	Loads() []spread.Load
}

// Router counts the targets' requests in flight; *routing.Table is one.
type Router interface {
	Digest(now time.Time) []routing.DigestEntry
	PeerDigest(now time.Time, origin string, entries []routing.DigestEntry)
}

// Exchange exchanges the digests periodically.
type Exchange struct {
	self    string
	cluster Cluster
	router  Router
	gates   *gate.Group
	// liveCount returns the number of live instances.
	liveCount   func() int
	peerDigests map[string]*tiers.PeerDigests
	// lastBodies holds, by origin, the body of the digest that was applied last.
	lastBodies map[string][]byte
}

// New returns an exchange; self is this instance's name.
func New(self string, c Cluster, r Router, g *gate.Group, liveCount func() int) *Exchange {
	return &Exchange{
		self:        self,
		cluster:     c,
		router:      r,
		gates:       g,
		liveCount:   liveCount,
		peerDigests: make(map[string]*tiers.PeerDigests),
		lastBodies:  make(map[string][]byte),
	}
}

// Run exchanges digests until the context ends.
func (e *Exchange) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			e.Tick(now)
		case <-ctx.Done():
			return nil
		}
	}
}

// Tick sends this instance's digest and applies the digests received. Calls don't overlap.
func (e *Exchange) Tick(now time.Time) {
	e.send(now)
	e.receive(now)
}

func (e *Exchange) send(now time.Time) {
	digest := loadwire.Digest{
		Targets: e.router.Digest(now),
		Pools:   make(map[string]tiers.Digest),
	}
	e.gates.Each(func(pool string, own *gate.Gate) { digest.Pools[pool] = own.Digest() })
	if body, err := loadwire.Encode(digest, maxBodyBytes(e.self)); err == nil {
		e.cluster.SendDigest(body)
	}
}

func (e *Exchange) receive(now time.Time) {
	bodies := make(map[string][]byte, len(e.lastBodies))
	for _, l := range e.cluster.Loads() {
		if l.Origin == e.self || l.Age > digestTTL {
			continue
		}
		bodies[l.Origin] = l.Body
		if !sameSlice(l.Body, e.lastBodies[l.Origin]) {
			e.apply(now.Add(-l.Age), l)
		}
	}
	e.lastBodies = bodies
	liveCount := e.liveCount()
	e.gates.Each(func(pool string, own *gate.Gate) {
		own.SetPeers(e.poolDigests(pool).Load(now, liveCount))
	})
}

// sameSlice reports whether two bodies are the same slice, not just equal. The gossip keeps
// a digest for many ticks. Applying each of hundreds again on every tick would cost more
// than all other control work of an instance.
func sameSlice(a, b []byte) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

// apply applies one digest to the router and to the gates.
func (e *Exchange) apply(createdAt time.Time, l spread.Load) {
	digest, err := loadwire.Decode(l.Body)
	if err != nil {
		return // encoded by another release
	}
	e.router.PeerDigest(createdAt, l.Origin, digest.Targets)
	e.gates.Each(func(pool string, _ *gate.Gate) {
		if load, ok := digest.Pool(pool); ok {
			e.poolDigests(pool).Add(createdAt, l.Origin, load)
		}
	})
}

func (e *Exchange) poolDigests(name string) *tiers.PeerDigests {
	p, ok := e.peerDigests[name]
	if !ok {
		p = tiers.NewPeerDigests(digestTTL)
		e.peerDigests[name] = p
	}
	return p
}
