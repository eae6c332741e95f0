package requests

import (
	"sync"
	"time"
)

// expiryBatch bounds the old requests that one Begin removes. It is more than
// the one that Begin adds, so expiry keeps up and no Begin pays for a backlog.
const expiryBatch = 4

// shard is a part of the table with its own lock and its own share of the bounds.
type shard struct {
	mu          sync.Mutex
	slots       []record
	index       map[string]int32
	free        list
	running     list // in order of Begin
	finished    list // in order of Finish
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
	s.expire(info.Begun, expiryBatch)
	slot = s.take(info.ID)
	if slot == none {
		s.unrecorded++
		return none, 0
	}
	r := &s.slots[slot]
	r.info = info
	r.generation++
	r.bytes = recordBytes + int64(len(info.ID)) + int64(cap(r.attempts))*attemptBytes
	s.bytes += r.bytes
	s.index[info.ID] = slot
	s.running.push(s.slots, slot)
	return slot, r.generation
}

// take finds a free slot: one of the free list, a new one, or the one of the
// oldest finished request. Running requests are never pushed out; when they
// fill the shard, or the id is taken, there is none.
func (s *shard) take(id string) int32 {
	if _, taken := s.index[id]; taken {
		return none
	}
	if !s.reserve(recordBytes + int64(len(id)) + keptAttempts*attemptBytes) {
		return none
	}
	if s.free.head == none && len(s.slots) >= s.maxRequests && !s.evictOldest() {
		return none
	}
	if slot := s.free.head; slot != none {
		s.free.remove(s.slots, slot)
		return slot
	}
	s.slots = append(s.slots, record{prev: none, next: none})
	return int32(len(s.slots) - 1)
}

// reserve makes room for n more bytes by removing finished requests.
func (s *shard) reserve(n int64) bool {
	for s.bytes+n > s.maxBytes {
		if !s.evictOldest() {
			return false
		}
	}
	return true
}

// evictOldest removes the request that finished first.
func (s *shard) evictOldest() bool {
	slot := s.finished.head
	if slot == none {
		return false
	}
	s.finished.remove(s.slots, slot)
	s.release(slot)
	return true
}

// release frees a slot that is in no list.
func (s *shard) release(slot int32) {
	r := &s.slots[slot]
	delete(s.index, r.info.ID)
	s.bytes -= r.bytes
	r.reset()
	s.free.push(s.slots, slot)
}

// expire removes at most limit requests of each kind: finished ones past their
// retention, and running ones as long past their deadline. The second guards
// against a request whose Finish is never called: such records would fill the
// table, which shows as status that is missing for new requests.
func (s *shard) expire(now time.Time, limit int) {
	for range limit {
		slot := s.finished.head
		if slot == none || !s.expired(slot, now) {
			break
		}
		s.evictOldest()
	}
	for range limit {
		slot := s.running.head
		if slot == none || !s.expired(slot, now) {
			break
		}
		s.running.remove(s.slots, slot)
		s.release(slot)
	}
}

func (s *shard) expired(slot int32, now time.Time) bool {
	r := &s.slots[slot]
	if r.state == Running {
		return now.Sub(r.info.Begun) >= r.info.Deadline+s.retention
	}
	return now.Sub(r.ended) >= s.retention
}

// find returns the record of a reference, or nil when its slot has gone to
// another request since.
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
		n += int64(nextCap(cap(r.attempts))-cap(r.attempts)) * attemptBytes
	}
	// The record itself may not be pushed out here: the others make room.
	if !s.reserveFor(ref.slot, n) {
		r.unrecorded++
		return NoAttempt
	}
	s.charge(r, n)
	r.attempts = append(grown(r.attempts), Attempt{
		Stage:   a.Stage,
		ID:      a.ID,
		Target:  a.Target,
		Started: a.At.Sub(r.info.Begun),
	})
	return len(r.attempts) - 1
}

// reserveFor is reserve, but stops before it would remove the slot itself.
func (s *shard) reserveFor(slot int32, n int64) bool {
	for s.bytes+n > s.maxBytes {
		if s.finished.head == slot || !s.evictOldest() {
			return false
		}
	}
	return true
}

func (s *shard) charge(r *record, n int64) {
	r.bytes += n
	s.bytes += n
}

// grown returns the attempts with room for one more. append's own growth
// would exceed what was charged.
func grown(attempts []Attempt) []Attempt {
	if len(attempts) < cap(attempts) {
		return attempts
	}
	bigger := make([]Attempt, len(attempts), nextCap(cap(attempts)))
	copy(bigger, attempts)
	return bigger
}

func nextCap(c int) int {
	if c == 0 {
		return keptAttempts
	}
	return min(2*c, maxAttempts)
}
