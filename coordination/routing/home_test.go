package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func homeTable(instance string, n int) *Table {
	table := New(Config{Instance: instance})
	var targets []Target
	for i := range n {
		targets = append(targets, Target{
			Incarnation: fmt.Sprintf("t%d", i), Pool: "p", DataCentre: fmt.Sprintf("dc%d", i%3), Slots: 8,
		})
	}
	table.SetTargets(time.Unix(1000, 0), Pool{Name: "p", EjectionFloor: 0.5}, targets)
	return table
}

func pickHome(t *testing.T, table *Table, home string, shares map[string]float64) Target {
	choice, err := table.Pick(time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2)), Query{Pool: "p", HomeKey: home, HomeShares: shares})
	require.NoError(t, err)
	return choice.Target
}

// Several instances serve requests for the same subjects. All must send a subject to the
// same engine, or its prompt is read at several engines.
func TestInstancesAgreeOnHomes(t *testing.T) {
	a, b := homeTable("a", 12), homeTable("b", 12)
	used := map[string]int{}
	for i := range 600 {
		home := fmt.Sprint("subject", i)
		require.Equal(t, pickHome(t, a, home, nil), pickHome(t, b, home, nil))
		used[pickHome(t, a, home, nil).Incarnation]++
	}
	require.Len(t, used, 12)
	for name, n := range used {
		require.InDelta(t, 50, n, 25, name)
	}
}

// When an engine is removed, only its own subjects get a new home.
func TestOnlyHomesOfRemovedTargetMove(t *testing.T) {
	before, after := homeTable("a", 12), homeTable("a", 11)
	for i := range 300 {
		home := fmt.Sprint("subject", i)
		if old := pickHome(t, before, home, nil); old.Incarnation != "t11" {
			require.Equal(t, old, pickHome(t, after, home, nil))
		}
	}
}

// While an engine is overloaded, its subjects are served elsewhere.
func TestOverloadedHomeIsPassedOver(t *testing.T) {
	table := homeTable("a", 12)
	home := pickHome(t, table, "subject", nil)
	for range 3 * home.Slots {
		table.Started(time.Unix(1000, 0), home.Incarnation, 1)
	}
	require.NotEqual(t, home, pickHome(t, table, "subject", nil))
}

// Half of the large inputs are produced in one of three data centres. Half of the homes
// are placed there, so that these inputs stay within their data centre.
func TestHomesFollowShares(t *testing.T) {
	table := homeTable("a", 12)
	count := map[string]int{}
	for i := range 1000 {
		shares := map[string]float64{"dc0": 0.5, "dc1": 0.25, "dc2": 0.25}
		count[pickHome(t, table, fmt.Sprint("subject", i), shares).DataCentre]++
	}
	require.InDelta(t, 500, count["dc0"], 80)
	require.InDelta(t, 250, count["dc1"], 70)
	require.InDelta(t, 250, count["dc2"], 70)
}

// An engine restarts under its name with an empty cache. Only the subjects that have
// their home there are read again. If homes depended on the incarnation, these subjects
// would move to other engines, as many subjects of other engines would move to the
// restarted one, and all of them would be read again.
func TestRestartedTargetKeepsItsHomes(t *testing.T) {
	now := time.Unix(1000, 0)
	named := func(incarnation func(i int) string) []Target {
		targets := make([]Target, 12)
		for i := range targets {
			targets[i] = Target{Incarnation: incarnation(i), Name: fmt.Sprint("t", i), Pool: "p", DataCentre: "x", Slots: 8}
		}
		return targets
	}
	table := New(Config{Instance: "a", LocalDataCentre: "x"})
	pool := Pool{Name: "p", EjectionFloor: 0.5}
	table.SetTargets(now, pool, named(func(i int) string { return fmt.Sprintf("t%d@100", i) }))
	before := map[string]string{}
	for i := range 300 {
		home := fmt.Sprint("subject", i)
		before[home] = pickHome(t, table, home, nil).Name
	}
	table.SetTargets(now, pool, named(func(i int) string {
		if i == 3 {
			return "t3@200"
		}
		return fmt.Sprintf("t%d@100", i)
	}))
	later := now.Add(time.Hour) // the slow start of the new incarnation is over
	for home, name := range before {
		choice, err := table.Pick(later, newRNG(), Query{Pool: "p", HomeKey: home})
		require.NoError(t, err)
		require.Equal(t, name, choice.Target.Name)
	}
}

// A target was ejected and reported as leaving before it restarts under its name. The
// new incarnation must be routable, since that state belongs to the earlier process.
func TestRestartedTargetStartsHealthy(t *testing.T) {
	targets := testTargets(4)
	targets[0].Incarnation, targets[0].Name = "t0@100", "t0"
	table := newTable(Config{}, targets)
	table.fail(start, "t0@100", 50)
	table.Leaving(start, "t0@100")
	attempt := table.Started(start, "t0@100", 1)

	targets[0].Incarnation = "t0@200"
	table.SetTargets(start, testPool, targets)
	now := start.Add(time.Hour) // past its slow start
	counts := table.shares(t, now, 400, Query{}, healthyResult)
	require.InDelta(t, 100, counts["t0@200"], 40)
	require.Zero(t, counts["t0@100"])
	attempt.Done(now, Result{Outcome: OutcomeFailed})
	require.Zero(t, table.target("t0@200").ownLoad(), "the request was sent to the earlier incarnation")
}
