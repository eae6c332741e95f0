package routing

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/cost"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// After any sequence of lists, reports, digests, failures and leaving signals, a pick never
// returns a target that is leaving, excluded, unfit or unknown, and it fails only if no
// other target is left. A request sent to a leaving target would be cut off; if
// ejections emptied a pool, all requests would be refused.
func TestPickIsAlwaysEligible(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		targets := testTargets(rapid.IntRange(1, 8).Draw(rt, "targets"))
		for i := range targets {
			targets[i].Models = [][]string{nil, {"a"}, {"b"}, {"a", "b"}}[rapid.IntRange(0, 3).Draw(rt, "models")]
			targets[i].DataCentre = rapid.SampledFrom([]string{"dc-0", "dc-1"}).Draw(rt, "dc")
		}
		table := newTable(Config{CostPlacement: rapid.Bool().Draw(rt, "cost placement")}, targets)
		listed := targets
		leaving := map[string]bool{}
		now := start
		rng := newRNG()
		name := func() string { return fmt.Sprintf("t%d", rapid.IntRange(0, 8).Draw(rt, "name")) }
		var inFlight []*Attempt
		rt.Repeat(map[string]func(*rapid.T){
			"wait": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(rt, "ms")) * time.Millisecond)
			},
			"list": func(rt *rapid.T) {
				listed = targets[:rapid.IntRange(0, len(targets)).Draw(rt, "n")]
				table.SetTargets(now, testPool, listed)
			},
			"leaving": func(rt *rapid.T) {
				n := name()
				leaving[n] = true
				table.Leaving(now, n)
			},
			"fail": func(rt *rapid.T) { table.fail(now, name(), rapid.IntRange(1, 4).Draw(rt, "times")) },
			"done": func(rt *rapid.T) {
				if len(inFlight) > 0 {
					outcome := Outcome(rapid.IntRange(0, 4).Draw(rt, "outcome"))
					inFlight[0].Done(now, Result{outcome, time.Second, time.Millisecond})
					inFlight = inFlight[1:]
				}
			},
			"report": func(rt *rapid.T) {
				table.Report(now, name(), Load{Active: rapid.IntRange(0, 9).Draw(rt, "active"), Slowdown: rapid.Float64Range(0, 3).Draw(rt, "slowdown"), Age: time.Second})
			},
			"digest": func(rt *rapid.T) {
				in := rapid.SampledFrom([]uint16{0, 7, Suspected}).Draw(rt, "in")
				table.PeerDigest(now, "i1", []DigestEntry{{HashTarget(name()), in}})
			},
			"pick": func(rt *rapid.T) {
				q := Query{
					Pool:    testPool.Name,
					Model:   rapid.SampledFrom([]string{"", "a"}).Draw(rt, "model"),
					Exclude: []string{name(), name()},
					Rank:    rapid.IntRange(0, 1).Draw(rt, "rank"),
					Prefix:  []PrefixPart{{rapid.SampledFrom([]string{"p", "q"}).Draw(rt, "part"), 100}},
				}
				q.Work = &Work{
					Estimate:     cost.Estimate{Read: time.Millisecond, Total: time.Duration(rapid.IntRange(0, 9999).Draw(rt, "total")) * time.Millisecond},
					PromptTokens: rapid.IntRange(0, 200).Draw(rt, "tokens"), Prefix: q.Prefix,
				}
				eligible := map[string]bool{}
				for _, target := range listed {
					if !leaving[target.Incarnation] && !slices.Contains(q.Exclude, target.Incarnation) && target.Fits(&q) {
						eligible[target.Incarnation] = true
					}
				}
				choice, err := table.Pick(now, rng, q)
				if len(eligible) == 0 {
					var none *NoTargetError
					require.ErrorAs(rt, err, &none)
					require.Equal(rt, len(listed), none.Known)
					return
				}
				require.NoError(rt, err)
				require.True(rt, eligible[choice.Target.Incarnation], choice.Target.Incarnation)
				inFlight = append(inFlight, table.StartedWork(now, choice.Target.Incarnation, q.Work))
			},
		})
	})
}

// A target reports that it is leaving. The platform's list still names it for some time,
// drops it and, when read from a lagging replica, names it again. A request sent to the
// target would be cut off.
func TestLeavingIsSticky(t *testing.T) {
	targets := testTargets(2)
	table := newTable(Config{LeavingRetention: time.Minute}, targets)
	table.Leaving(at(1*time.Second), "t0")
	lists := [][]Target{targets, targets[1:], targets}
	for i, list := range lists {
		now := at(time.Duration(i+2) * time.Second)
		table.SetTargets(now, testPool, list)
		for range 50 {
			require.Equal(t, "t1", table.mustPick(t, now, newRNG(), Query{}).Target.Incarnation)
		}
	}
	// The mark is dropped LeavingRetention after the target was last listed.
	table.SetTargets(at(10*time.Second), testPool, targets[1:])
	table.SetTargets(at(60*time.Second), testPool, targets[1:])
	require.Contains(t, table.leaving, "t0")
	table.SetTargets(at(120*time.Second), testPool, targets[1:])
	require.NotContains(t, table.leaving, "t0")
}

