package gather

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// offered is one kind of request in a played load.
type offeredLoad struct {
	kind     string
	priority int
	every    time.Duration // between two requests
	stages   int           // each with two pieces
}

// answeredInTime plays kinds of requests of client accounts that all pay for
// priority 1, on services of two targets of which full calls do 44 pieces a second. It returns which part of each kind is answered by its objective.
func timelyShares(t *testing.T, load ...offeredLoad) map[string]float64 {
	r := newRig(t)
	for _, name := range []string{"a", "b", "c"} {
		r.service(name, smallBatch, "x", "x")
	}
	asked, inTime := map[string]float64{}, map[string]float64{}
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
			asked[o.kind]++
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
	for kind := range asked {
		inTime[kind] /= asked[kind]
	}
	t.Log("answered in time:", inTime)
	return inTime
}

// All client accounts pay for the same priority. Water-test results, the most
// urgent kind, need two stages and crew queries one, and together they ask for more
// than there is. Ranked alike, the kind with the longer way loses: officers would be
// refused while crews are served.
func TestUrgentKindIsNotUnderserved(t *testing.T) {
	got := timelyShares(t,
		offeredLoad{kind: "results", priority: 0, every: 80 * time.Millisecond, stages: 3},
		offeredLoad{kind: "queries", priority: 2, every: 80 * time.Millisecond, stages: 1})
	require.Greater(t, got["results"], got["queries"]-0.15)
	require.Greater(t, got["results"], 0.7)
	require.Greater(t, got["queries"], 0.7, "a kind that is behind goes first, not always")
}

// The most urgent kind alone asks for twice what the targets do, for half a minute.
// The crews in their trenches are not left without any answer.
func TestNoKindIsStarved(t *testing.T) {
	got := timelyShares(t,
		offeredLoad{kind: "results", priority: 0, every: 20 * time.Millisecond, stages: 1},
		offeredLoad{kind: "queries", priority: 2, every: 200 * time.Millisecond, stages: 1})
	require.Greater(t, got["results"], 0.3)
	require.Greater(t, got["queries"], 0.06)
}

// The least urgent kind has the longest way, and the urgent one fills its stages. It
// isn't entitled to go first, but it isn't left without answers either.
func TestLongPipelineIsNotStarved(t *testing.T) {
	got := timelyShares(t,
		offeredLoad{kind: "queries", priority: 0, every: 60 * time.Millisecond, stages: 1},
		offeredLoad{kind: "results", priority: 2, every: 80 * time.Millisecond, stages: 3})
	require.Greater(t, got["results"], 0.15)
}
