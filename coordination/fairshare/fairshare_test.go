package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a level that depends on who asks for most, or that leaves capacity unused.
func TestLevel(t *testing.T) {
	cases := []struct {
		name     string
		capacity float64
		demands  []Demand
		want     float64
	}{
		{"nobody", 1, nil, math.Inf(1)},
		{"all fit", 10, []Demand{{4, 1}, {6, 1}}, math.Inf(1)},
		{"one large, one small", 40, []Demand{{110, 1}, {4, 1}}, 36},
		{"alone", 40, []Demand{{110, 1}}, 40},
		{"alike", 30, []Demand{{40, 1}, {40, 1}, {40, 1}}, 10},
		{"weights", 30, []Demand{{40, 2}, {40, 1}}, 10},
		{"a weight that isn't used", 30, []Demand{{4, 10}, {40, 1}, {40, 1}}, 13},
		{"no capacity", 0, []Demand{{1, 1}}, 0},
		{"idle account", 10, []Demand{{0, 1}, {20, 1}}, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Level(c.capacity, c.demands)
			if math.IsInf(c.want, 1) {
				require.True(t, math.IsInf(got, 1), got)
				return
			}
			require.InDelta(t, c.want, got, 1e-9)
		})
	}
}

// Guards against shares that don't add up to the capacity while anyone asks for more.
func TestSharesAddUpToCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Demand {
			return Demand{rapid.Float64Range(0, 1000).Draw(t, "rate"), rapid.Float64Range(0.001, 1000).Draw(t, "weight")}
		})).Draw(t, "demands")
		capacity := rapid.Float64Range(0, 1000).Draw(t, "capacity")
		level := Level(capacity, demands)
		var asked, served float64
		for _, d := range demands {
			asked += d.Rate
			served += min(d.Rate, level*d.Weight)
		}
		require.InDelta(t, min(asked, capacity), served, 1e-6*(1+asked))
	})
}

// Guards against credit for an idle time, against entries that stay and against too many of them.
func TestRates(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRates(time.Second, 3)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		r.Add(now, "steady", 0.02)
	}
	require.InDelta(t, 2, r.Rate(now, "steady"), 0.05)
	require.InDelta(t, 1, r.Rate(now.Add(time.Second), "steady"), 0.05)
	require.InDelta(t, r.Rate(now, "steady"), r.Rate(now.Add(-time.Hour), "steady"), 1e-9, "a clock that steps back")
	for i := range 3 {
		r.Add(now, fmt.Sprint("new", i), 1)
	}
	require.Zero(t, r.Rate(now, "steady"), "the least recent account is removed")
	require.Len(t, r.Demands(now, func(string) float64 { return 1 }), 3)
	r.Prune(now.Add(forgetHalfLives*time.Second - 1))
	require.Len(t, r.Demands(now, func(string) float64 { return 2 }), 3)
	r.Prune(now.Add(forgetHalfLives * time.Second))
	require.Empty(t, r.Demands(now, func(string) float64 { return 1 }))
}
