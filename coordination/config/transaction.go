package config

import (
	"cmp"
	"slices"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// transaction is the working state of one Apply or ApplyList call.
type transaction struct {
	set   *Set
	draft *draft
	// changed holds the entries whose state changed and has to be passed on.
	changed map[Key]*entry
	// pending holds the entries to evaluate.
	pending map[Key]*entry
	// affected holds the entries whose verdict may have changed.
	affected map[Key]*entry
	// changedKinds are the kinds of the records whose effective item has changed
	// since the waiting records were last queued.
	changedKinds kindSet
}

func (s *Set) begin() *transaction {
	return &transaction{
		set:      s,
		draft:    newDraft(s.snapshot),
		changed:  map[Key]*entry{},
		pending:  map[Key]*entry{},
		affected: map[Key]*entry{},
	}
}

// merge merges one record, unless it is a stale version of a removed one.
func (tx *transaction) merge(r *Record, floor uint64) {
	if kindBit(r.Kind) == 0 || r.Newest.Revision == 0 {
		return
	}
	e, known := tx.set.entries[r.Key]
	if r.Newest.Revision <= floor && isStale(e, r.Newest) {
		return
	}
	if !known {
		e = &entry{key: r.Key}
		tx.set.entries[r.Key] = e
	}
	tx.mergeNewest(e, r.Newest)
	if r.Accepted {
		tx.mergeInForce(e, r.Newest)
	} else if r.InForce.Revision > 0 && r.InForce.Revision < r.Newest.Revision {
		tx.mergeInForce(e, r.InForce)
	}
}

// isStale reports whether a version not above the floor would restore a removed
// record. A peer that was partitioned, or a store that returns stale reads, sends
// such versions, and the delete may be unknown here or older than they are. The
// full list at the floor, or the tombstone that was pruned at it, has already
// shown that the record is removed. The spec that a tombstone retains may still
// be new.
func isStale(e *entry, v Version) bool {
	if v.Deleted {
		return e == nil && v.SpecRevision == 0
	}
	return e == nil || e.newest.Deleted
}

func (tx *transaction) mergeList(kind catalog.RecordKind, records []Record, asOf uint64) {
	s := tx.set
	present := make(map[string]bool, len(records))
	for i := range records {
		if records[i].Kind != kind {
			continue
		}
		// A peer's list also holds tombstones, possibly of an earlier delete.
		present[records[i].Name] = !records[i].Newest.Deleted
		tx.merge(&records[i], 0)
	}
	for key, e := range s.entries {
		if key.Kind == kind && !present[key.Name] && !e.newest.Deleted {
			// A version newer than the list stays: mergeNewest ignores lower revisions.
			tx.mergeNewest(e, Version{Revision: asOf, Deleted: true})
		}
	}
	s.asOf[kind] = asOf
	s.floor[kind] = asOf
	if s.listedKinds |= kindBit(kind); s.Complete() {
		tx.queueUnevaluated()
	}
}

func (tx *transaction) queueUnevaluated() {
	for key, e := range tx.set.entries {
		if !e.verdict.evaluated && e.newest.newerThan(e.inForce) {
			tx.pending[key] = e
		}
	}
}

// mergeNewest merges a version that may be the newest. It ignores a revision that
// is not greater than the known one, so that a record never reverts to an older
// version.
func (tx *transaction) mergeNewest(e *entry, v Version) {
	if v.Revision <= e.newest.Revision {
		return
	}
	s := tx.set
	if e.newest.Deleted {
		s.tombstones--
	}
	e.newest = v
	e.candidate = nil
	s.removeWaiting(e)
	s.index.add(e)
	tx.changed[e.key] = e
	tx.affected[e.key] = e
	if v.Deleted {
		s.tombstones++
		delete(tx.pending, e.key)
		tx.putTombstone(e, v)
		return
	}
	tx.pending[e.key] = e
}

// mergeInForce merges a version that a peer, or the status in the store, reports
// as accepted. A version that this instance can't decode is not put in force: a
// newer release may have accepted it.
func (tx *transaction) mergeInForce(e *entry, v Version) {
	switch {
	case v.Deleted && v.newerThan(e.inForce):
		tx.changed[e.key] = e
		tx.putTombstone(e, v)
	case v.Deleted:
	case e.inForce.Deleted && v.Revision < e.inForce.Revision:
		tx.mergeKeptSpec(e, v)
	case v.newerThan(e.inForce):
		if item := tx.set.decodeOrNil(e.key, v); item != nil {
			tx.changed[e.key] = e
			tx.putInForce(e, v, item)
		}
	}
}

// putTombstone puts a delete in force with the newest known spec of the record.
// Whether the pool or tier then leaves the snapshot depends on the records that
// refer to it; see effectiveItem.
func (tx *transaction) putTombstone(e *entry, v Version) {
	if !retainedWhileUsed(e.key.Kind) {
		tx.putInForce(e, Version{Revision: v.Revision, Deleted: true}, nil)
		return
	}
	item := tx.set.decodeOrNil(e.key, v)
	if item == nil || e.inForce.SpecRevision > v.SpecRevision {
		v.Spec, v.SpecRevision, item = e.inForce.Spec, e.inForce.SpecRevision, e.item
	}
	tx.putInForce(e, v, item)
}

// mergeKeptSpec replaces the spec that a tombstone retains with a newer one.
func (tx *transaction) mergeKeptSpec(e *entry, v Version) {
	if !retainedWhileUsed(e.key.Kind) || v.SpecRevision <= e.inForce.SpecRevision {
		return
	}
	item := tx.set.decodeOrNil(e.key, v)
	if item == nil {
		return
	}
	kept := e.inForce
	kept.Spec, kept.SpecRevision = v.Spec, v.SpecRevision
	tx.changed[e.key] = e
	tx.putInForce(e, kept, item)
}

func (tx *transaction) putInForce(e *entry, v Version, item catalog.Item) {
	e.inForce, e.item = v, item
	tx.set.maxInForce = max(tx.set.maxInForce, v.Revision)
	if v.Deleted && e.newest.Revision == v.Revision {
		e.newest = v
	}
	if e.newest.Revision <= v.Revision {
		e.candidate, e.reason = nil, ""
		tx.set.removeWaiting(e)
		delete(tx.pending, e.key)
	}
	tx.affected[e.key] = e
	tx.updateSnapshot(e)
}

// commit evaluates the pending records until nothing changes any more, and
// publishes the result.
func (tx *transaction) commit() ([]Record, *catalog.Snapshot, []Verdict) {
	s := tx.set
	for s.Complete() && tx.requeueWaiting() {
		for _, e := range byRevision(tx.pending) {
			delete(tx.pending, e.key)
			tx.evaluate(e)
		}
	}
	clear(tx.pending)
	s.snapshot = tx.draft.publish(s.maxInForce)
	verdicts := tx.changedVerdicts()
	changed := tx.changedRecords()
	s.prune()
	return changed, s.snapshot, verdicts
}

// requeueWaiting adds the records that wait for a changed kind to the pending
// ones. The loop in commit terminates, because each iteration but the last puts a
// newer version in force.
func (tx *transaction) requeueWaiting() bool {
	for _, kind := range Kinds {
		if tx.changedKinds&kindBit(kind) == 0 {
			continue
		}
		for key, e := range tx.set.waiting[kindBit(kind)] {
			tx.pending[key] = e
		}
	}
	tx.changedKinds = 0
	return len(tx.pending) > 0
}

func (tx *transaction) changedRecords() []Record {
	records := make([]Record, 0, len(tx.changed))
	for _, e := range byRevision(tx.changed) {
		records = append(records, e.record())
	}
	return records
}

func (tx *transaction) changedVerdicts() []Verdict {
	var verdicts []Verdict
	for _, e := range byRevision(tx.affected) {
		tx.set.updateSums(e)
		now := tx.set.verdictOf(e)
		if !now.evaluated || now.equal(e.verdict) {
			e.verdict = now
			continue
		}
		e.verdict = now
		verdicts = append(verdicts, e.exportVerdict())
	}
	return verdicts
}

// byRevision sorts entries in the order of the store's writes. The record that was
// written first is evaluated first, so that instances which start from the same
// records reach the same verdicts.
func byRevision(entries map[Key]*entry) []*entry {
	sorted := make([]*entry, 0, len(entries))
	for _, e := range entries {
		sorted = append(sorted, e)
	}
	slices.SortFunc(sorted, func(a, b *entry) int {
		return compareCursors(a.cursor(), b.cursor())
	})
	return sorted
}

func (e *entry) cursor() Cursor { return Cursor{Revision: e.newest.Revision, Key: e.key} }

func compareCursors(a, b Cursor) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}
