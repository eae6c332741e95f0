package shard

import (
	"hash/maphash"
	"sync"
)

// Ring is a bounded table in order of arrival: a new key overwrites the oldest
// slot of its shard, and a change to a value does not make it younger. Its
// memory is taken once.
type Ring[K comparable, V any] struct {
	seed   maphash.Seed
	shards []ringShard[K, V]
}

type ringShard[K comparable, V any] struct {
	mu    sync.Mutex
	index map[K]int
	slots []ringSlot[K, V]
	next  int
}

type ringSlot[K comparable, V any] struct {
	key   K
	value V
	used  bool
}

// NewRing makes a ring of the given number of shards that holds about capacity
// values in all. Both are raised to at least one a shard.
func NewRing[K comparable, V any](shards, capacity int) *Ring[K, V] {
	shards = max(shards, 1)
	perShard := max((capacity+shards-1)/shards, 1)
	r := &Ring[K, V]{seed: maphash.MakeSeed(), shards: make([]ringShard[K, V], shards)}
	for i := range r.shards {
		r.shards[i].index = make(map[K]int, perShard)
		r.shards[i].slots = make([]ringSlot[K, V], perShard)
	}
	return r
}

func (r *Ring[K, V]) shardOf(key K) *ringShard[K, V] {
	h := maphash.Comparable(r.seed, key)
	return &r.shards[h%uint64(len(r.shards))]
}

// Get returns the value of a key.
func (r *Ring[K, V]) Get(key K) (V, bool) {
	s := r.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.index[key]
	if !ok {
		var zero V
		return zero, false
	}
	return s.slots[i].value, true
}

// Put writes a value: in place when the key is present, else over the oldest
// slot of the shard.
func (r *Ring[K, V]) Put(key K, value V) {
	s := r.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.index[key]
	if !ok {
		i = s.take(key)
	}
	s.slots[i].value = value
}

// Update lets change work on the value of a key under the shard's lock. It
// returns false, and does nothing, when the key is absent or overwritten.
func (r *Ring[K, V]) Update(key K, change func(value *V)) bool {
	s := r.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.index[key]
	if ok {
		change(&s.slots[i].value)
	}
	return ok
}

// Each hands a copy of every value to visit, shard by shard and oldest first
// within a shard, with no lock held, until visit returns false.
func (r *Ring[K, V]) Each(visit func(key K, value V) bool) {
	for n := range r.shards {
		for _, slot := range r.shards[n].copySlots() {
			if !visit(slot.key, slot.value) {
				return
			}
		}
	}
}

// Len returns the number of values held.
func (r *Ring[K, V]) Len() int {
	total := 0
	for n := range r.shards {
		s := &r.shards[n]
		s.mu.Lock()
		total += len(s.index)
		s.mu.Unlock()
	}
	return total
}

func (s *ringShard[K, V]) take(key K) int {
	i := s.next
	s.next = (s.next + 1) % len(s.slots)
	if s.slots[i].used {
		delete(s.index, s.slots[i].key)
	}
	s.slots[i] = ringSlot[K, V]{key: key, used: true}
	s.index[key] = i
	return i
}

func (s *ringShard[K, V]) copySlots() []ringSlot[K, V] {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]ringSlot[K, V], 0, len(s.index))
	for n := range s.slots {
		slot := s.slots[(s.next+n)%len(s.slots)]
		if slot.used {
			out = append(out, slot)
		}
	}
	return out
}
