package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
	"github.com/ivyhollow/ivyhollow/protocol/loadwire"
)

// fakeCluster is a cluster with one peer. It accepts this instance's digest within the size
// limit of the gossip.
type fakeCluster struct {
	sent  []byte
	loads []spread.Load
}

func (n *fakeCluster) SendDigest(body []byte) {
	if len(body) <= GossipConfig().MaxLoadBodyBytes {
		n.sent = body
	}
}

func (n *fakeCluster) Loads() []spread.Load { return n.loads }

// fakeRouter records the origins of the digests applied.
type fakeRouter struct {
	own     []routing.DigestEntry
	origins []string
}

func (r *fakeRouter) Digest(time.Time) []routing.DigestEntry { return r.own }

func (r *fakeRouter) PeerDigest(_ time.Time, origin string, _ []routing.DigestEntry) {
	r.origins = append(r.origins, origin)
}

// The digest of an instance with ten busy pools and a hundred busy targets is within the
// size limit of the gossip, which drops longer ones without an error. Other instances would
// then ignore this one's load, and batch work would not yield to interactive requests.
func TestDigestOfBusyInstanceIsSent(t *testing.T) {
	gates := gate.NewGroup(gate.GroupConfig{}, time.Now)
	r := &fakeRouter{}
	for i := range 10 {
		pool := fmt.Sprint("pool-", i)
		gates.SetCapacity(pool, 100, false)
		for rank := range 3 {
			_, ok := gates.TryEnter(pool, gate.Request{Rank: rank, LatestStart: time.Now().Add(time.Hour)})
			require.True(t, ok)
		}
	}
	for i := range 100 {
		r.own = append(r.own, routing.DigestEntry{TargetHash: uint32(i), InFlight: 9})
	}
	n := &fakeCluster{}
	New("self", n, r, gates, func() int { return 2 }).Tick(time.Now())
	digest, err := loadwire.Decode(n.sent)
	require.NoError(t, err)
	require.NotEmpty(t, digest.Targets)
	included := 0
	for i := range 10 {
		if load, _ := digest.Pool(fmt.Sprint("pool-", i)); load.Ranks[0].InFlight == 1 {
			included++
		}
	}
	require.GreaterOrEqual(t, included, 5)
}

// Eight busy instances with digests of the maximum size have fresh digests of each other.
// With older ones the lower tiers would not yield capacity, and targets that other
// instances have filled would look idle.
func TestEightInstancesHaveFreshDigests(t *testing.T) {
	const n = 8
	now := time.Unix(1000, 0)
	nodes := map[string]*spread.Gossip{}
	var names []string
	for i := range n {
		name := fmt.Sprintf("instance-%011d", i)
		names = append(names, name)
		nodes[name] = spread.New(GossipConfig(), spread.NewTable(1), rand.New(rand.NewPCG(uint64(i), 1)))
	}
	for second := range 30 {
		for i, name := range names {
			digest := spread.LoadDigest{Origin: name, Incarnation: 1, Seq: uint64(second), Body: make([]byte, maxBodyBytes(name))}
			nodes[name].SetLoad(now, digest)
			others := slices.Delete(slices.Clone(names), i, i+1)
			for _, a := range nodes[name].Tick(now, others, n) {
				if send, ok := a.(spread.Send); ok {
					nodes[send.To].Receive(now, name, send.Message)
				}
			}
		}
		now = now.Add(time.Second)
	}
	for _, name := range names {
		fresh := 0
		for _, l := range nodes[name].Loads(now) {
			if l.Age < routing.DefaultDigestTTL {
				fresh++
			}
		}
		require.Equal(t, n, fresh, name)
	}
}

// Each digest is applied once, also if its age has changed, and an expired one isn't
// applied. The gossip holds hundreds of digests for seconds, of which only a few per second
// are new.
func TestEachDigestIsAppliedOnce(t *testing.T) {
	body := func() []byte {
		b, err := loadwire.Encode(loadwire.Digest{}, 100)
		require.NoError(t, err)
		return b
	}
	n, r := &fakeCluster{}, &fakeRouter{}
	e := New("self", n, r, gate.NewGroup(gate.GroupConfig{}, time.Now), func() int { return 4 })
	now := time.Unix(1000, 0)
	n.loads = []spread.Load{{Origin: "a", Body: body()}, {Origin: "self", Body: body()}, {Origin: "old", Age: digestTTL + 1, Body: body()}}
	e.Tick(now)
	n.loads[0].Age = time.Second
	e.Tick(now)
	require.Equal(t, []string{"a"}, r.origins)
	n.loads[0] = spread.Load{Origin: "a", Body: body()}
	e.Tick(now)
	require.Equal(t, []string{"a", "a"}, r.origins)
}
