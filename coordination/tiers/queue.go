package tiers

import (
	"container/heap"
	"time"
)

// queued is an item in a rank's queue.
type queued struct {
	Item
	seq        uint64
	enqueuedAt time.Time
	// heapIndex is the item's position in its rankQueue.
	heapIndex int
}

// rankQueue is a heap of the items of one rank, ordered by LatestStart and then
// by arrival.
type rankQueue []*queued

func (q rankQueue) Len() int { return len(q) }

func (q rankQueue) Less(i, j int) bool {
	if q[i].LatestStart.Equal(q[j].LatestStart) {
		return q[i].seq < q[j].seq
	}
	return q[i].LatestStart.Before(q[j].LatestStart)
}

func (q rankQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

func (q *rankQueue) Push(x any) {
	it := x.(*queued)
	it.heapIndex = len(*q)
	*q = append(*q, it)
}

func (q *rankQueue) Pop() any {
	old := *q
	last := len(old) - 1
	it := old[last]
	old[last] = nil
	*q = old[:last]
	return it
}

// first returns the item to dispatch next, or nil.
func (q rankQueue) first() *queued {
	if len(q) == 0 {
		return nil
	}
	return q[0]
}

// latestArrival returns the item that arrived last, or nil.
func (q rankQueue) latestArrival() *queued {
	var out *queued
	for _, it := range q {
		if out == nil || it.seq > out.seq {
			out = it
		}
	}
	return out
}

func (q *rankQueue) remove(it *queued) {
	heap.Remove(q, it.heapIndex)
}
