package spread

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the hash tree: the root has Buckets children, and each of these has
// LeavesPerBucket.
const (
	Buckets         = 64
	LeavesPerBucket = 64
)

// MaxRecordBytes bounds a record's body. It is several times what the platform accepts
// as one object.
const MaxRecordBytes = 8 << 20

// recentRecords is how many of the latest records Since can return.
const recentRecords = 64

// recordOverhead bounds the encoded bytes of a Record without its kind, name and
// body.
const recordOverhead = 24

// Digest holds the root and the bucket sums of the hash tree over a set of
// records.
type Digest struct {
	Root    uint64
	Buckets [Buckets]uint64
}

// RecordSet holds the records that are gossiped. Its revisions are monotonic: for
// one kind and name, a revision is never replaced by a lower one.
type RecordSet interface {
	// Digest returns the digest of all records.
	Digest() Digest
	// Leaves returns the leaf sums of one bucket.
	Leaves(bucket int) [LeavesPerBucket]uint64
	// Get returns a record.
	Get(kind, name string) (Record, bool)
	// Delta returns the records in those leaves of a bucket whose sums differ
	// from the given ones, up to about limit bytes. A record above the limit counts
	// as its offer.
	Delta(bucket int, leaves []uint64, limit int) []Record
	// NewestRevision returns the highest revision held.
	NewestRevision() uint64
	// Since returns recent records with a revision higher than the given one, up
	// to about limit bytes, counted as by Delta. It may omit older ones.
	Since(revision uint64, limit int) []Record
	// Apply stores a record if it is newer than the one held and reports
	// whether it was.
	Apply(r Record) bool
}

// recordKey identifies a record.
type recordKey struct{ kind, name string }

// Table is a RecordSet in memory.
type Table struct {
	records        map[recordKey]Record
	leaves         [Buckets][LeavesPerBucket]leaf
	digest         Digest
	tombstones     int
	maxTombstones  int
	newestRevision uint64
	// recent holds the keys of the latest records, in the order of their arrival.
	recent []recordKey
	// tombstoneFloor is the highest revision of a dropped tombstone. An unknown
	// tombstone up to it is refused.
	tombstoneFloor uint64
}

// leaf is a leaf of the hash tree: the sum and the keys of its records.
type leaf struct {
	sum  uint64
	keys []recordKey
}

// NewTable returns an empty table that keeps at most maxTombstones deleted
// records, those with the highest revisions.
func NewTable(maxTombstones int) *Table {
	return &Table{records: make(map[recordKey]Record), maxTombstones: maxTombstones}
}

// Len returns the number of records, including deleted ones.
func (t *Table) Len() int { return len(t.records) }

// Get implements RecordSet.
func (t *Table) Get(kind, name string) (Record, bool) {
	r, ok := t.records[recordKey{kind, name}]
	return r, ok
}

// Digest implements RecordSet.
func (t *Table) Digest() Digest { return t.digest }

// Leaves implements RecordSet.
func (t *Table) Leaves(bucket int) [LeavesPerBucket]uint64 {
	var sums [LeavesPerBucket]uint64
	for i := range sums {
		sums[i] = t.leaves[bucket][i].sum
	}
	return sums
}

// Delta implements RecordSet.
func (t *Table) Delta(bucket int, leaves []uint64, limit int) []Record {
	var out []Record
	maxInline := limit
	for i := range t.leaves[bucket] {
		l := &t.leaves[bucket][i]
		if i < len(leaves) && leaves[i] == l.sum {
			continue
		}
		for _, key := range l.keys {
			r := t.records[key]
			limit -= transferSize(r, maxInline)
			out = append(out, r)
			if limit <= 0 {
				return out
			}
		}
	}
	return out
}

// NewestRevision implements RecordSet.
func (t *Table) NewestRevision() uint64 { return t.newestRevision }

// Since implements RecordSet.
func (t *Table) Since(revision uint64, limit int) []Record {
	var out []Record
	maxInline := limit
	for i, key := range t.recent {
		r := t.records[key]
		if r.Revision <= revision || slices.Contains(t.recent[i+1:], key) {
			continue
		}
		limit -= transferSize(r, maxInline)
		out = append(out, r)
		if limit <= 0 {
			break
		}
	}
	return out
}

// Apply implements RecordSet. A revision that is not higher than the held one is
// refused: the store and peers may return outdated records, and a configuration
// must never revert.
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

// countTombstones adds n to the number of tombstones if the record is one.
func (t *Table) countTombstones(r Record, n int) {
	if r.Deleted {
		t.tombstones += n
	}
}

// toggleSum adds a record to the sums, or removes it if it is included.
func (t *Table) toggleSum(key recordKey, r Record) {
	sum := recordSum(r)
	bucket, _ := leafPosition(key)
	t.leafOf(key).sum ^= sum
	t.digest.Buckets[bucket] ^= sum
	t.digest.Root ^= sum
}

// leafOf returns the leaf that holds a key.
func (t *Table) leafOf(key recordKey) *leaf {
	bucket, l := leafPosition(key)
	return &t.leaves[bucket][l]
}

// dropTombstones removes the tombstones of the lowest revisions while there are
// more than maxTombstones. All instances remove the same ones, so that their
// digests agree.
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

// remove deletes a record from the table.
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

// leafPosition returns the bucket and leaf of a key.
func leafPosition(key recordKey) (bucket, leaf int) {
	h := hashStrings(key.kind, key.name, nil)
	return int(h % Buckets), int(h / Buckets % LeavesPerBucket)
}

// recordSum returns a hash of the kind, name, revision and deletion of a record.
func recordSum(r Record) uint64 {
	var tail [9]byte
	binary.BigEndian.PutUint64(tail[:], r.Revision)
	if r.Deleted {
		tail[8] = 1
	}
	return hashStrings(r.Kind, r.Name, tail[:])
}

// hashStrings returns a hash of two strings and a tail.
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

// RecordSize returns an upper bound of the encoded bytes of a record.
func RecordSize(r Record) int {
	return recordOverhead + len(r.Kind) + len(r.Name) + len(r.Body)
}
