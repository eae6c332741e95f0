package config

import (
	"bytes"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Set holds the configuration of one instance. It is for one goroutine at a
// time; the snapshots that it publishes are free for all.
type Set struct {
	decode  Decoder
	entries map[Key]*entry
	// waiting holds the refused entries by the kind whose change may turn that.
	waiting map[kinds]map[Key]*entry
	users   map[Key]*userCount
	history history
	sums    sums
	// listed are the kinds that were listed once, asOf the revisions of the
	// newest lists.
	listed kinds
	asOf   map[catalog.RecordKind]uint64
	// floor is the revision at or below which an unknown record is an old one.
	floor      map[catalog.RecordKind]uint64
	tombstones int
	// inForce is the greatest revision that was ever in force.
	inForce  uint64
	snapshot *catalog.Snapshot
}

// entry is what the set knows of one record.
type entry struct {
	key     Key
	newest  Version
	inForce Version
	// item is inForce decoded.
	item catalog.Item
	// shown is the item that the snapshot holds: nil, or item.
	shown catalog.Item
	// candidate is newest decoded, while it is not in force.
	candidate catalog.Item
	// reason says why the last judgement refused newest.
	reason string
	// waits are the kinds whose change may turn that refusal.
	waits   kinds
	verdict verdict
	sum     uint64
}

// verdict is the last judgement of an entry, as it was handed out.
type verdict struct {
	judged   bool
	accepted bool
	reason   string
	spec     []byte
}

func (v verdict) same(w verdict) bool {
	return v.judged == w.judged && v.accepted == w.accepted && v.reason == w.reason && bytes.Equal(v.spec, w.spec)
}

// New makes an empty set.
func New(decode Decoder) *Set {
	s := &Set{
		decode:  decode,
		entries: map[Key]*entry{},
		waiting: map[kinds]map[Key]*entry{},
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
		s.waiting[bit(kind)] = map[Key]*entry{}
	}
	return s
}

// Snapshot is the configuration in force.
func (s *Set) Snapshot() *catalog.Snapshot { return s.snapshot }

// Complete tells whether every kind was listed once. Until then nothing is
// judged, because a record would be judged without those it depends on.
func (s *Set) Complete() bool { return s.listed == allKinds }

// AsOf is the store's revision of the newest full list of a kind. A peer that
// hands on all its records hands this on with them.
func (s *Set) AsOf(kind catalog.RecordKind) uint64 { return s.asOf[kind] }

// Apply takes records from a watch or from a peer. It returns those that were
// news, to be passed on; the snapshot, which is the same pointer when nothing
// in force has changed; and the verdicts that have changed.
func (s *Set) Apply(batch []Record) (changed []Record, snapshot *catalog.Snapshot, verdicts []Verdict) {
	c := s.begin()
	for i := range batch {
		c.merge(&batch[i], s.floor[batch[i].Kind])
	}
	return c.finish()
}

// ApplyList takes a full list of one kind as of a revision. Records that are
// absent and older are deleted. A list older than one that came before changes
// nothing: the store, or the peer, answers from the past.
func (s *Set) ApplyList(kind catalog.RecordKind, records []Record, asOf uint64) (changed []Record, snapshot *catalog.Snapshot, verdicts []Verdict) {
	c := s.begin()
	if bit(kind) != 0 && asOf >= s.floor[kind] {
		c.mergeList(kind, records, asOf)
	}
	return c.finish()
}

// Get returns what is known of one record.
func (s *Set) Get(key Key) (Record, bool) {
	e, ok := s.entries[key]
	if !ok {
		return Record{}, false
	}
	return e.record(), true
}

// Verdict returns the present judgement of a record, and false for one that is
// unknown or not judged yet.
func (s *Set) Verdict(key Key) (Verdict, bool) {
	e, ok := s.entries[key]
	if !ok || !e.verdict.judged {
		return Verdict{}, false
	}
	return e.handOut(), true
}

// Len is the number of records held, tombstones included.
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

func (e *entry) handOut() Verdict {
	v := Verdict{Key: e.key, Revision: e.newest.Revision, Deleted: e.newest.Deleted,
		Accepted: e.verdict.accepted, Reason: e.verdict.reason}
	if !v.Accepted && e.shown != nil {
		v.InForce = Version{Revision: e.inForce.SpecRevision, SpecRevision: e.inForce.SpecRevision, Spec: e.inForce.Spec}
	}
	return v
}
