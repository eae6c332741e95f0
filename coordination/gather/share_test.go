package gather

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// offered is one kind of request in a played load.
type offered struct {
	kind     string
	priority int
	every    time.Duration // between two requests
}

// answeredInTime plays kinds of requests of client accounts that all pay for
// priority 1, two pieces each, on two targets of which full calls do 44 pieces a
// second. It returns which part of each kind is answered by its objective.
func answeredInTime(t *testing.T, load ...offered) map[string]float64 {
	r := newRig(t)
	r.service("a", narrow, "x", "x")
	asked, inTime := map[string]float64{}, map[string]float64{}
	due := map[string]time.Time{}
	kindOf := map[string]string{}
	for at := time.Duration(0); at < 30*time.Second; at += 10 * time.Millisecond {
		for _, o := range load {
			if at%o.every != 0 {
				continue
			}
			q := chain(fmt.Sprint(o.kind, at), 2)
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
// urgent kind, come faster by half than in quiet times, crew queries as always.
// Ranked by the account alone, the two would share the refusals, and the officers
// would wait while crews are served.
func TestUrgentKindsGoFirstWithinAPriority(t *testing.T) {
	got := answeredInTime(t,
		offered{"results", 0, 70 * time.Millisecond},
		offered{"queries", 2, 70 * time.Millisecond})
	require.Greater(t, got["results"], 0.95)
	require.Less(t, got["queries"], 0.75)
}

// The most urgent kind alone asks for twice what the targets do, for half a minute.
// The crews in their trenches are not left without any answer.
func TestNoKindIsStarved(t *testing.T) {
	got := answeredInTime(t,
		offered{"results", 0, 20 * time.Millisecond},
		offered{"queries", 2, 200 * time.Millisecond})
	require.Greater(t, got["results"], 0.3)
	require.Greater(t, got["queries"], 0.06)
}
