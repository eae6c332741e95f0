// Package load exchanges load digests with the peers: it sends what this
// instance has in flight and takes in what the others have.
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

// interval is the time between two looks at the digests. How often they travel
// is the spread's to bound.
const interval = 200 * time.Millisecond

// digestTTL is how long a peer's digest counts for the gates.
const digestTTL = 3 * time.Second

// Bounds of the digests that the spread sends, in bytes.
const (
	// loadBytes is sent at once each second.
	maxLoadBytes = 1100
	// directPeers is to how many peers a digest goes at once.
	directPeers = 7
	// overhead is what the spread counts for a digest besides its texts.
	digestOverhead = 32
)

// SpreadConfig returns the settings of the spread that fit the digests.
//
// Guard: if a digest to each of seven peers does not fit the bytes that are sent
// at once, the spread hands digests on from one to the next, as it must among
// hundreds. Among eight instances most would then be too old to count.
func GossipConfig() spread.Config {
	c := spread.DefaultConfig()
	c.MaxLoadBytes = maxLoadBytes
	return c
}

// maxBody bounds the digest of an instance with the given name.
func maxBodyBytes(name string) int {
	return min(GossipConfig().MaxLoadBodyBytes, maxLoadBytes/directPeers-digestOverhead-len(name))
}

// Cluster carries the digests; *cluster.Cluster is one.
type Cluster interface {
	SendDigest(body []byte)
	Loads() []spread.Load
}

// Router counts the targets' requests in flight; *routing.Table is one.
type Router interface {
	Digest(now time.Time) []routing.DigestEntry
	PeerDigest(now time.Time, origin string, entries []routing.DigestEntry)
}

// Exchange is the driver.
type Exchange struct {
	self    string
	cluster Cluster
	router  Router
	gates   *gate.Group
	// instances counts the live instances.
	liveCount   func() int
	peerDigests map[string]*tiers.PeerDigests
	// taken holds the body of each origin's digest that was taken in last.
	lastBodies map[string][]byte
}

// New makes a driver; self is this instance's name.
func New(self string, c Cluster, r Router, g *gate.Group, instances func() int) *Exchange {
	return &Exchange{
		self:        self,
		cluster:     c,
		router:      r,
		gates:       g,
		liveCount:   instances,
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

// Round sends the own digest and takes in what has come. Calls don't overlap.
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
	taken := make(map[string][]byte, len(e.lastBodies))
	for _, l := range e.cluster.Loads() {
		if l.Origin == e.self || l.Age > digestTTL {
			continue
		}
		taken[l.Origin] = l.Body
		if !sameSlice(l.Body, e.lastBodies[l.Origin]) {
			e.apply(now.Add(-l.Age), l)
		}
	}
	e.lastBodies = taken
	instances := e.liveCount()
	e.gates.Each(func(pool string, own *gate.Gate) {
		own.SetPeers(e.poolDigests(pool).Load(now, instances))
	})
}

// same tells whether two bodies are the very same slice. The spread keeps a
// digest for many exchanges; to take each of hundreds in again every time would
// cost more than all else that an instance does for control.
func sameSlice(a, b []byte) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

// take takes one digest in.
func (e *Exchange) apply(made time.Time, l spread.Load) {
	digest, err := loadwire.Decode(l.Body)
	if err != nil {
		return // made by another release
	}
	e.router.PeerDigest(made, l.Origin, digest.Targets)
	e.gates.Each(func(pool string, _ *gate.Gate) {
		if load, told := digest.Pool(pool); told {
			e.poolDigests(pool).Add(made, l.Origin, load)
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
