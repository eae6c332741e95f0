package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// seedList returns members of which the first few have the highest capacity.
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

// After all instances failed and start together, each must know the priority seeds within
// a few hundred milliseconds. Otherwise many would perform singleton duties themselves or
// assign them to different instances.
func TestSimultaneousStartLearnsPrioritySeeds(t *testing.T) {
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
		require.True(t, m.Joining(b.now), "no list received yet")
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
		for _, seed := range list[:large] {
			x, _ := m.View().Find(seed.Name)
			require.True(t, x.Live() && x.Name != "", "%s does not know %s", m.self.Name, seed.Name)
		}
	}
}

// An instance must not wait for ever for others that never start.
func TestJoiningIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	start := func(complete bool, seeds []Member) *Membership {
		m := New(DefaultConfig(), seedList(1, 0)[0], rand.New(rand.NewPCG(1, 1)))
		require.True(t, m.Joining(now))
		m.Seed(now, seeds)
		if complete {
			m.MarkSeedsComplete()
		}
		return m
	}
	require.False(t, start(true, seedList(1, 0)).Joining(now), "the only listed instance")
	require.False(t, start(true, nil).Joining(now), "the only instance, not listed yet")
	require.True(t, start(false, nil).Joining(now), "no list received")
	require.False(t, start(false, nil).Joining(now.Add(joinTimeout)))
	m := start(true, seedList(20, 9))
	require.True(t, m.Joining(now))
	for at := now; at.Before(now.Add(joinTimeout)); at = at.Add(50 * time.Millisecond) {
		m.Tick(at)
	}
	require.False(t, m.Joining(now.Add(joinTimeout-time.Millisecond)), "no priority seed responds")
}
