package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// listed are members of which the first few have most capacity.
func seedList(n, large int) []Member {
	list := make([]Member, n)
	for i := range list {
		list[i] = largeClusterMember(i)
		list[i].Capacity = 192
		if i < large {
			list[i].Capacity = 800
		}
	}
	return list
}

// TestFleetThatStartsTogetherKnowsItsLeads guards against duties that many instances take
// for themselves, or give to different ones, in the first seconds after all were lost.
func TestFleetThatStartsTogetherKnowsItsLeads(t *testing.T) {
	const n, large = 90, 8
	list := seedList(n, large)
	b := newSimCluster(t, 0, DefaultConfig())
	order := rand.New(rand.NewPCG(1, 1)).Perm(n)
	var started []*Membership
	for _, i := range order {
		b.now = b.now.Add(3 * time.Millisecond)
		m := New(DefaultConfig(), list[i], rand.New(rand.NewPCG(uint64(i), 1)))
		b.nodes[list[i].Address] = m
		started = append(started, m)
		require.True(t, m.Joining(b.now), "it has no list yet")
		b.deliver(m, m.Seed(b.now, list))
		m.MarkSeedsComplete()
	}
	for range 4 {
		b.now = b.now.Add(100 * time.Millisecond)
		for _, m := range started {
			b.deliver(m, m.Tick(b.now))
		}
	}
	for _, m := range started {
		require.False(t, m.Joining(b.now), m.self.Name)
		for _, lead := range list[:large] {
			x, _ := m.View().Find(lead.Name)
			require.True(t, x.Live() && x.Name != "", "%s doesn't know %s", m.self.Name, lead.Name)
		}
	}
}

// TestJoiningEnds guards against an instance that waits for others which never come.
func TestJoiningEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	start := func(had bool, seeds []Member) *Membership {
		m := New(DefaultConfig(), seedList(1, 0)[0], rand.New(rand.NewPCG(1, 1)))
		require.True(t, m.Joining(now))
		m.Seed(now, seeds)
		if had {
			m.MarkSeedsComplete()
		}
		return m
	}
	require.False(t, start(true, seedList(1, 0)).Joining(now), "it is alone")
	require.False(t, start(true, nil).Joining(now), "it is alone, and its entry not there yet")
	require.True(t, start(false, nil).Joining(now), "the list wasn't had")
	require.False(t, start(false, nil).Joining(now.Add(joinTimeout)))
	m := start(true, seedList(20, 9))
	require.True(t, m.Joining(now))
	for at := now; at.Before(now.Add(joinTimeout)); at = at.Add(50 * time.Millisecond) {
		m.Tick(at)
	}
	require.False(t, m.Joining(now.Add(joinTimeout-time.Millisecond)), "none of them answers")
}
