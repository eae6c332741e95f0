package gather

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// offeredLoad is one kind of request in a simulated load.
type offeredLoad struct {
	kind     string
	priority int
	every    time.Duration // interval between requests
	stages   int           // each with two pieces
}

// timelyShares simulates kinds of requests of client accounts that all pay for priority 1,
// on services of two targets that process 44 pieces a second in full calls. It returns the
// fraction of each kind that is answered by its objective.
func timelyShares(t *testing.T, load ...offeredLoad) map[string]float64 {
	r := newRig(t)
	for _, name := range []string{"a", "b", "c"} {
		r.service(name, smallBatch, "x", "x")
	}
	submitted, inTime := map[string]float64{}, map[string]float64{}
	due := map[string]time.Time{}
	kindOf := map[string]string{}
	for at := time.Duration(0); at < 30*time.Second; at += 10 * time.Millisecond {
		for _, o := range load {
			if at%o.every != 0 {
				continue
			}
			q := chain(fmt.Sprint(o.kind, at), []int{2, 2, 2}[:o.stages]...)
			q.Route, q.Priority, q.KindPriority = o.kind, 1, o.priority
			q.Objective, q.Deadline = r.now.Add(1500*time.Millisecond), r.now.Add(4*time.Second)
			submitted[o.kind]++
			due[q.ID], kindOf[q.ID] = q.Objective, o.kind
			r.submit(q)
		}
		r.run(10 * time.Millisecond)
		for id := range r.completed {
			if by, ok := due[id]; ok && !r.now.After(by) {
				inTime[kindOf[id]]++
			}
			delete(due, id)
			r.do(r.planner.Drop(r.now, id))
		}
	}
	for kind := range submitted {
		inTime[kind] /= submitted[kind]
	}
	t.Log("answered in time:", inTime)
	return inTime
}

// All client accounts pay for the same priority. The most urgent kind needs three stages
// and a less urgent one needs one, and together they need more than the targets can do.
// Ranked equally, the kind with the longer chain of stages would be refused while the less
// urgent one is served.
func TestUrgentKindIsNotUnderserved(t *testing.T) {
	got := timelyShares(t,
		offeredLoad{kind: "results", priority: 0, every: 80 * time.Millisecond, stages: 3},
		offeredLoad{kind: "queries", priority: 2, every: 80 * time.Millisecond, stages: 1})
	require.Greater(t, got["results"], got["queries"]-0.15)
	require.Greater(t, got["results"], 0.7)
	require.Greater(t, got["queries"], 0.7, "an underserved kind goes first, not always")
}

// The most urgent kind alone needs twice the capacity of the targets for half a minute. The
// less urgent kind must still get some answers.
func TestNoKindIsStarved(t *testing.T) {
	got := timelyShares(t,
		offeredLoad{kind: "results", priority: 0, every: 20 * time.Millisecond, stages: 1},
		offeredLoad{kind: "queries", priority: 2, every: 200 * time.Millisecond, stages: 1})
	require.Greater(t, got["results"], 0.3)
	require.Greater(t, got["queries"], 0.06)
}

// The least urgent kind has the longest chain of stages, and the urgent one fills its
// stages. It isn't entitled to go first, but must still get some answers.
func TestLongPipelineIsNotStarved(t *testing.T) {
	got := timelyShares(t,
		offeredLoad{kind: "queries", priority: 0, every: 60 * time.Millisecond, stages: 1},
		offeredLoad{kind: "results", priority: 2, every: 80 * time.Millisecond, stages: 3})
	require.Greater(t, got["results"], 0.15)
}
