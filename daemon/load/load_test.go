package load

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
	"github.com/ivyhollow/ivyhollow/protocol/loadwire"
)

// net is a cluster of one peer: it takes this instance's digest within the
// bound of the spread, as the spread does.
type net struct {
	sent  []byte
	loads []spread.Load
}

func (n *net) SendDigest(body []byte) {
	if len(body) <= spread.DefaultConfig().MaxLoadBody {
		n.sent = body
	}
}

func (n *net) Loads() []spread.Load { return n.loads }

// router records the origins whose digests were taken in.
type router struct {
	own   []routing.DigestEntry
	taken []string
}

func (r *router) Digest(time.Time) []routing.DigestEntry { return r.own }

func (r *router) PeerDigest(_ time.Time, origin string, _ []routing.DigestEntry) {
	r.taken = append(r.taken, origin)
}

// Ten pools are busy and a hundred targets have work: clerks wait, and batch
// work must make room on all instances. A digest longer than the spread takes
// is dropped without a word, and every instance would count itself alone.
func TestBusyInstanceIsHeard(t *testing.T) {
	gates := gate.NewGroup(tiers.Config{}, time.Now)
	r := &router{}
	for i := range 10 {
		pool := fmt.Sprint("pool-", i)
		gates.SetCapacity(pool, 100)
		for rank := range 3 {
			_, ok := gates.TryEnter(pool, gate.Request{Rank: rank, LatestStart: time.Now().Add(time.Hour)})
			require.True(t, ok)
		}
	}
	for i := range 100 {
		r.own = append(r.own, routing.DigestEntry{TargetHash: uint32(i), InFlight: 9})
	}
	n := &net{}
	New("self", n, r, gates, func() int { return 2 }).Round(time.Now())
	digest, err := loadwire.Decode(n.sent)
	require.NoError(t, err)
	require.NotEmpty(t, digest.Targets)
	heard := 0
	for i := range 10 {
		if load, _ := digest.Pool(fmt.Sprint("pool-", i)); load.Ranks[0].InFlight == 1 {
			heard++
		}
	}
	require.GreaterOrEqual(t, heard, 5)
}

// Hundreds of digests are held for seconds while a few a second are new. Each
// is taken in once, also when only its age has changed; one past its use isn't.
func TestEachDigestIsTakenInOnce(t *testing.T) {
	body := func() []byte {
		b, err := loadwire.Encode(loadwire.Digest{}, maxBody)
		require.NoError(t, err)
		return b
	}
	n, r := &net{}, &router{}
	e := New("self", n, r, gate.NewGroup(tiers.Config{}, time.Now), func() int { return 4 })
	now := time.Unix(1000, 0)
	n.loads = []spread.Load{{Origin: "a", Body: body()}, {Origin: "self", Body: body()}, {Origin: "old", Age: digestTTL + 1, Body: body()}}
	e.Round(now)
	n.loads[0].Age = time.Second
	e.Round(now)
	require.Equal(t, []string{"a"}, r.taken)
	n.loads[0] = spread.Load{Origin: "a", Body: body()}
	e.Round(now)
	require.Equal(t, []string{"a", "a"}, r.taken)
}
