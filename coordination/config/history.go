package config

import (
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxTombstones bounds how many deletes are remembered. Behind it the floor of
// the kind takes their place.
const MaxTombstones = 4096

// history lists the entries in the order of their newest revisions.
type revisionIndex struct {
	positions   []position
	sorted      bool
	maxRevision uint64
}

// place is where an entry stood when it changed. It is stale once the entry
// has changed again or is gone.
type position struct {
	cursor Cursor
	entry  *entry
}

func (p position) stale() bool { return p.entry.newest.Revision != p.cursor.Revision }

func (h *revisionIndex) add(e *entry) {
	h.sorted = h.sorted && e.newest.Revision > h.maxRevision
	h.maxRevision = max(h.maxRevision, e.newest.Revision)
	h.positions = append(h.positions, position{e.cursor(), e})
}

// arrange drops stale places and sorts the rest, when there is need to.
func (h *revisionIndex) compact(entries int) {
	if h.sorted && len(h.positions) <= 2*entries {
		return
	}
	h.positions = slices.DeleteFunc(h.positions, position.stale)
	if !h.sorted {
		slices.SortFunc(h.positions, func(a, b position) int { return compareCursors(a.cursor, b.cursor) })
	}
	h.sorted = true
}

// Records returns a page of records behind a cursor, the cursor of its last
// one, and whether there are more. It serves a new instance's bootstrap and,
// with the buckets that differ, the repair of what a peer has missed.
func (s *Set) Records(after Cursor, limit PageLimit, buckets BucketSet) (page []Record, last Cursor, more bool) {
	s.index.compact(len(s.entries))
	places := s.index.positions
	start, found := slices.BinarySearchFunc(places, after, func(p position, c Cursor) int {
		return compareCursors(p.cursor, c)
	})
	if found {
		start++
	}
	last = after
	size := 0
	for _, p := range places[start:] {
		if p.stale() || !buckets.has(p.entry.key) {
			continue
		}
		r := p.entry.record()
		size += len(r.Newest.Spec) + len(r.InForce.Spec)
		if len(page) > 0 && (len(page) >= limit.Records || size > limit.Bytes) {
			return page, last, true
		}
		page, last = append(page, r), p.cursor
	}
	return page, last, false
}

// prune forgets the oldest half of the tombstones when there are too many. The
// floor rises with them, so that an old version from a peer that was parted
// for long still can't bring a record back.
func (s *Set) prune() {
	if len(s.index.positions) > 2*len(s.entries)+MaxTombstones {
		s.index.compact(len(s.entries))
	}
	if s.tombstones <= MaxTombstones {
		return
	}
	s.index.sorted = false
	s.index.compact(len(s.entries))
	for _, p := range s.index.positions {
		if s.tombstones <= MaxTombstones/2 {
			break
		}
		e := p.entry
		if !e.newest.Deleted || e.inSnapshot != nil {
			continue
		}
		s.floor[e.key.Kind] = max(s.floor[e.key.Kind], e.newest.Revision)
		delete(s.entries, e.key)
		e.newest.Revision = 0
		s.tombstones--
	}
	s.index.sorted = false
	s.index.compact(len(s.entries))
}

// sums are the running sums of the digest, by bucket.
type digestSums struct {
	count   int
	buckets [BucketCount]uint64
}

// Digest sums up what the set holds.
func (s *Set) Digest() Digest {
	d := Digest{Count: s.sums.count, MaxRevision: s.index.maxRevision}
	for i, sum := range s.sums.buckets {
		d.Hash += bits.RotateLeft64(sum, i)
	}
	return d
}

// BucketSums returns the sum of each bucket. Two sets that differ in Digest
// find the buckets to exchange by them.
func (s *Set) BucketSums() [BucketCount]uint64 { return s.sums.buckets }

// resum brings the sums in line with an entry. Tombstones count for nothing
// unless they linger: peers need not remember the same ones.
func (s *Set) updateSums(e *entry) {
	sum := e.checksum()
	switch {
	case e.sum == 0 && sum != 0:
		s.sums.count++
	case e.sum != 0 && sum == 0:
		s.sums.count--
	}
	s.sums.buckets[bucketOf(e.key)] ^= e.sum ^ sum
	e.sum = sum
}

func (e *entry) checksum() uint64 {
	if e.newest.Deleted && e.inSnapshot == nil {
		return 0
	}
	text := make([]byte, 0, 96)
	text = append(text, e.key.Kind...)
	text = append(text, '/')
	text = append(text, e.key.Name...)
	text = binary.BigEndian.AppendUint64(text, e.newest.Revision)
	text = binary.BigEndian.AppendUint64(text, e.inForce.Revision)
	text = binary.BigEndian.AppendUint64(text, e.inForce.SpecRevision)
	return max(xxhash.Sum64(text), 1)
}

func (b BucketSet) has(key Key) bool { return b&(1<<bucketOf(key)) != 0 }

func bucketOf(key Key) int { return int(xxhash.Sum64String(key.Name) % BucketCount) }
