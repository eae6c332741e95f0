package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/cost"
)

// simSeeds is the number of plays of each load.
const simSeeds = 6

// play plays a load with each seed, and returns the means of the share in time, of the ninth decile,
// of the work of the busiest engine, and of the tokens read.
func play(t *testing.T, f fleet) (share float64, p90 time.Duration, busiest, read float64) {
	t.Helper()
	if f.instances == 0 {
		f.instances = 3
	}
	for seed := range uint64(simSeeds) {
		g := f
		g.run(seed)
		require.Equal(t, g.sent, g.answered, "each request is answered")
		s, p := g.inTime()
		share, p90, busiest, read = share+s/simSeeds, p90+p/simSeeds, busiest+g.busiest()/simSeeds, read+float64(g.read)/simSeeds
	}
	t.Logf("share %.3f, p90 %v, busiest %.2f, read %.0f", share, p90.Round(time.Millisecond), busiest, read)
	return share, p90, busiest, read
}

const simDigest = time.Second

// Fails if light requests wait behind heavy ones while other engines have free slots.
func TestLightRequestsFindFreeSlots(t *testing.T) {
	for _, c := range []struct {
		name     string
		f        fleet
		required float64
	}{
		{"small part in common, true estimates", fleet{shared: 200, hints: "true"}, 0.95},
		{"a tenth of the estimates far off", fleet{shared: 200, hints: "tenth"}, 0.9},
		{"no estimates", fleet{shared: 200}, 0.85},
		{"nothing in common, no estimates", fleet{}, 0.9},
		{"two engines twice as slow", fleet{shared: 200, slow: 2}, 0.9},
		{"two slow engines that state it", fleet{shared: 200, slow: 2, report: true}, 0.9},
		{"plain", fleet{plain: true}, 0.9},
		{"plain, ten instances", fleet{plain: true, instances: 10}, 0.9},
		{"ten instances", fleet{shared: 200, instances: 10}, 0.9},
		{"estimates wrong by ten times", fleet{shared: 200, hints: "tenfold"}, 0.85},
		{"one instance cut off", fleet{shared: 200, cutOff: true}, 0.9},
		{"no digests at all", fleet{shared: 200, digestEvery: -1}, 0.85},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.f.load, c.f.cost = 0.64, true
			if c.f.digestEvery == 0 {
				c.f.digestEvery = simDigest
			}
			share, _, busiest, _ := play(t, c.f)
			assert.GreaterOrEqual(t, share, c.required)
			if c.f.slow == 0 && c.f.digestEvery > 0 {
				assert.Less(t, busiest, 1.3)
			}
		})
	}
}

// Fails if the play doesn't show what the placement by cost is for: the load would prove nothing.
func TestPlacementByHomeQueuesAtTheHome(t *testing.T) {
	share, p90, _, _ := play(t, fleet{shared: 200, load: 0.64})
	assert.Less(t, share, 0.7)
	assert.Greater(t, p90, time.Second)
	share, _, _, _ = play(t, fleet{load: 0.64})
	assert.InDelta(t, 0.87, share, 0.04)
}

// Fails if requests leave the engines that have the long shared parts of their prompts, so that these
// parts are read again, while the engines aren't loaded.
func TestLongSharedPartsAreNotReadAgain(t *testing.T) { playSharedParts(t, 0.1) }

// The same while homes are full at times.
func TestLongSharedPartsAreNotReadAgainUnderLoad(t *testing.T) { playSharedParts(t, 0.3) }

func playSharedParts(t *testing.T, load float64) {
	f := fleet{shared: 1000, sessions: 60, load: load}
	_, _, _, before := play(t, f)
	f.cost, f.digestEvery = true, simDigest
	share, _, _, after := play(t, f)
	assert.LessOrEqual(t, after, before)
	assert.Greater(t, share, 0.99)
}

// Fails if a target that was slow gets fewer requests for good, or is not noticed while it is slow.
func TestSlowEngineRecovers(t *testing.T) {
	f := fleet{instances: 3, shared: 200, load: 0.64, cost: true, digestEvery: simDigest, slow: 2, recoverAt: 6 * time.Second}
	f.run(1)
	assert.Less(t, f.busiest(), 1.3, "in the ten seconds after the recovery")
	table := newTable(Config{CostPlacement: true}, testTargets(2))
	w := &Work{Estimate: cost.Estimate{Median: 100 * time.Millisecond, Total: 100 * time.Millisecond}}
	now := start
	end := func(took time.Duration, n int) float64 {
		for range n {
			a := table.StartedWork(now, "t0", w)
			now = now.Add(took)
			a.Done(now, Result{Latency: took})
		}
		return table.target("t0").costs.slowdown.read(now.UnixNano())
	}
	assert.InDelta(t, 2, end(200*time.Millisecond, 40), 0.4)
	assert.Equal(t, 1.0, end(100*time.Millisecond, 12))
}

