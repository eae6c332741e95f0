package claims

import (
	"slices"
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
)

// recordWrite is a conditional update that records the end of a claim.
type recordWrite struct {
	id     claim.ID
	record claim.Record
	// revision is the claim's revision in the store. If it is 0, it is unknown and
	// must be read first.
	revision uint64
	queuedAt time.Time
	// notBefore is the earliest time of the write; the zero time means at once.
	notBefore time.Time
}

func (w *recordWrite) bytes() int {
	if w.record.Result == nil {
		return 0
	}
	return len(w.record.Result.Body)
}

// writeQueue is a queue of the writes that wait for the store, bounded by number and
// bytes.
type writeQueue struct {
	mu     sync.Mutex
	writes []recordWrite
	bytes  int
	// inProgress is the number of writes that were popped and are not done yet.
	inProgress int
	maxWrites  int
	maxBytes   int
	// changed is signalled when a write is pushed.
	changed chan struct{}
}

func newWriteQueue(maxWrites, maxBytes int) *writeQueue {
	return &writeQueue{maxWrites: maxWrites, maxBytes: maxBytes, changed: make(chan struct{}, 1)}
}

// push adds a write and reports whether there was capacity for it.
func (q *writeQueue) push(w recordWrite) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.writes) >= q.maxWrites || q.bytes+w.bytes() > q.maxBytes {
		return false
	}
	q.writes = append(q.writes, w)
	q.bytes += w.bytes()
	select {
	case q.changed <- struct{}{}:
	default:
	}
	return true
}

// pop removes the oldest write that is due; the caller calls done when it has finished
// the write. If none is due, pop returns the longest time to wait for the next one.
func (q *writeQueue) pop(now time.Time) (w recordWrite, wait time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	wait = maxQueueAge
	for i := range q.writes {
		if remaining := q.writes[i].notBefore.Sub(now); remaining > 0 {
			wait = min(wait, remaining)
			continue
		}
		w = q.writes[i]
		q.writes = slices.Delete(q.writes, i, i+1)
		q.bytes -= w.bytes()
		q.inProgress++
		return w, 0, true
	}
	return recordWrite{}, wait, false
}

func (q *writeQueue) done() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inProgress--
}

// size returns the number of writes that are queued or in progress.
func (q *writeQueue) size() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.writes) + q.inProgress
}
