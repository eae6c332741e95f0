package requests

import (
	"strings"
	"time"
	"unsafe"
)

const (
	// maxAttempts bounds the attempts kept of one request; the budgets of retries
	// and hedges are far below it.
	maxAttempts = 32
	// preallocatedAttempts is the capacity for attempts that a free slot retains
	// for its next request, so that a typical request allocates none.
	preallocatedAttempts = 8
	// maxErrorBytes bounds the error text of an attempt.
	maxErrorBytes = 160
	// indexBytes is the estimated memory of a request in the shard's index.
	indexBytes = 48

	recordBytes  = int64(unsafe.Sizeof(record{})) + indexBytes
	attemptBytes = int64(unsafe.Sizeof(Attempt{}))
)

// noSlot marks the end of a slotList and the absence of a slot.
const noSlot = int32(-1)

// record is one slot of a shard. It holds a request or is free.
type record struct {
	info       Info
	generation uint64
	state      State
	outcome    Outcome
	elapsed    time.Duration
	endedAt    time.Time
	attempts   []Attempt
	unrecorded int
	// bytes is the memory charged to the record, its strings and its attempts.
	bytes int64
	// prev and next are the neighbours in one of the shard's lists.
	prev, next int32
}

// status returns a copy of the record in which the elapsed times of running
// requests and attempts are computed up to now.
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
	sinceStart := now.Sub(r.info.StartedAt)
	if r.state == StateRunning {
		s.Elapsed = sinceStart
	}
	for i := range s.Attempts {
		a := &s.Attempts[i]
		if a.Result == ResultRunning {
			a.Elapsed = sinceStart - a.StartOffset
		}
	}
	return s
}

// reset empties the record and retains its generation and its capacity for
// attempts, unless that exceeds preallocatedAttempts.
func (r *record) reset() {
	kept := r.attempts[:0]
	clear(r.attempts)
	if cap(kept) > preallocatedAttempts {
		kept = nil
	}
	*r = record{generation: r.generation, attempts: kept, prev: noSlot, next: noSlot}
}

// truncateError limits an error text to maxErrorBytes. A truncated text is
// copied; a substring would keep the whole text in memory.
func truncateError(text string) string {
	if len(text) <= maxErrorBytes {
		return text
	}
	return strings.Clone(text[:maxErrorBytes])
}
