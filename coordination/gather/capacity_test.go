package gather

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// tightCapacity sets up a service a with capacity for the results of two requests of
// chain(id, 1, 2): one that waits to be read and one that is being produced.
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

// submitEach submits requests with distant deadlines, slightly faster than the capacity
// allows if results are kept until the end, and returns their ids.
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

// Requests arrive faster than the first stage's target can hold results until their readers
// have answered. Held that long, results would leave the target idle, the queue would grow
// and requests would be refused although no target is overloaded.
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

// A call reads its inputs, they are freed, and the call fails. They must be produced again
// before its pieces go to another target; sent without them, the pieces would be reported
// as missing their inputs forever.
func TestReadInputsAreProducedAgainForUnansweredCall(t *testing.T) {
	r := newRig(t)
	tightCapacity(r)
	ids := submitEach(r, "before", 8)
	unanswered := 0
	r.callEnd = func(c StartCall) (CallOutcome, []PieceResult) {
		if c.Pieces[0].Stage == 1 && unanswered < 3 {
			unanswered++
			return CallUnanswered, nil
		}
		return CallAnswered, nil
	}
	ids = append(ids, submitEach(r, "after", 8)...)
	r.run(20 * time.Second)
	require.Equal(t, 3, unanswered)
	for _, id := range ids {
		require.Len(t, r.completed[id], 2, id)
	}
	seen := map[string]bool{}
	for _, handle := range r.freed {
		require.False(t, seen[handle], "a result is freed once: %s", handle)
		seen[handle] = true
	}
}

// A target stops answering during a call whose inputs were freed. Its pieces must not wait
// for the timeout of the call: their inputs are produced again and another target runs
// them.
func TestReadInputsAreProducedAgainForOverdueCall(t *testing.T) {
	r := newRig(t)
	tightCapacity(r)
	ids := submitEach(r, "before", 8)
	usual := r.callDuration
	r.callDuration = func(c StartCall) time.Duration {
		if c.Target.Incarnation == "b-0" {
			return time.Hour
		}
		return usual(c)
	}
	ids = append(ids, submitEach(r, "after", 6)...)
	r.run(3 * time.Second)
	for _, id := range ids {
		require.Len(t, r.completed[id], 2, id)
	}
}

// While there is capacity, inputs stay until their reader has answered, so that its pieces
// can go to another target at once if the call fails.
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

// Two instances hold queues for a while, and a call waits at its target behind a call of the
// other instance before it reads its inputs. If the inputs were freed at the time when they
// should have been read, they would be missing and the requests would restart at their first
// stage.
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
