package requests

import (
	"strings"
	"time"
	"unsafe"
)

const (
	// maxAttempts bounds the attempts kept of one request; retries and hedges
	// have budgets far below it.
	maxAttempts = 32
	// keptAttempts is the room for attempts that a free slot keeps for its next
	// request, so that a common request allocates none.
	preallocatedAttempts = 8
	// maxErrorText bounds the error text of an attempt, in bytes.
	maxErrorBytes = 160
	// indexBytes is the estimated cost of a request in the shard's index.
	indexBytes = 48

	recordBytes  = int64(unsafe.Sizeof(record{})) + indexBytes
	attemptBytes = int64(unsafe.Sizeof(Attempt{}))
)

// none is the end of a list of slots.
const noSlot = int32(-1)

// record is one slot of a shard: a request, or free for one.
type record struct {
	info       Info
	generation uint64
	state      State
	outcome    Outcome
	elapsed    time.Duration
	endedAt    time.Time
	attempts   []Attempt
	unrecorded int
	// bytes is the memory of the record's own strings and attempts.
	bytes int64
	// prev and next link the slot into one of the shard's lists.
	prev, next int32
}

// status copies the record, with the times of what still runs up to now.
func (r *record) status(now time.Time) Status {
	s := Status{
		Info:       r.info,
		State:      r.state,
		Outcome:    r.outcome,
		Elapsed:    r.elapsed,
		Attempts:   make([]Attempt, len(r.attempts)),
		Unrecorded: r.unrecorded,
	}
	copy(s.Attempts, r.attempts)
	sinceBegin := now.Sub(r.info.StartedAt)
	if r.state == StateRunning {
		s.Elapsed = sinceBegin
	}
	for i := range s.Attempts {
		a := &s.Attempts[i]
		if a.Result == ResultRunning {
			a.Elapsed = sinceBegin - a.StartOffset
		}
	}
	return s
}

// reset empties the record and keeps its room for attempts.
func (r *record) reset() {
	kept := r.attempts[:0]
	clear(r.attempts)
	if cap(kept) > preallocatedAttempts {
		kept = nil
	}
	*r = record{generation: r.generation, attempts: kept, prev: noSlot, next: noSlot}
}

// shortText cuts a text. A cut text is copied, or it would keep all of the
// long one in memory.
func truncateError(text string) string {
	if len(text) <= maxErrorBytes {
		return text
	}
	return strings.Clone(text[:maxErrorBytes])
}
