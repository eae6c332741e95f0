package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/cost"
)

// explainCases are ways to choose a target, each with a query.
var explainCases = map[string]struct {
	config Config
	query  Query
}{
	"load":   {Config{}, Query{}},
	"prefix": {Config{}, Query{Prefix: []PrefixPart{{"a", 500}, {"own", 10}}}},
	"home":   {Config{}, Query{HomeKey: "a"}},
	"cost": {Config{CostPlacement: true}, Query{HomeKey: "a", Work: &Work{
		Estimate:     cost.Estimate{Read: 50 * time.Millisecond, Total: 200 * time.Millisecond, Median: 200 * time.Millisecond, Memory: 600},
		PromptTokens: 510, Prefix: []PrefixPart{{"a", 500}, {"own", 10}},
	}}},
}

// busyTable returns a table with reports, digests, ejections of which one is over, a target that has just
// been added, one that leaves, and work whose end is overdue.
func busyTable(c Config) (*Table, time.Time) {
	table := newTable(c, testTargets(7))
	table.Started(at(0), "t0", 1)
	table.StartedWork(at(0), "t0", explainCases["cost"].query.Work)
	table.Report(at(10*time.Second), "t1", Load{Active: 3, Queued: 2, Slowdown: 2})
	table.PeerDigest(at(10*time.Second), "peer", []DigestEntry{{HashTarget("t2"), 4}})
	table.Leaving(at(10*time.Second), "t3")
	table.fail(at(8*time.Second), "t4", 2)
	table.fail(at(10*time.Second), "t5", 2)
	table.SetTargets(at(10*time.Second), testPool, testTargets(8))
	return table, at(10*time.Second + 500*time.Millisecond)
}

// Fails if a query claims a probe, uses a random number, removes overdue work, or changes anything
// else that the next decisions depend on, or if it answers something other than the next decision.
func TestExplainPredictsPicksAndChangesNothing(t *testing.T) {
	for name, c := range explainCases {
		t.Run(name, func(t *testing.T) {
			c.query.Pool = testPool.Name
			asked, now := busyTable(c.config)
			left, _ := busyTable(c.config)
			for i := range uint64(40) {
				now = now.Add(100 * time.Millisecond)
				c.query.Rank = int(i) % 2
				before := asked.Stats(now)
				e := asked.Explain(now, rand.New(rand.NewPCG(i, 0)), c.query)
				require.Equal(t, before, asked.Stats(now))
				require.NoError(t, e.Err)
				require.Equal(t, e, asked.Explain(now, rand.New(rand.NewPCG(i, 0)), c.query))
				choice := asked.mustPick(t, now, rand.New(rand.NewPCG(i, 0)), c.query)
				require.Equal(t, left.mustPick(t, now, rand.New(rand.NewPCG(i, 0)), c.query), choice)
				require.Equal(t, left.Stats(now), asked.Stats(now))
				require.Equal(t, choice.Reason, e.Reason)
				for _, target := range e.Targets {
					require.Equal(t, target.Target.Incarnation == choice.Target.Incarnation, target.Chosen)
				}
				for _, table := range []*Table{asked, left} {
					table.StartedWork(now, choice.Target.Incarnation, c.query.Work)
				}
			}
		})
	}
}

// Fails if a target is missing from an explanation, or has a wrong reason for being passed over or wrong
// terms.
func TestExplainNamesStatesAndTerms(t *testing.T) {
	for name, c := range explainCases {
		t.Run(name, func(t *testing.T) {
			c.query.Pool = testPool.Name
			table, now := busyTable(c.config)
			_ = table.mustPick(t, now, newRNG(), Query{Rank: 1}) // sends the probe of t4
			e := table.Explain(now, newRNG(), c.query)
			require.Len(t, e.Targets, 8)
			states := map[string]TargetState{}
			order := -1.0
			for _, x := range e.Targets {
				states[x.Target.Incarnation] = x.State
				require.Equal(t, 500*time.Millisecond, x.Age)
				if x.State == StateLeaving {
					require.Nil(t, x.Cost)
					require.Nil(t, x.Score)
					continue
				}
				require.Equal(t, c.config.CostPlacement, x.Cost != nil)
				sum := 0.0
				if x.Cost != nil {
					sum = x.Cost.Seconds()
				} else {
					sum = x.Score.Score()
				}
				require.GreaterOrEqual(t, sum, order, "in order of increasing cost")
				order = sum
			}
			require.Equal(t, StateLeaving, states["t3"])
			require.Equal(t, StateProbeDue, states["t4"])
			require.Equal(t, StateEjected, states["t5"])
		})
	}
}

// Fails if an explanation of a large pool isn't bounded, or lacks the target that is chosen.
func TestExplainIsBounded(t *testing.T) {
	table := newTable(Config{SubsetSize: 200}, testTargets(200))
	e := table.Explain(start, newRNG(), Query{Pool: testPool.Name, Preferred: "t99"})
	require.Len(t, e.Targets, MaxExplained)
	require.Equal(t, 200-MaxExplained, e.Omitted)
	require.True(t, e.Targets[MaxExplained-1].Chosen)
	require.Equal(t, "t99", e.Targets[MaxExplained-1].Target.Incarnation)
}

// Fails if a query about a pool without a usable target isn't answered by the refusal.
func TestExplainWithoutTarget(t *testing.T) {
	table := newTable(Config{}, testTargets(1))
	var none *NoTargetError
	require.ErrorAs(t, table.Explain(start, newRNG(), Query{Pool: "unknown"}).Err, &none)
	table.Leaving(start, "t0")
	e := table.Explain(start, newRNG(), Query{Pool: testPool.Name})
	require.ErrorAs(t, e.Err, &none)
	require.Equal(t, StateLeaving, e.Targets[0].State)
	require.Zero(t, table.Stats(start).Refused)
}
