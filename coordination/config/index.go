package config

import (
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxTombstones bounds the number of tombstones kept. The floor of their kind
// replaces the tombstones that are pruned.
const MaxTombstones = 4096

// revisionIndex lists the entries in the order of their newest revisions.
type revisionIndex struct {
	positions   []position
	sorted      bool
	maxRevision uint64
}

// position is the cursor that an entry got when it changed. It is stale once the
// entry has changed again or was removed.
type position struct {
	cursor Cursor
	entry  *entry
}

func (p position) stale() bool { return p.entry.newest.Revision != p.cursor.Revision }

func (x *revisionIndex) add(e *entry) {
	x.sorted = x.sorted && e.newest.Revision > x.maxRevision
	x.maxRevision = max(x.maxRevision, e.newest.Revision)
	x.positions = append(x.positions, position{e.cursor(), e})
}

// compact drops stale positions and sorts the remaining ones, if the index is
// unsorted or has more than twice as many positions as entries.
func (x *revisionIndex) compact(entries int) {
	if x.sorted && len(x.positions) <= 2*entries {
		return
	}
	x.positions = slices.DeleteFunc(x.positions, position.stale)
	if !x.sorted {
		slices.SortFunc(x.positions, func(a, b position) int { return compareCursors(a.cursor, b.cursor) })
	}
	x.sorted = true
}

// Records returns a page of the records after a cursor, the cursor of the last one
// on the page, and whether there are more. It is used to bootstrap a new instance
// and, with the set of buckets that differ, to send a peer the records that it has
// missed.
func (s *Set) Records(after Cursor, limit PageLimit, buckets BucketSet) (page []Record, last Cursor, more bool) {
	s.index.compact(len(s.entries))
	positions := s.index.positions
	start, found := slices.BinarySearchFunc(positions, after, func(p position, c Cursor) int {
		return compareCursors(p.cursor, c)
	})
	if found {
		start++
	}
	last = after
	size := 0
	for _, p := range positions[start:] {
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

// prune removes the oldest half of the tombstones when there are too many. It
// raises the floor to their revisions, so that a stale version from a peer that was
// partitioned for a long time still can't restore a deleted record.
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

// digestSums are the running sums of the digest, by bucket.
type digestSums struct {
	count   int
	buckets [BucketCount]uint64
}

// Digest returns the digest of the records in the set.
func (s *Set) Digest() Digest {
	d := Digest{Count: s.sums.count, MaxRevision: s.index.maxRevision}
	for i, sum := range s.sums.buckets {
		d.Hash += bits.RotateLeft64(sum, i)
	}
	return d
}

// BucketSums returns the sum of each bucket. Two instances whose digests differ
// compare them to find the buckets to exchange.
func (s *Set) BucketSums() [BucketCount]uint64 { return s.sums.buckets }

// updateSums updates the sums after a change of an entry. Tombstones don't count
// unless their item is still in the snapshot: peers need not hold the same ones.
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
