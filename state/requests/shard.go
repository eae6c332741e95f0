package requests

import (
	"sync"
	"time"
)

// expiryBatch bounds the expired requests that one Begin removes. It is greater
// than the one request that Begin adds, so expiry keeps up without a long pause
// in any single Begin.
const expiryBatch = 4

// shard is a part of the table with its own lock and its share of the bounds.
type shard struct {
	mu          sync.Mutex
	slots       []record
	index       map[string]int32
	free        slotList
	running     slotList // in order of Begin
	finished    slotList // in order of Finish
	maxRequests int
	maxBytes    int64
	retention   time.Duration
	bytes       int64
	unrecorded  uint64
	_           [64]byte // keeps two shards' locks off one cache line
}

func (s *shard) begin(info Info) (slot int32, generation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(info.StartedAt, expiryBatch)
	slot = s.allocateSlot(info.ID)
	if slot == noSlot {
		s.unrecorded++
		return noSlot, 0
	}
	r := &s.slots[slot]
	r.info = info
	r.generation++
	r.bytes = recordBytes + int64(len(info.ID)) + int64(cap(r.attempts))*attemptBytes
	s.bytes += r.bytes
	s.index[info.ID] = slot
	s.running.pushBack(s.slots, slot)
	return slot, r.generation
}

// allocateSlot returns a slot from the free list, a new one, or that of the
// oldest finished request. Running requests are never evicted: if they fill the
// shard, or if the id is in use, it returns noSlot.
func (s *shard) allocateSlot(id string) int32 {
	if _, inUse := s.index[id]; inUse {
		return noSlot
	}
	if !s.reserveBytes(recordBytes + int64(len(id)) + preallocatedAttempts*attemptBytes) {
		return noSlot
	}
	if s.free.head == noSlot && len(s.slots) >= s.maxRequests && !s.evictOldest() {
		return noSlot
	}
	if slot := s.free.head; slot != noSlot {
		s.free.remove(s.slots, slot)
		return slot
	}
	s.slots = append(s.slots, record{prev: noSlot, next: noSlot})
	return int32(len(s.slots) - 1)
}

// reserveBytes evicts finished requests until n more bytes fit. It reports
// whether they do.
func (s *shard) reserveBytes(n int64) bool {
	for s.bytes+n > s.maxBytes {
		if !s.evictOldest() {
			return false
		}
	}
	return true
}

// evictOldest removes the request that finished first and reports whether there
// was one.
func (s *shard) evictOldest() bool {
	slot := s.finished.head
	if slot == noSlot {
		return false
	}
	s.finished.remove(s.slots, slot)
	s.freeSlot(slot)
	return true
}

// freeSlot empties a slot that is in no list and adds it to the free list.
func (s *shard) freeSlot(slot int32) {
	r := &s.slots[slot]
	delete(s.index, r.info.ID)
	s.bytes -= r.bytes
	r.reset()
	s.free.pushBack(s.slots, slot)
}

// expire removes at most limit finished requests past their retention and at
// most limit running ones that exceed their deadline by the retention. The
// latter prevents requests whose Finish is never called from filling the table,
// which would leave new requests without a status.
func (s *shard) expire(now time.Time, limit int) {
	for range limit {
		slot := s.finished.head
		if slot == noSlot || !s.expired(slot, now) {
			break
		}
		s.evictOldest()
	}
	for range limit {
		slot := s.running.head
		if slot == noSlot || !s.expired(slot, now) {
			break
		}
		s.running.remove(s.slots, slot)
		s.freeSlot(slot)
	}
}

func (s *shard) expired(slot int32, now time.Time) bool {
	r := &s.slots[slot]
	if r.state == StateRunning {
		return now.Sub(r.info.StartedAt) >= r.info.Deadline+s.retention
	}
	return now.Sub(r.endedAt) >= s.retention
}

// find returns the record of a reference, or nil if its slot was freed or reused
// for another request.
func (s *shard) find(ref Ref) *record {
	if int(ref.slot) >= len(s.slots) {
		return nil
	}
	r := &s.slots[ref.slot]
	if r.generation != ref.generation || r.info.ID == "" {
		return nil
	}
	return r
}

// addAttempt returns the attempt's number, or NoAttempt when it is not recorded.
func (s *shard) addAttempt(ref Ref, a AttemptStart) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.find(ref)
	if r == nil {
		return NoAttempt
	}
	if a.Stage < 0 || a.Stage >= len(r.info.Stages) || len(r.attempts) >= maxAttempts {
		r.unrecorded++
		return NoAttempt
	}
	n := int64(len(a.ID) + len(a.Target))
	if len(r.attempts) == cap(r.attempts) {
		n += int64(nextAttemptCapacity(cap(r.attempts))-cap(r.attempts)) * attemptBytes
	}
	// The record itself must not be evicted.
	if !s.reserveBytesKeeping(ref.slot, n) {
		r.unrecorded++
		return NoAttempt
	}
	s.charge(r, n)
	r.attempts = append(growAttempts(r.attempts), Attempt{
		Stage:       a.Stage,
		ID:          a.ID,
		Target:      a.Target,
		StartOffset: a.At.Sub(r.info.StartedAt),
	})
	return len(r.attempts) - 1
}

// reserveBytesKeeping is like reserveBytes, but returns false instead of evicting
// the given slot.
func (s *shard) reserveBytesKeeping(slot int32, n int64) bool {
	for s.bytes+n > s.maxBytes {
		if s.finished.head == slot || !s.evictOldest() {
			return false
		}
	}
	return true
}

// charge adds n bytes to the memory accounted to a record.
func (s *shard) charge(r *record, n int64) {
	r.bytes += n
	s.bytes += n
}

// growAttempts returns the attempts with capacity for one more. Growth by append
// would exceed the bytes that were charged.
func growAttempts(attempts []Attempt) []Attempt {
	if len(attempts) < cap(attempts) {
		return attempts
	}
	bigger := make([]Attempt, len(attempts), nextAttemptCapacity(cap(attempts)))
	copy(bigger, attempts)
	return bigger
}

func nextAttemptCapacity(c int) int {
	if c == 0 {
		return preallocatedAttempts
	}
	return min(2*c, maxAttempts)
}
