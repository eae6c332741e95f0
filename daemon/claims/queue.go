package claims

import (
	"slices"
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
)

// write is a conditional update of a claim that is over.
type recordWrite struct {
	id     claim.ID
	record claim.Record
	// revision is 0 when it isn't known: read first.
	revision uint64
	queuedAt time.Time
	// due is when to try, the zero time for at once.
	notBefore time.Time
}

func (w *recordWrite) bytes() int {
	if w.record.Result == nil {
		return 0
	}
	return len(w.record.Result.Body)
}

// queue holds the writes that wait for the store, bounded by number and bytes.
type writeQueue struct {
	mu     sync.Mutex
	writes []recordWrite
	bytes  int
	// taken counts the writes that pop has handed out and done not yet ended.
	inProgress int
	maxWrites  int
	maxBytes   int
	// changed is signalled when a write comes in.
	changed chan struct{}
}

func newWriteQueue(maxWrites, maxBytes int) *writeQueue {
	return &writeQueue{maxWrites: maxWrites, maxBytes: maxBytes, changed: make(chan struct{}, 1)}
}

// push adds a write and tells whether there was room.
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

// pop removes the oldest write that is due; done ends the work on it. Without
// one it returns how long to wait at most for the next.
func (q *writeQueue) pop(now time.Time) (w recordWrite, wait time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	wait = maxQueueAge
	for i := range q.writes {
		if left := q.writes[i].notBefore.Sub(now); left > 0 {
			wait = min(wait, left)
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

// size counts the writes that wait or are under way.
func (q *writeQueue) size() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.writes) + q.inProgress
}
