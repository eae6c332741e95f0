package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a rule of the choice that ignores the software version: whatever the rule, a query with a
// version gets a target of that version or none.
func TestPickKeepsToTheVersion(t *testing.T) {
	now := time.Unix(1_000, 0)
	table := New(Config{LocalDataCentre: "x"})
	table.SetTargets(now, Pool{Name: "engines", EjectionFloor: 0.5}, []Target{
		{Incarnation: "a", Name: "a", Pool: "engines", DataCentre: "x", Slots: 8, Version: "v1"},
		{Incarnation: "b", Name: "b", Pool: "engines", DataCentre: "y", Slots: 8, Version: "v1"},
		{Incarnation: "c", Name: "c", Pool: "engines", DataCentre: "x", Slots: 8, Version: "v2"},
		{Incarnation: "d", Name: "d", Pool: "engines", DataCentre: "y", Slots: 8, Version: "v2"},
	})
	for range 20 { // ejects both targets of v1
		for _, name := range []string{"a", "b"} {
			table.Started(now, name, 1).Done(now, Result{Outcome: OutcomeFailed})
		}
	}
	queries := map[string]Query{
		"by load":      {},
		"by home":      {HomeKey: "k"},
		"by prefix":    {Prefix: []PrefixPart{{ID: "p", Tokens: 100}}},
		"preferred":    {Preferred: "c"},
		"granted":      {Only: "a"},
		"not granted":  {Only: "c"},
		"one excluded": {Exclude: []string{"a"}},
		"all excluded": {Exclude: []string{"a", "b"}},
	}
	for name, q := range queries {
		t.Run(name, func(t *testing.T) {
			q.Pool, q.Version = "engines", "v1"
			for n := range 200 {
				rng := rand.New(rand.NewPCG(1, uint64(n)))
				choice, err := table.Pick(now.Add(time.Duration(n)*10*time.Millisecond), rng, q)
				if err == nil {
					require.Equal(t, "v1", choice.Target.Version)
					continue
				}
				require.Contains(t, []string{"not granted", "all excluded"}, name)
			}
		})
	}
	require.ElementsMatch(t, []string{"c", "d"}, table.OtherVersions("engines", "v1"))
	require.False(t, table.Serves(&Query{Pool: "engines", Version: "v1", Exclude: []string{"a", "b"}}))
	require.True(t, table.Serves(&Query{Pool: "engines", Version: "v1", Exclude: []string{"a"}}))
}
