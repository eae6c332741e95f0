// Package shard provides a bounded map that is divided into shards, each with its
// own lock, so that requests on many cores rarely contend. Callbacks run under
// the lock of a shard and must neither block nor use the map.
package shard

import (
	"hash/maphash"
	"sync"
)

// noEntry marks the end of a shard's list of entries.
const noEntry = int32(-1)

// Map is a bounded map. A new entry in a full shard evicts the shard's least
// recently written one.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards []mapShard[K, V]
}

// mapShard is one shard of a Map. Its entries form a list in the order in which
// they were last written.
type mapShard[K comparable, V any] struct {
	mu       sync.Mutex
	index    map[K]int32
	entries  []mapEntry[K, V]
	free     []int32
	newest   int32
	oldest   int32
	capacity int
}

type mapEntry[K comparable, V any] struct {
	key          K
	value        V
	newer, older int32
}

// NewMap returns a map with the given number of shards that holds about capacity
// entries in total. There is at least one shard and each holds at least one
// entry.
func NewMap[K comparable, V any](shards, capacity int) *Map[K, V] {
	shards = max(shards, 1)
	perShard := max((capacity+shards-1)/shards, 1)
	m := &Map[K, V]{seed: maphash.MakeSeed(), shards: make([]mapShard[K, V], shards)}
	for i := range m.shards {
		s := &m.shards[i]
		s.index = make(map[K]int32)
		s.newest, s.oldest = noEntry, noEntry
		s.capacity = perShard
	}
	return m
}

func (m *Map[K, V]) shardOf(key K) *mapShard[K, V] {
	h := maphash.Comparable(m.seed, key)
	return &m.shards[h%uint64(len(m.shards))]
}

// Get returns the value of a key. Reading does not affect the order of eviction.
func (m *Map[K, V]) Get(key K) (V, bool) {
	s := m.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.index[key]
	if !ok {
		var zero V
		return zero, false
	}
	return s.entries[i].value, true
}

// Update calls change with the value of a key under the shard's lock and makes
// the entry the newest of its shard. A missing entry is created with the zero
// value; existed is false then.
func (m *Map[K, V]) Update(key K, change func(value *V, existed bool)) {
	s := m.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.index[key]
	if ok {
		s.unlink(i)
	} else {
		i = s.allocateEntry(key)
	}
	s.linkNewest(i)
	change(&s.entries[i].value, ok)
}

// View calls read with the value of a key under the shard's lock, without a copy.
// It reports whether the key exists; read is not called if it does not.
func (m *Map[K, V]) View(key K, read func(value *V)) bool {
	s := m.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.index[key]
	if ok {
		read(&s.entries[i].value)
	}
	return ok
}

// Delete removes a key and reports whether it existed.
func (m *Map[K, V]) Delete(key K) bool {
	s := m.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.index[key]
	if ok {
		s.removeEntry(i)
	}
	return ok
}

// DeleteFunc removes every entry for which del returns true. It locks one shard
// at a time.
func (m *Map[K, V]) DeleteFunc(del func(key K, value *V) bool) {
	for n := range m.shards {
		m.shards[n].deleteFunc(del)
	}
}

// Len returns the number of entries. It locks one shard at a time.
func (m *Map[K, V]) Len() int {
	total := 0
	for n := range m.shards {
		s := &m.shards[n]
		s.mu.Lock()
		total += len(s.index)
		s.mu.Unlock()
	}
	return total
}

func (s *mapShard[K, V]) deleteFunc(del func(K, *V) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := s.oldest; i != noEntry; {
		e := &s.entries[i]
		next := e.newer
		if del(e.key, &e.value) {
			s.removeEntry(i)
		}
		i = next
	}
}

// allocateEntry returns an unlinked entry for a new key. It evicts the oldest
// entry if the shard is full.
func (s *mapShard[K, V]) allocateEntry(key K) int32 {
	if len(s.index) >= s.capacity {
		s.removeEntry(s.oldest)
	}
	var i int32
	if n := len(s.free); n > 0 {
		i = s.free[n-1]
		s.free = s.free[:n-1]
	} else {
		i = int32(len(s.entries))
		s.entries = append(s.entries, mapEntry[K, V]{})
	}
	s.entries[i].key = key
	s.index[key] = i
	return i
}

func (s *mapShard[K, V]) removeEntry(i int32) {
	s.unlink(i)
	delete(s.index, s.entries[i].key)
	s.entries[i] = mapEntry[K, V]{}
	s.free = append(s.free, i)
}

func (s *mapShard[K, V]) unlink(i int32) {
	e := &s.entries[i]
	if e.newer != noEntry {
		s.entries[e.newer].older = e.older
	} else {
		s.newest = e.older
	}
	if e.older != noEntry {
		s.entries[e.older].newer = e.newer
	} else {
		s.oldest = e.newer
	}
}

func (s *mapShard[K, V]) linkNewest(i int32) {
	e := &s.entries[i]
	e.newer, e.older = noEntry, s.newest
	if s.newest != noEntry {
		s.entries[s.newest].newer = i
	} else {
		s.oldest = i
	}
	s.newest = i
}
