package config

import (
	"bytes"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Set holds the configuration records of one instance. It is not safe for
// concurrent use; the snapshots that it publishes are.
type Set struct {
	decode  Decoder
	entries map[Key]*entry
	// waiting holds the refused entries by the kinds of records that can change
	// their verdict.
	waiting map[kindSet]map[Key]*entry
	users   map[Key]*userCount
	index   revisionIndex
	sums    digestSums
	// listedKinds are the kinds of which a full list has been applied; asOf holds
	// the revision of each kind's newest list.
	listedKinds kindSet
	asOf        map[catalog.RecordKind]uint64
	// floor is, for each kind, the greatest revision of a full list or of a pruned
	// tombstone. A version at or below it that would restore a removed record is
	// stale.
	floor      map[catalog.RecordKind]uint64
	tombstones int
	// maxInForce is the greatest revision that was ever in force.
	maxInForce uint64
	snapshot   *catalog.Snapshot
}

// entry is the state of one record in the set.
type entry struct {
	key     Key
	newest  Version
	inForce Version
	// item is the decoded form of inForce.
	item catalog.Item
	// inSnapshot is the item that the snapshot holds: nil, or item.
	inSnapshot catalog.Item
	// candidate is the decoded form of newest while newest is not in force.
	candidate catalog.Item
	// reason states why the last evaluation refused newest.
	reason string
	// waitsFor are the kinds of records that can reverse this refusal by a change.
	waitsFor kindSet
	verdict  verdict
	sum      uint64
}

// verdict is the result of the last evaluation of an entry, as it was returned to
// the caller.
type verdict struct {
	evaluated bool
	accepted  bool
	reason    string
	spec      []byte
}

func (v verdict) equal(w verdict) bool {
	return v.evaluated == w.evaluated && v.accepted == w.accepted && v.reason == w.reason && bytes.Equal(v.spec, w.spec)
}

// New returns an empty set.
func New(decode Decoder) *Set {
	s := &Set{
		decode:  decode,
		entries: map[Key]*entry{},
		waiting: map[kindSet]map[Key]*entry{},
		users:   map[Key]*userCount{},
		asOf:    map[catalog.RecordKind]uint64{},
		floor:   map[catalog.RecordKind]uint64{},
		snapshot: &catalog.Snapshot{
			Pipelines:      map[catalog.PipelineKey]*catalog.Pipeline{},
			SchemaVersions: map[string][]int{},
			Tiers:          map[string]*catalog.Tier{},
			Pools:          map[string]*catalog.Pool{},
		},
	}
	for _, kind := range Kinds {
		s.waiting[kindBit(kind)] = map[Key]*entry{}
	}
	return s
}

// Snapshot returns the configuration in force.
func (s *Set) Snapshot() *catalog.Snapshot { return s.snapshot }

// Complete reports whether a full list of every kind has been applied. Until then
// no record is evaluated, because those it depends on may be missing.
func (s *Set) Complete() bool { return s.listedKinds == allKinds }

// AsOf returns the store's revision of the newest full list of a kind. An instance
// that sends all its records to a peer sends this revision with them.
func (s *Set) AsOf(kind catalog.RecordKind) uint64 { return s.asOf[kind] }

// Apply merges records from a watch or from a peer. It returns the records that
// changed, to be passed on; the snapshot, which is the same pointer if nothing in
// force has changed; and the verdicts that changed.
func (s *Set) Apply(batch []Record) (changed []Record, snapshot *catalog.Snapshot, verdicts []Verdict) {
	tx := s.begin()
	for i := range batch {
		tx.merge(&batch[i], s.floor[batch[i].Kind])
	}
	return tx.commit()
}

// ApplyList merges a full list of one kind as of a revision. Records that are
// missing from the list and aren't newer than it are deleted. A list older than
// the kind's floor is a stale read of the store or of a peer and changes nothing.
func (s *Set) ApplyList(kind catalog.RecordKind, records []Record, asOf uint64) (changed []Record, snapshot *catalog.Snapshot, verdicts []Verdict) {
	tx := s.begin()
	if kindBit(kind) != 0 && asOf >= s.floor[kind] {
		tx.mergeList(kind, records, asOf)
	}
	return tx.commit()
}

// Get returns the state of one record, and false if the record is unknown.
func (s *Set) Get(key Key) (Record, bool) {
	e, ok := s.entries[key]
	if !ok {
		return Record{}, false
	}
	return e.record(), true
}

// Verdict returns the current verdict on a record, and false for one that is
// unknown or has not been evaluated yet.
func (s *Set) Verdict(key Key) (Verdict, bool) {
	e, ok := s.entries[key]
	if !ok || !e.verdict.evaluated {
		return Verdict{}, false
	}
	return e.exportVerdict(), true
}

// Len returns the number of records held, tombstones included.
func (s *Set) Len() int { return len(s.entries) }

func (e *entry) record() Record {
	r := Record{Key: e.key, Newest: e.newest}
	if e.inForce.Revision == e.newest.Revision {
		r.Accepted = true
		return r
	}
	r.InForce = e.inForce
	return r
}

func (e *entry) exportVerdict() Verdict {
	v := Verdict{Key: e.key, Revision: e.newest.Revision, Deleted: e.newest.Deleted,
		Accepted: e.verdict.accepted, Reason: e.verdict.reason}
	if !v.Accepted && e.inSnapshot != nil {
		v.InForce = Version{Revision: e.inForce.SpecRevision, SpecRevision: e.inForce.SpecRevision, Spec: e.inForce.Spec}
	}
	return v
}
