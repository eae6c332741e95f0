package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000_000, 0)

var testPool = Pool{Name: "engines", Objective: catalog.ObjectiveAttainment, EjectionFloor: 0.5}

func at(d time.Duration) time.Time { return start.Add(d) }

func newRNG() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func testTargets(n int) []Target {
	targets := make([]Target, n)
	for i := range targets {
		name := fmt.Sprintf("t%d", i)
		targets[i] = Target{Incarnation: name, Pool: testPool.Name, Address: name, DataCentre: "dc-0", Slots: 4}
	}
	return targets
}

func newTable(c Config, targets []Target) *Table {
	c.Instance, c.LocalDataCentre = "i0", "dc-0"
	t := New(c)
	t.SetTargets(start, testPool, targets)
	return t
}

func (t *Table) mustPick(tb testing.TB, now time.Time, rng *rand.Rand, q Query) Choice {
	tb.Helper()
	q.Pool = testPool.Name
	choice, err := t.Pick(now, rng, q)
	require.NoError(tb, err)
	return choice
}

// shares sends n requests at intervals of 10 ms, ends each with the result that the
// function returns for its target, and counts the requests by target.
func (t *Table) shares(tb testing.TB, from time.Time, n int, q Query, result func(string) Result) map[string]int {
	tb.Helper()
	rng := newRNG()
	type end struct {
		at      time.Time
		attempt *Attempt
		result  Result
	}
	var inFlight []end
	counts := map[string]int{}
	for i := range n {
		now := from.Add(time.Duration(i) * 10 * time.Millisecond)
		kept := inFlight[:0]
		for _, e := range inFlight {
			if e.at.After(now) {
				kept = append(kept, e)
				continue
			}
			e.attempt.Done(e.at, e.result)
		}
		inFlight = kept
		name := t.mustPick(tb, now, rng, q).Target.Incarnation
		counts[name]++
		r := result(name)
		inFlight = append(inFlight, end{now.Add(r.Latency), t.Started(now, name, 1), r})
	}
	for _, e := range inFlight {
		e.attempt.Done(e.at, e.result)
	}
	return counts
}

func healthyResult(string) Result {
	return Result{Latency: 100 * time.Millisecond, Expected: 100 * time.Millisecond}
}

func (t *Table) fail(now time.Time, name string, times int) {
	for range times {
		t.Started(now, name, 1).Done(now, Result{Outcome: OutcomeFailed})
	}
}

func (t *Table) target(name string) *targetView { return t.view.Load().byTarget[name] }
