package spread

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the hash tree: a root, Buckets sums below it and LeavesPerBucket
// sums below each of these.
const (
	Buckets         = 64
	LeavesPerBucket = 64
)

// MaxRecord bounds a record's body, in bytes, so that it fits a frame.
const MaxRecordBytes = 512 << 10

// recentRecords is how many of the latest records Since knows.
const recentRecords = 64

// recordOverhead bounds the encoded bytes of a Record besides its texts.
const recordOverhead = 24

// Digest summarises a set of records.
type Digest struct {
	Root    uint64
	Buckets [Buckets]uint64
}

// Source holds the records that are spread. Its contents only grow: for one
// kind and name, a revision is never replaced by a lower one.
type RecordSet interface {
	// Digest summarises all records.
	Digest() Digest
	// Leaves returns the leaf sums of one bucket.
	Leaves(bucket int) [LeavesPerBucket]uint64
	// Delta returns the records in those leaves of a bucket whose sums differ
	// from the given ones, up to about limit bytes.
	Delta(bucket int, leaves []uint64, limit int) []Record
	// Newest returns the highest revision held.
	NewestRevision() uint64
	// Since returns recent records of a higher revision than the given one, up
	// to about limit bytes. It need not know them all.
	Since(revision uint64, limit int) []Record
	// Apply takes a record over and tells whether it was news.
	Apply(r Record) bool
}

type recordKey struct{ kind, name string }

// Table is a Source in memory.
type Table struct {
	records        map[recordKey]Record
	leaves         [Buckets][LeavesPerBucket]leaf
	digest         Digest
	tombstones     int
	maxTombstones  int
	newestRevision uint64
	// recent holds the keys of the latest records, the latest last.
	recent []recordKey
	// floor is the highest revision of a dropped tombstone.
	tombstoneFloor uint64
}

type leaf struct {
	sum  uint64
	keys []recordKey
}

// NewTable returns an empty table that keeps at most maxTombstones deleted
// records, those of the highest revisions.
func NewTable(maxTombstones int) *Table {
	return &Table{records: make(map[recordKey]Record), maxTombstones: maxTombstones}
}

// Len returns the number of records, deleted ones included.
func (t *Table) Len() int { return len(t.records) }

// Get returns a record.
func (t *Table) Get(kind, name string) (Record, bool) {
	r, ok := t.records[recordKey{kind, name}]
	return r, ok
}

// Digest implements Source.
func (t *Table) Digest() Digest { return t.digest }

// Leaves implements Source.
func (t *Table) Leaves(bucket int) [LeavesPerBucket]uint64 {
	var sums [LeavesPerBucket]uint64
	for i := range sums {
		sums[i] = t.leaves[bucket][i].sum
	}
	return sums
}

// Delta implements Source.
func (t *Table) Delta(bucket int, leaves []uint64, limit int) []Record {
	var out []Record
	for i := range t.leaves[bucket] {
		l := &t.leaves[bucket][i]
		if i < len(leaves) && leaves[i] == l.sum {
			continue
		}
		for _, key := range l.keys {
			r := t.records[key]
			limit -= RecordSize(r)
			out = append(out, r)
			if limit <= 0 {
				return out
			}
		}
	}
	return out
}

// Newest implements Source.
func (t *Table) NewestRevision() uint64 { return t.newestRevision }

// Since implements Source.
func (t *Table) Since(revision uint64, limit int) []Record {
	var out []Record
	for i, key := range t.recent {
		r := t.records[key]
		if r.Revision <= revision || slices.Contains(t.recent[i+1:], key) {
			continue
		}
		limit -= RecordSize(r)
		out = append(out, r)
		if limit <= 0 {
			break
		}
	}
	return out
}

// Apply implements Source. A revision that is not higher than the held one is
// refused: the store and peers may answer from the past, and a configuration
// never reverts.
func (t *Table) Apply(r Record) bool {
	key := recordKey{r.Kind, r.Name}
	old, held := t.records[key]
	if held && r.Revision <= old.Revision {
		return false
	}
	if len(r.Body) > MaxRecordBytes || (!held && r.Deleted && r.Revision <= t.tombstoneFloor) {
		return false
	}
	if held {
		t.countTombstones(old, -1)
		t.toggleSum(key, old)
	}
	t.records[key] = r
	t.countTombstones(r, 1)
	t.toggleSum(key, r)
	if !held {
		l := t.leafOf(key)
		l.keys = append(l.keys, key)
	}
	t.newestRevision = max(t.newestRevision, r.Revision)
	t.recent = append(t.recent, key)
	if len(t.recent) > recentRecords {
		t.recent = t.recent[1:]
	}
	t.dropTombstones()
	return true
}

// count keeps the number of tombstones.
func (t *Table) countTombstones(r Record, n int) {
	if r.Deleted {
		t.tombstones += n
	}
}

// toggle adds a record to the sums, or takes it out again.
func (t *Table) toggleSum(key recordKey, r Record) {
	sum := recordSum(r)
	bucket, _ := leafPosition(key)
	t.leafOf(key).sum ^= sum
	t.digest.Buckets[bucket] ^= sum
	t.digest.Root ^= sum
}

// leafOf returns the leaf of a key.
func (t *Table) leafOf(key recordKey) *leaf {
	bucket, l := leafPosition(key)
	return &t.leaves[bucket][l]
}

// dropTombstones drops the tombstone of the lowest revision beyond the bound.
// All instances drop the same one, so that their digests agree.
func (t *Table) dropTombstones() {
	for t.tombstones > t.maxTombstones {
		var oldest recordKey
		revision := uint64(0)
		for key, r := range t.records {
			if r.Deleted && (revision == 0 || r.Revision < revision) {
				oldest, revision = key, r.Revision
			}
		}
		t.remove(oldest)
		t.tombstoneFloor = max(t.tombstoneFloor, revision)
	}
}

// remove drops a record from the table.
func (t *Table) remove(key recordKey) {
	r := t.records[key]
	t.countTombstones(r, -1)
	t.toggleSum(key, r)
	delete(t.records, key)
	l := t.leafOf(key)
	for i := range l.keys {
		if l.keys[i] == key {
			l.keys = append(l.keys[:i], l.keys[i+1:]...)
			return
		}
	}
}

// position returns the bucket and leaf of a key.
func leafPosition(key recordKey) (bucket, leaf int) {
	h := hashStrings(key.kind, key.name, nil)
	return int(h % Buckets), int(h / Buckets % LeavesPerBucket)
}

// recordSum hashes what identifies a record's version.
func recordSum(r Record) uint64 {
	var tail [9]byte
	binary.BigEndian.PutUint64(tail[:], r.Revision)
	if r.Deleted {
		tail[8] = 1
	}
	return hashStrings(r.Kind, r.Name, tail[:])
}

// hashTexts hashes two texts and a tail.
func hashStrings(a, b string, tail []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(tail)
	return d.Sum64()
}

// RecordSize bounds the bytes of a record on the wire.
func RecordSize(r Record) int {
	return recordOverhead + len(r.Kind) + len(r.Name) + len(r.Body)
}
