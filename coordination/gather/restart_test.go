package gather

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// incarnation returns the latest incarnation of a target.
func (r *rig) incarnation(name string) string {
	if r.starts[name] == 0 {
		return name
	}
	return fmt.Sprintf("%s@%d", name, r.starts[name])
}

// requireHeld requires that results are at the latest incarnations of their targets.
func (r *rig) requireHeld(handles []string) {
	for _, handle := range handles {
		producer, _, _ := strings.Cut(handle, "/")
		name, _, _ := strings.Cut(producer, "@")
		require.Equal(r.t, r.incarnation(name), producer, "a result of a replaced process")
	}
}

// targetsNamed lists targets of a service, named by index, with the given incarnations.
func targetsNamed(service string, incarnations ...string) []Target {
	var list []Target
	for i, incarnation := range incarnations {
		name := service + "-" + string(rune('0'+i))
		list = append(list, Target{Incarnation: incarnation, Name: name, Address: name, DataCentre: "x"})
	}
	return list
}

// producedByFirst returns a rig with a request of two stages. Its first results were
// produced by a-0@100, and its second stage waits because its target was removed.
func producedByFirst(t *testing.T) *rig {
	r := newRig(t)
	r.starts["a-0"], r.starts["b-0"] = 100, 100
	r.planner.SetService("a", smallBatch)
	r.planner.SetService("b", smallBatch)
	r.do(r.planner.SetTargets(r.now, "a", targetsNamed("a", "a-0@100")))
	r.do(r.planner.SetTargets(r.now, "b", targetsNamed("b", "b-0@100")))
	q := chain("one", 2, 3)
	q.Objective, q.Deadline = r.now.Add(20*time.Second), r.now.Add(30*time.Second)
	r.submit(q)
	r.do(r.planner.SetTargets(r.now, "b", nil))
	r.run(time.Second)
	require.Len(t, r.calls, 1)
	require.Empty(t, r.refused)
	return r
}

// A target produces results, crashes and restarts under its name and address while the
// stage that reads them waits. The lost results must be produced again before the stage is
// sent, at the target whose capacity is free again, and no call may read or free a result
// of the old process.
func TestResultsOfReplacedTargetAreProducedAgain(t *testing.T) {
	r := producedByFirst(t)
	r.starts["a-0"] = 200
	r.do(r.planner.SetTargets(r.now, "a", targetsNamed("a", "a-0@200")))
	r.do(r.planner.SetTargets(r.now, "b", targetsNamed("b", "b-0@100")))
	r.run(2 * time.Second)
	require.Len(t, r.completed["one"], 3)
	require.Len(t, r.calls, 3)
	require.Equal(t, "a-0@200", r.calls[1].Target.Incarnation)
	require.Equal(t, []string{"a-0@200/3", "a-0@200/4"}, r.calls[2].Pieces[0].Inputs)
	require.NotContains(t, r.freed, "a-0@100/1")
	for _, held := range r.planner.services["a"].targets {
		require.Zero(t, held.usedBytes, "results of the old process occupy no capacity")
	}
}

// The same as above, but the entry is removed first, so that the old incarnation is no
// longer known when the new one appears.
func TestResultsAreProducedAgainAfterRemoval(t *testing.T) {
	r := producedByFirst(t)
	r.starts["a-0"] = 200
	r.do(r.planner.SetTargets(r.now, "a", nil))
	r.do(r.planner.SetTargets(r.now, "a", targetsNamed("a", "a-0@200")))
	r.do(r.planner.SetTargets(r.now, "b", targetsNamed("b", "b-0@100")))
	r.run(2 * time.Second)
	require.Len(t, r.completed["one"], 3)
	require.Equal(t, []string{"a-0@200/3", "a-0@200/4"}, r.calls[2].Pieces[0].Inputs)
}

// An outage of the store lets entries lapse, and the same incarnation returns: its results
// still exist.
func TestResultsOutliveLapsedEntry(t *testing.T) {
	r := producedByFirst(t)
	r.do(r.planner.SetTargets(r.now, "a", nil))
	r.do(r.planner.SetTargets(r.now, "a", targetsNamed("a", "a-0@100")))
	r.do(r.planner.SetTargets(r.now, "b", targetsNamed("b", "b-0@100")))
	r.run(2 * time.Second)
	require.Len(t, r.completed["one"], 3)
	require.Len(t, r.calls, 2)
}

// A target crashes behind a broken link during a call and restarts under its name. The call
// gets no answer until its timeout, seconds later. Its pieces must be sent again as soon as
// the restart is known, and an answer of the old process that is read later must be
// ignored.
func TestCallsToReplacedTargetAreHedged(t *testing.T) {
	for _, answers := range []bool{false, true} {
		r := newRig(t)
		r.planner.SetService("a", smallBatch)
		r.do(r.planner.SetTargets(r.now, "a", targetsNamed("a", "a-0@100")))
		r.callDuration = func(c StartCall) time.Duration {
			switch {
			case c.Target.Incarnation != "a-0@100":
				return 250 * time.Millisecond
			case answers:
				return 300 * time.Millisecond
			}
			return time.Hour
		}
		r.callEnd = func(c StartCall) (CallOutcome, []PieceResult) {
			if c.Target.Incarnation == "a-0@100" && !answers {
				return CallUnanswered, nil
			}
			return CallAnswered, nil
		}
		r.submit(chain("one", 2))
		r.run(100 * time.Millisecond)
		r.starts["a-0"] = 200
		r.do(r.planner.SetTargets(r.now, "a", targetsNamed("a", "a-0@200")))
		require.Len(t, r.calls, 2, "sent again at once")
		r.run(400 * time.Millisecond)
		require.Empty(t, r.refused)
		require.Len(t, r.completed["one"], 2)
		for _, handle := range r.completed["one"] {
			require.NotContains(t, handle, "a-0@100")
		}
		r.run(5 * time.Second)
		require.False(t, slices.Contains(r.freed, "a-0@100/1"))
	}
}

// One service runs two stages of each request, and its two targets restart while the second
// stages wait for them. The first request's lost results take up both targets' first calls:
// the other request's second stage must not be sent with them, since its inputs are lost
// too.
func TestRestartsApplyToAllRequestsAtOnce(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x", "x")
	for _, id := range []string{"one", "two"} {
		q := chain(id, 2, 2)
		q.Stages[1].Service = "a"
		q.Objective, q.Deadline = r.now.Add(20*time.Second), r.now.Add(30*time.Second)
		r.submit(q)
	}
	require.Len(t, r.calls, 2, "each request at a target of its own")
	r.do(r.planner.SetTargets(r.now, "a", nil))
	r.run(600 * time.Millisecond)
	r.starts["a-0"], r.starts["a-1"] = 1, 1
	r.service("a", smallBatch, "x", "x")
	r.run(3 * time.Second)
	require.Empty(t, r.refused)
	require.Len(t, r.completed, 2)
}