// Fails if a request whose end isn't reported counts for good, or its late end is counted twice.
func TestLostEndExpires(t *testing.T) {
	table := newTable(Config{CostPlacement: true}, testTargets(2))
	w := &Work{Estimate: cost.Estimate{Total: time.Second}}
	lost := table.StartedWork(start, "t0", w)
	for range 4 {
		table.StartedWork(start, "t0", w)
	}
	pick := func(now time.Time) { table.mustPick(t, now, newRNG(), Query{Work: w}) }
	pick(at(9 * time.Second))
	require.Equal(t, 5.0, table.target("t0").ownLoad())
	pick(at(11 * time.Second))
	require.Zero(t, table.target("t0").ownLoad())
	lost.Done(at(12*time.Second), Result{})
	require.Zero(t, table.target("t0").ownLoad())
}

// Fails if the work of an engine's earlier incarnation counts for the one that replaces it.
func TestRestartedEngineHasNoWork(t *testing.T) {
	targets := testTargets(2)
	targets[0].Name = "t0"
	table := newTable(Config{CostPlacement: true}, targets)
	w := &Work{Estimate: cost.Estimate{Total: 5 * time.Second}}
	var old *Attempt
	for range 20 {
		old = table.StartedWork(start, "t0", w)
	}
	targets[0].Incarnation = "t0@2"
	table.SetTargets(start, testPool, targets)
	require.Zero(t, table.target("t0@2").work(start.UnixNano(), table, 0).Wait())
	old.Done(at(time.Second), Result{Outcome: OutcomeFailed})
	require.Zero(t, table.target("t0@2").ownLoad())
}

// Fails if one of the figures that make up the cost of a target doesn't count.
func TestCostOfTarget(t *testing.T) {
	for _, c := range []struct {
		name   string
		query  Query
		change func(*Table, []Target)
	}{
		{name: "slots taken", change: func(table *Table, _ []Target) {
			for range 4 {
				table.StartedWork(start, "t0", &Work{Estimate: cost.Estimate{Total: time.Second}})
			}
		}},
		{name: "longer work of fewer requests", change: func(table *Table, _ []Target) {
			for i := range 9 {
				total := 50 * time.Millisecond
				if i < 4 {
					total = time.Second
				}
				table.StartedWork(start, []string{"t0", "t1"}[min(i/4, 1)], &Work{Estimate: cost.Estimate{Total: total}})
			}
		}},
		{name: "queue where a part is cached", change: func(table *Table, _ []Target) {
			for range 4 {
				table.StartedWork(start, "t0", &Work{Estimate: cost.Estimate{Total: time.Second}, PromptTokens: 900, Prefix: []PrefixPart{{"a", 900}}})
			}
		}},
		{name: "reported requests", change: func(table *Table, _ []Target) { table.Report(start, "t0", Load{Active: 4, Queued: 3}) }},
		{name: "peers' requests", change: func(table *Table, _ []Target) {
			table.PeerDigest(start, "i1", []DigestEntry{{HashTarget("t0"), 5}})
		}},
		{name: "reported slowdown", change: func(table *Table, _ []Target) { table.Report(start, "t0", Load{Slowdown: 2.5}) }},
		{name: "memory", change: func(table *Table, targets []Target) {
			targets[0].Memory = 500
			table.SetTargets(start, testPool, targets)
		}},
		{name: "other data centre", change: func(table *Table, targets []Target) {
			targets[0].DataCentre = "dc-9"
			table.SetTargets(start, testPool, targets)
		}},
		{name: "cached part elsewhere", change: func(table *Table, _ []Target) {
			table.StartedWork(start, "t1", &Work{PromptTokens: 1000, Prefix: []PrefixPart{{"a", 900}, {"x", 100}}}).Done(start, Result{})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			targets := testTargets(2)
			table := newTable(Config{CostPlacement: true}, targets)
			c.change(table, targets)
			w := &Work{
				Estimate:     cost.Estimate{Read: 50 * time.Millisecond, Total: time.Second, Memory: 1000},
				PromptTokens: 1000, Prefix: []PrefixPart{{"a", 900}, {"own", 100}},
			}
			rng := newRNG()
			for range 20 {
				require.Equal(t, "t1", table.mustPick(t, start, rng, Query{Work: w}).Target.Incarnation)
			}
		})
	}
}

// Fails if the settings alone, without a predicted cost, change a choice.
func TestCostPlacementWithoutCostsChangesNothing(t *testing.T) {
	a, b := newTable(Config{}, testTargets(8)), newTable(Config{CostPlacement: true}, testTargets(8))
	rngA, rngB := newRNG(), newRNG()
	for i := range 300 {
		q := Query{HomeKey: []string{"", "x", "y"}[i%3]}
		x, y := a.mustPick(t, start, rngA, q), b.mustPick(t, start, rngB, q)
		require.Equal(t, x, y)
		a.Started(start, x.Target.Incarnation, 1)
		b.StartedWork(start, y.Target.Incarnation, nil)
	}
}
