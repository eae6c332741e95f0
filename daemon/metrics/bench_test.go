package metrics

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/retry"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
	"github.com/ivyhollow/ivyhollow/daemon/retrybudget"
	"github.com/ivyhollow/ivyhollow/state/requests"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// BenchmarkSample measures one sample, which an instance takes each second, with five pools
// of 64 targets each, 10,000 requests in the status table and three tiers.
func BenchmarkSample(b *testing.B) {
	now := time.Now()
	clock := func() time.Time { return now }
	router := routing.New(routing.Config{Instance: "one"})
	gates := gate.NewGroup(gate.GroupConfig{}, clock)
	for p := range 5 {
		pool := fmt.Sprintf("pool-%d", p)
		targets := make([]routing.Target, 64)
		for i := range targets {
			targets[i] = routing.Target{Incarnation: fmt.Sprintf("%s-%d", pool, i), Pool: pool, Slots: 8}
		}
		router.SetTargets(now, routing.Pool{Name: pool}, targets)
		gates.SetCapacity(pool, 512, false)
		for rank := range tiers.MaxRanks {
			gates.TryEnter(pool, gate.Request{Rank: rank, LatestStart: now.Add(time.Hour)})
		}
	}
	status := requests.New(requests.Options{MaxRequests: 20_000, Retention: time.Minute})
	for i := range 10_000 {
		info := requests.Info{ID: fmt.Sprint(i), Tier: fmt.Sprint(i % 3), Deadline: time.Minute, StartedAt: now}
		status.Finish(status.Begin(info), requests.End{State: requests.StateAnswered, At: now})
	}
	s := New(Options{
		Calls:        platform.NewBudget(platform.BudgetOptions{}),
		Gates:        gates,
		Router:       router,
		Status:       status,
		RetryBudgets: retrybudget.New(retry.Config{}),
		Scope:        tally.NewTestScope("", nil),
	})
	b.ReportAllocs()
	for b.Loop() {
		s.Sample(now)
	}
}
