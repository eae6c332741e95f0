package gather

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fanOut is a request whose second stage reads all large results of the first, which are
// produced only in data centre x.
func fanOut(id string, objective time.Time) Request {
	q := chain(id, 2, 4)
	q.Stages[0].ResultBytes = 1 << 20
	q.Objective, q.Deadline = objective, objective.Add(5*time.Second)
	return q
}

// largeCapacity is smallBatch with capacity for large results.
var largeCapacity = ServiceConfig{Slots: 1, MaxPieces: 8, CallTime: 200 * time.Millisecond, PieceTime: 20 * time.Millisecond, ResultTTL: 4 * time.Second, ResultCapacity: 64 << 20}

// The target near a request's inputs is busy for a few tens of milliseconds more, and one
// in another data centre is free. Sent there, each of four pieces would transfer 2 MB
// between data centres. A request with spare time waits; one without goes there.
func TestPiecesWaitForTargetNearTheirInputs(t *testing.T) {
	second := func(spare time.Duration) Target {
		r := newRig(t)
		r.service("a", largeCapacity, "x")
		r.service("b", largeCapacity, "x", "y")
		r.submit(fanOut("1", r.now.Add(640*time.Millisecond+spare)))
		// The other request occupies the target in x just before the first stage ends.
		r.run(150 * time.Millisecond)
		other := Request{ID: "other", Route: "o", Key: "k", DataCentre: "x", Stages: []Stage{{Service: "b", Pieces: 2, ResultBytes: 1 << 20}}}
		r.submit(other)
		require.Equal(t, "x", r.calls[1].Target.DataCentre)
		r.run(600 * time.Millisecond)
		require.Len(t, r.calls, 3)
		return r.calls[2].Target
	}
	require.Equal(t, "x", second(time.Second).DataCentre)
	require.Equal(t, "y", second(10*time.Millisecond).DataCentre)
}

// A request needs one large result and a chain of small ones. If the large one were produced
// first, it would occupy its target while the chain runs, and a dozen large results would
// leave no capacity there.
func TestLargeResultsAreProducedLast(t *testing.T) {
	r := newRig(t)
	r.service("a", largeCapacity, "x")
	r.service("b", largeCapacity, "x")
	r.service("c", largeCapacity, "x")
	q := chain("1", 0, 2, 2)
	q.Stages = []Stage{
		{Service: "a", Pieces: 1, ResultBytes: largeResultBytes},
		{Service: "b", Pieces: 2, ResultBytes: 1000},
		{Service: "c", Pieces: 2, ResultBytes: 1000, After: []int{1}},
	}
	r.submit(q)
	require.Len(t, r.calls, 1)
	require.Equal(t, "b-0", r.calls[0].Target.Name)
	r.run(250 * time.Millisecond)
	require.Len(t, r.calls, 3, "the large one runs in parallel with the last of the chain")
	r.run(time.Second)
	require.Len(t, r.completed["1"], 3)
}

// Two requests are refused at the same moment; one fits soon, the other much later. Given
// the same retry delay, the second would be refused again.
func TestRetryAfterIsPerRequest(t *testing.T) {
	r := newRig(t)
	r.service("a", smallBatch, "x")
	for i := range 6 {
		q := chain(fmt.Sprint(i), 8)
		q.Objective, q.Deadline = r.now.Add(20*time.Second), r.now.Add(20*time.Second)
		r.submit(q)
	}
	refusal := func(id string, deadline time.Duration) Refused {
		q := chain(id, 2)
		q.Priority = 1
		q.Objective, q.Deadline = r.now.Add(deadline), r.now.Add(deadline)
		r.submit(q)
		require.Contains(t, r.refused, id)
		return r.refused[id]
	}
	later, sooner := refusal("later", 500*time.Millisecond), refusal("sooner", 2*time.Second)
	require.Greater(t, later.RetryAfter, sooner.RetryAfter+time.Second)
	for _, got := range []Refused{later, sooner} {
		require.GreaterOrEqual(t, got.RetryAfter, min(got.Needed-got.TimeToDeadline, maxRetryAfter))
	}
}

// A target's capacity is full of large results that wait for their readers. A piece of 8 KB
// must still run there: without capacity reserved for small results its request would wait
// half a second and more for the next large result to be read.
func TestSmallResultsFitBesideLargeOnes(t *testing.T) {
	r := newRig(t)
	config := largeCapacity
	config.ResultCapacity = 18_000_000
	r.service("a", config, "x")
	for i := range 12 {
		r.submit(Request{ID: fmt.Sprint(i), Route: "large", Key: "k", Stages: []Stage{{Service: "a", Pieces: 1, ResultBytes: 1_500_000}}})
	}
	r.run(time.Second)
	require.NotContains(t, r.completed, "11", "there is no capacity for the last large one")
	r.submit(Request{ID: "small", Route: "small", Key: "k", Stages: []Stage{{Service: "a", Pieces: 1, ResultBytes: 8000}}})
	r.run(300 * time.Millisecond)
	require.Contains(t, r.completed, "small")
}
