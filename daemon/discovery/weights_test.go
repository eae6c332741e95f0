package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Story: an engine is listed and has yet to load the model that its pool
// desires. A request sent there is refused after it has cost the stages before.
// The engine must get none, and a pool in which no engine has the model must
// count as full up front.
func TestAnEngineServesWhatItHasLoaded(t *testing.T) {
	s := &sink{targets: map[string][]routing.Target{}, slots: map[string]int{}}
	d := New(s, s, time.Now)
	snapshot := pools(4)
	snapshot.Pools["a"].Desired = &catalog.DesiredState{Models: []string{"m"}, Adapters: []string{"x"}}
	d.SetSnapshot(snapshot)
	d.SetTargets(targets(6))
	fits := func(pool string, place int, q routing.Query) bool { return s.targets[pool][place].Fits(&q) }
	asked := routing.Query{Model: "m", Adapter: "x"}
	require.False(t, fits("a", 0, asked))
	require.True(t, fits("b", 0, asked), "a pool that desires nothing takes any model")
	require.Equal(t, 0, s.slots["a"])
	require.Equal(t, 8, s.slots["b"])
	d.SetLoaded("a0", []string{"m"}, nil)
	require.True(t, fits("a", 0, routing.Query{Model: "m"}))
	require.False(t, fits("a", 0, asked), "its adapter isn't loaded")
	require.Equal(t, 4, s.slots["a"])
	d.SetLoaded("a0", []string{"m"}, []string{"x"})
	require.True(t, fits("a", 0, asked))
	require.False(t, fits("a", 0, routing.Query{Model: "other"}))
	require.False(t, fits("a", 1, asked))
}
