package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// An engine is listed before it has loaded the model that its pool desires. A request sent
// there would be refused after its earlier stages have run. The engine must get none, and a
// pool in which no engine has the model must have no capacity.
func TestEngineServesOnlyLoadedWeights(t *testing.T) {
	s := &sink{targets: map[string][]routing.Target{}, slots: map[string]int{}}
	d := New(s, s, time.Now)
	snapshot := pools(4)
	snapshot.Pools["a"].Desired = &catalog.DesiredState{Models: []string{"m"}, Adapters: []string{"x"}}
	d.SetSnapshot(snapshot)
	d.SetTargets(targets(6))
	fits := func(pool string, index int, q routing.Query) bool { return s.targets[pool][index].Fits(&q) }
	query := routing.Query{Model: "m", Adapter: "x"}
	require.False(t, fits("a", 0, query))
	require.True(t, fits("b", 0, query), "a pool without a desired state serves any model")
	require.Equal(t, 0, s.slots["a"])
	require.Equal(t, 8, s.slots["b"])
	d.SetLoaded("a0", []string{"m"}, nil)
	require.True(t, fits("a", 0, routing.Query{Model: "m"}))
	require.False(t, fits("a", 0, query), "its adapter isn't loaded")
	require.Equal(t, 4, s.slots["a"])
	d.SetLoaded("a0", []string{"m"}, []string{"x"})
	require.True(t, fits("a", 0, query))
	require.False(t, fits("a", 0, routing.Query{Model: "other"}))
	require.False(t, fits("a", 1, query))
}
