package gather

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// tight has room for the results of two requests of chain(id, 1, 2) that stand in
// stage a: one lies there to be read, one is being made.
func tightCapacity(r *rig) {
	small := smallBatch
	small.ResultCapacity = 2000
	r.service("a", small, "x")
	long := smallBatch
	long.CallTime = 560 * time.Millisecond
	r.service("b", long, "x", "x", "x", "x")
	r.callDuration = func(c StartCall) time.Duration {
		if c.Pieces[0].Stage == 0 {
			return 220 * time.Millisecond
		}
		return 600 * time.Millisecond
	}
}

// askEach submits requests that have time, a little faster than the room allows
// when results are kept to the end, and returns their ids.
func submitEach(r *rig, name string, n int) []string {
	var ids []string
	for i := range n {
		q := chain(fmt.Sprint(name, i), 1, 2)
		q.Objective, q.Deadline = r.now.Add(12*time.Second), r.now.Add(20*time.Second)
		r.submit(q)
		ids = append(ids, q.ID)
		r.run(290 * time.Millisecond)
	}
	return ids
}

// Clerks ask more often than the room of the first stage's target holds results.
// Kept until their readers have answered, results leave the target idle, the queue
// grows and requests are refused, although no target has too much to do.
func TestCapacityIsFreedOnceResultsAreRead(t *testing.T) {
	r := newRig(t)
	tightCapacity(r)
	const requests = 24
	for i := range requests {
		r.submit(chain(fmt.Sprint(i), 1, 2))
		r.run(290 * time.Millisecond)
	}
	r.run(3 * time.Second)
	require.Empty(t, r.refused)
	require.Len(t, r.completed, requests)
	for _, c := range r.calls[len(r.calls)-8:] {
		require.Len(t, c.Pieces[0].Inputs, c.Pieces[0].Stage, "no call runs without its inputs")
	}
}

// A target is lost in the middle of a call whose inputs were given back since it
// had read them. They are made again before its pieces go to another target; sent
// without them, the pieces would be answered as gone for ever.
func TestReadInputsAreProducedAgainForUnansweredCall(t *testing.T) {
	r := newRig(t)
	tightCapacity(r)
	made := submitEach(r, "before", 8)
	lost := 0
	r.callEnd = func(c StartCall) (CallOutcome, []PieceResult) {
		if c.Pieces[0].Stage == 1 && lost < 3 {
			lost++
			return CallUnanswered, nil
		}
		return CallAnswered, nil
	}
	made = append(made, submitEach(r, "after", 8)...)
	r.run(20 * time.Second)
	require.Equal(t, 3, lost)
	for _, id := range made {
		require.Len(t, r.completed[id], 2, id)
	}
	seen := map[string]bool{}
	for _, handle := range r.freed {
		require.False(t, seen[handle], "a result is given back once: %s", handle)
		seen[handle] = true
	}
}

// A target falls silent in the middle of a call whose inputs were given back. Its
// pieces are not left to the time-out of the call: their inputs are made again, and
// another target makes them.
func TestReadInputsAreProducedAgainForOverdueCall(t *testing.T) {
	r := newRig(t)
	tightCapacity(r)
	made := submitEach(r, "before", 8)
	usual := r.callDuration
	r.callDuration = func(c StartCall) time.Duration {
		if c.Target.Incarnation == "b-0" {
			return time.Hour
		}
		return usual(c)
	}
	made = append(made, submitEach(r, "after", 6)...)
	r.run(3 * time.Second)
	for _, id := range made {
		require.Len(t, r.completed[id], 2, id)
	}
}

// Where there is room, inputs stay until their reader has answered: should it be
// lost, its pieces go elsewhere at once.
func TestReadInputsStayWhileThereIsCapacity(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x")
	r.service("b", smallBatch, "x", "x")
	r.callEnd = func(c StartCall) (CallOutcome, []PieceResult) {
		if c.Pieces[0].Stage == 1 && len(r.calls) == 2 {
			return CallUnanswered, nil
		}
		return CallAnswered, nil
	}
	r.submit(chain("one", 1, 2))
	r.run(3 * time.Second)
	require.Len(t, r.completed["one"], 2)
	require.Len(t, r.calls, 3, "the first stage ran once")
}

// Two instances hold queues for a while, and a call waits at its target for that of
// the other before it reads its inputs. Given back by the time that it should have
// read them, they would be gone, and the requests would start from their first stage.
func TestInputsStayWhileCallsWaitAtTargets(t *testing.T) {
	r := newRig(t)
	tightCapacity(r)
	r.callDuration = func(c StartCall) time.Duration {
		if c.Pieces[0].Stage == 0 {
			return 220 * time.Millisecond
		}
		return 1100 * time.Millisecond
	}
	for i := range 12 {
		submitEach(r, fmt.Sprint(i), 1)
		for _, c := range r.running {
			for _, input := range c.Pieces[0].Inputs {
				require.NotContains(t, r.freed, input)
			}
		}
	}
}
