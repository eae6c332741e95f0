package metrics

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/retry"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
	"github.com/ivyhollow/ivyhollow/daemon/retrybudget"
	"github.com/ivyhollow/ivyhollow/state/requests"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// fixedCalls and fixedRoutes are components that return what a test sets.
type (
	fixedCalls  struct{ read platform.ClassStats }
	fixedRoutes struct{ stats routing.Stats }
)

func (c *fixedCalls) Stats() platform.Stats { return platform.Stats{Outage: c.read.NotAdmitted > 0} }

func (c *fixedCalls) ClassStats(class platform.Class) platform.ClassStats {
	if class == platform.ClassRead {
		return c.read
	}
	return platform.ClassStats{}
}

func (r *fixedRoutes) Stats(time.Time) routing.Stats { return r.stats }

// Operators read a counter as a rate: a total that was added again with every sample would
// turn ten ejections into ten per second. The gauges of a deleted pool are 0 instead of its
// last number of targets, and an instance without new requests drops expired ones.
func TestSamplesMatchComponents(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	scope := tally.NewTestScope("", nil)
	calls := &fixedCalls{read: platform.ClassStats{Sent: 9, Limited: 2, Failed: 3, NotAdmitted: 4, Rate: 50}}
	routes := &fixedRoutes{stats: routing.Stats{Ejections: 10, Targets: []routing.TargetStats{
		{Pool: "a", Leaving: true, Ejected: true}, {Pool: "a", Ejected: true}, {Pool: "a"}, {Pool: "b"},
	}}}
	gates := gate.NewGroup(gate.GroupConfig{}, func() time.Time { return now })
	gates.SetCapacity("a", 1, false)
	_, ok := gates.TryEnter("a", gate.Request{Rank: 2, LatestStart: now.Add(time.Minute)})
	require.True(t, ok)
	status := requests.New(requests.Options{MaxRequests: 4, Retention: time.Minute})
	status.Finish(status.Begin(requests.Info{ID: "r", Tier: "gold", Deadline: time.Second, StartedAt: now}),
		requests.End{State: requests.StateFailed, At: now})
	extra := retrybudget.New(retry.Config{})
	for range 5 {
		extra.TakeHedge(now, "p")
	}
	s := New(Options{Calls: calls, Gates: gates, Router: routes, Status: status, RetryBudgets: extra, Scope: scope})
	s.Sample(now)
	s.Sample(now)
	counter := func(name string) int64 { return scope.Snapshot().Counters()[name].Value() }
	gauge := func(name string) float64 { return scope.Snapshot().Gauges()[name].Value() }
	want := map[string]int64{
		"extra_attempts+kind=hedge,result=paid":       2,
		"extra_attempts+kind=hedge,result=refused":    3,
		"extra_attempts+kind=retry,result=paid":       0,
		"platform_calls+kind=read,result=answered":    4,
		"platform_calls+kind=read,result=limited":     2,
		"platform_calls+kind=read,result=failed":      3,
		"platform_calls+kind=read,result=held":        4,
		"routing_ejections+":                          10,
		"deadline_requests+result=missed,tier=gold":   1,
		"deadline_requests+result=attained,tier=gold": 0,
		"gate_refused+pool=a,reason=too_late":         0,
	}
	for name, value := range want {
		require.Equal(t, value, counter(name), name)
	}
	require.Equal(t, [3]float64{50, 1, 1}, [3]float64{gauge("platform_rate+kind=read"), gauge("platform_outage+"), gauge("status_requests+")})
	for _, state := range []string{"ready", "ejected", "leaving"} {
		require.Equal(t, 1.0, gauge("routing_targets+pool=a,state="+state), state)
	}
	require.Equal(t, 1.0, gauge("gate_in_flight+pool=a,rank=2"))
	names := slices.Collect(maps.Keys(scope.Snapshot().Gauges()))
	require.NotContains(t, names, "gate_in_flight+pool=a,rank=1", "a rank that was never used has no series")

	routes.stats.Ejections++
	routes.stats.Targets = routes.stats.Targets[:3]
	s.Sample(now.Add(time.Hour))
	require.EqualValues(t, 11, counter("routing_ejections+"))
	require.Equal(t, 0.0, gauge("routing_targets+pool=b,state=ready"))
	require.Equal(t, 0.0, gauge("status_requests+"))
}