func TestLeavingIsBounded(t *testing.T) {
	table := newTable(Config{}, testTargets(1))
	for i := range maxLeaving + 10 {
		table.leaving[fmt.Sprint(i)] = at(time.Duration(i))
	}
	table.Leaving(at(time.Second), "x")
	require.NotContains(t, table.leaving, "0")
	require.Contains(t, table.leaving, "x")
}

// Local targets are preferred while they are about as free as the others. When they fill
// up, requests go to another data centre before they have to queue.
func TestLocalFirstWithOverflow(t *testing.T) {
	targets := testTargets(4)
	targets[2].DataCentre, targets[3].DataCentre = "dc-1", "dc-1"
	for _, tc := range []struct {
		local, remote int
		want          Reason
	}{{0, 0, ReasonLoad}, {1, 0, ReasonLoad}, {3, 0, ReasonOverflow}, {4, 0, ReasonOverflow}, {8, 9, ReasonLoad}} {
		table := newTable(Config{}, targets)
		for _, target := range targets {
			load := tc.remote
			if target.DataCentre == "dc-0" {
				load = tc.local
			}
			table.Report(start, target.Incarnation, Load{Active: load})
		}
		choice := table.mustPick(t, start, newRNG(), Query{})
		require.Equal(t, tc.want, choice.Reason, "%+v", tc)
		require.Equal(t, tc.want == ReasonOverflow, choice.Target.DataCentre == "dc-1")
	}
}

// A data centre has failed and the list doesn't show it yet. The first attempt went there
// and failed. If the second went there too, it would also fail, and the request has no
// third attempt.
func TestRetryAvoidsTriedDataCentre(t *testing.T) {
	targets := testTargets(6)
	for i := range 3 {
		targets[i].DataCentre = "dc-1"
	}
	pick := func(disabled Mechanism) (sameDataCentre int) {
		table := newTable(Config{Disabled: disabled | MechanismLocalFirst}, targets)
		rng := newRNG()
		for range 200 {
			if table.mustPick(t, start, rng, Query{Exclude: []string{"t0"}}).Target.DataCentre == "dc-1" {
				sameDataCentre++
			}
		}
		return sameDataCentre
	}
	require.Less(t, pick(0), 30)
	require.Greater(t, pick(MechanismRetryElsewhere), 50)
}

// Picks and results run concurrently with updates, for the race detector.
func TestConcurrentUse(t *testing.T) {
	targets := testTargets(6)
	table := newTable(Config{}, targets)
	var all sync.WaitGroup
	for w := range 4 {
		all.Go(func() {
			rng := newRNG()
			for i := range 300 {
				now := at(time.Duration(i) * time.Millisecond)
				choice, err := table.Pick(now, rng, Query{Pool: testPool.Name, Prefix: []PrefixPart{{"p", 10}}})
				if err != nil {
					continue
				}
				attempt := table.Started(now, choice.Target.Incarnation, 1)
				attempt.Done(now, Result{Outcome: Outcome(i % 5), Latency: time.Second, Expected: time.Second})
				attempt.Done(now, Result{})
			}
		})
		all.Go(func() {
			for i := range 60 {
				now := at(time.Duration(i) * time.Millisecond)
				table.SetTargets(now, testPool, targets[:3+i%4])
				table.PeerDigest(now, fmt.Sprint(w), table.Digest(now))
				table.Report(now, "t1", Load{Active: i})
				table.CacheEvent(now, "t2", CacheUpdate{Epoch: 1, Added: []string{"p"}})
				table.Stats(now)
			}
		})
	}
	all.Wait()
	for _, s := range table.Stats(start).Targets {
		require.Zero(t, s.InFlight, s.Incarnation)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 64, 4000} {
		table := newTable(Config{}, testTargets(n))
		rng := newRNG()
		q := Query{Pool: testPool.Name, Prefix: []PrefixPart{{"a", 800}, {"b", 900}}}
		b.Run(fmt.Sprintf("prompt/targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = table.Pick(start, rng, q)
			}
		})
		b.Run(fmt.Sprintf("load/targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = table.Pick(start, rng, Query{Pool: testPool.Name})
			}
		})
	}
}

// BenchmarkState measures the memory of a table for a list of targets that all have a
// prefix table.
func BenchmarkState(b *testing.B) {
	for _, n := range []int{12, 400, 4000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table := newTable(Config{}, testTargets(n))
				for _, target := range table.view.Load().byTarget {
					target.prefixes.add(start.UnixNano(), 1)
				}
			}
		})
	}
}
