package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// sink records what is passed to the router and the gates.
type sink struct {
	sets    []string
	targets map[string][]routing.Target
	leaving []string
	slots   map[string]int
}

func (s *sink) SetTargets(_ time.Time, pool routing.Pool, targets []routing.Target) {
	s.sets = append(s.sets, pool.Name)
	s.targets[pool.Name] = targets
}

func (s *sink) Leaving(_ time.Time, incarnation string) { s.leaving = append(s.leaving, incarnation) }

func (s *sink) SetCapacity(pool string, slots int, _ bool) { s.slots[pool] = slots }

func pools(slots int) *catalog.Snapshot {
	s := &catalog.Snapshot{Pools: map[string]*catalog.Pool{}}
	for _, name := range []string{"a", "b", "c"} {
		s.Pools[name] = &catalog.Pool{Name: name, Kind: catalog.KindEngine, Slots: 4}
	}
	s.Pools["c"].Slots = slots
	return s
}

func targets(n int) []platformapi.TargetEntry {
	var list []platformapi.TargetEntry
	for i := range n {
		pool := string(rune('a' + i%3))
		list = append(list, platformapi.TargetEntry{Pool: pool, Incarnation: fmt.Sprint(pool, i), State: platformapi.TargetReady})
	}
	return list
}

// A data centre fails: the list changes hundreds of times in a second, one target at a
// time, and most pools don't change. Each change must reach the router, and no other pool
// may be ranked again for it.
func TestOnlyChangedPoolsArePublished(t *testing.T) {
	var s *sink
	var d *Discovery
	list := targets(9)
	start := func() {
		s = &sink{targets: map[string][]routing.Target{}, slots: map[string]int{}}
		d = New(s, s, time.Now)
		d.SetSnapshot(pools(4))
		d.SetTargets(list)
		s.sets = nil
	}
	cases := map[string]struct {
		change func()
		want   []string
	}{
		"nothing":             {func() { d.SetTargets(targets(9)); d.SetSnapshot(pools(4)) }, nil},
		"a target is removed": {func() { d.SetTargets(list[:8]) }, []string{"c"}},
		"a target leaves": {func() {
			changed := targets(9)
			changed[0].State = platformapi.TargetLeaving
			d.SetTargets(changed)
		}, []string{"a"}},
		"a record changes":      {func() { d.SetSnapshot(pools(5)) }, []string{"c"}},
		"an engine has a model": {func() { d.SetLoaded("b1", []string{"m"}, nil) }, []string{"b"}},
		"the same model again": {func() {
			d.SetLoaded("b1", []string{"m"}, nil)
			d.SetLoaded("b1", []string{"m"}, nil)
		}, []string{"b"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			start()
			c.change()
			require.Equal(t, c.want, s.sets)
		})
	}
	start()
	d.SetLoaded("b1", []string{"m"}, []string{"x"})
	require.Equal(t, []string{"x"}, s.targets["b"][0].Adapters)
	leaving := targets(9)
	leaving[0].State = platformapi.TargetLeaving
	d.SetTargets(leaving)
	require.Equal(t, []string{"a0"}, s.leaving)
	require.Equal(t, 8, s.slots["a"])
}
