package config

import (
	"cmp"
	"slices"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// change is one call of Apply or ApplyList.
type transaction struct {
	set   *Set
	draft *draft
	// news are the entries that learned something to be passed on.
	changed map[Key]*entry
	// queue holds the entries to judge.
	pending map[Key]*entry
	// review holds the entries whose verdict may have changed.
	affected map[Key]*entry
	// altered are the kinds of which something in force has changed since the
	// waiting records were last looked through.
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

// merge takes one record, unless it is an old version of one that is gone.
func (c *transaction) merge(r *Record, floor uint64) {
	if kindBit(r.Kind) == 0 || r.Newest.Revision == 0 {
		return
	}
	e, known := c.set.entries[r.Key]
	if r.Newest.Revision <= floor && isStale(e, r.Newest) {
		return
	}
	if !known {
		e = &entry{key: r.Key}
		c.set.entries[r.Key] = e
	}
	c.mergeNewest(e, r.Newest)
	if r.Accepted {
		c.mergeInForce(e, r.Newest)
	} else if r.InForce.Revision > 0 && r.InForce.Revision < r.Newest.Revision {
		c.mergeInForce(e, r.InForce)
	}
}

// isOld tells whether a version not above the floor would bring back a record
// that is gone. A peer that was parted, or a store that answers from the past,
// offers such versions, and the delete may be unknown here or older than they
// are. But the full list at the floor, or the tombstone that was pruned at it,
// has shown the record gone. The spec that a tombstone keeps may still be news.
func isStale(e *entry, v Version) bool {
	if v.Deleted {
		return e == nil && v.SpecRevision == 0
	}
	return e == nil || e.newest.Deleted
}

func (c *transaction) mergeList(kind catalog.RecordKind, records []Record, asOf uint64) {
	s := c.set
	present := make(map[string]bool, len(records))
	for i := range records {
		if records[i].Kind != kind {
			continue
		}
		// A peer's list holds tombstones too, perhaps of an earlier delete.
		present[records[i].Name] = !records[i].Newest.Deleted
		c.merge(&records[i], 0)
	}
	for key, e := range s.entries {
		if key.Kind == kind && !present[key.Name] && !e.newest.Deleted {
			// What is newer than the list stays: mergeNewest only goes forward.
			c.mergeNewest(e, Version{Revision: asOf, Deleted: true})
		}
	}
	s.asOf[kind] = asOf
	s.floor[kind] = asOf
	if s.listedKinds |= kindBit(kind); s.Complete() {
		c.queueUnevaluated()
	}
}

func (c *transaction) queueUnevaluated() {
	for key, e := range c.set.entries {
		if !e.verdict.evaluated && e.newest.newerThan(e.inForce) {
			c.pending[key] = e
		}
	}
}

// mergeNewest takes a version that may be the newest. A revision that is not
// greater is ignored: that is what keeps a record from ever going back.
func (c *transaction) mergeNewest(e *entry, v Version) {
	if v.Revision <= e.newest.Revision {
		return
	}
	s := c.set
	if e.newest.Deleted {
		s.tombstones--
	}
	e.newest = v
	e.candidate = nil
	s.removeWaiting(e)
	s.index.add(e)
	c.changed[e.key] = e
	c.affected[e.key] = e
	if v.Deleted {
		s.tombstones++
		delete(c.pending, e.key)
		c.putTombstone(e, v)
		return
	}
	c.pending[e.key] = e
}

// mergeInForce takes a version that a peer, or the status in the store, says
// was accepted. What this instance can't decode stays out of force: a newer
// release may have accepted it.
func (c *transaction) mergeInForce(e *entry, v Version) {
	switch {
	case v.Deleted && v.newerThan(e.inForce):
		c.changed[e.key] = e
		c.putTombstone(e, v)
	case v.Deleted:
	case e.inForce.Deleted && v.Revision < e.inForce.Revision:
		c.mergeKeptSpec(e, v)
	case v.newerThan(e.inForce):
		if item := c.set.decodeOrNil(e.key, v); item != nil {
			c.changed[e.key] = e
			c.putInForce(e, v, item)
		}
	}
}

// putTombstone puts a delete in force with the newest spec known for it.
// Whether a pool or tier then disappears hangs on its users and is computed from
// them; see shownItem.
func (c *transaction) putTombstone(e *entry, v Version) {
	if !retainedWhileUsed(e.key.Kind) {
		c.putInForce(e, Version{Revision: v.Revision, Deleted: true}, nil)
		return
	}
	item := c.set.decodeOrNil(e.key, v)
	if item == nil || e.inForce.SpecRevision > v.SpecRevision {
		v.Spec, v.SpecRevision, item = e.inForce.Spec, e.inForce.SpecRevision, e.item
	}
	c.putInForce(e, v, item)
}

// mergeKeptSpec replaces the spec that a tombstone keeps by a newer one.
func (c *transaction) mergeKeptSpec(e *entry, v Version) {
	if !retainedWhileUsed(e.key.Kind) || v.SpecRevision <= e.inForce.SpecRevision {
		return
	}
	item := c.set.decodeOrNil(e.key, v)
	if item == nil {
		return
	}
	kept := e.inForce
	kept.Spec, kept.SpecRevision = v.Spec, v.SpecRevision
	c.changed[e.key] = e
	c.putInForce(e, kept, item)
}

func (c *transaction) putInForce(e *entry, v Version, item catalog.Item) {
	e.inForce, e.item = v, item
	c.set.maxInForce = max(c.set.maxInForce, v.Revision)
	if v.Deleted && e.newest.Revision == v.Revision {
		e.newest = v
	}
	if e.newest.Revision <= v.Revision {
		e.candidate, e.reason = nil, ""
		c.set.removeWaiting(e)
		delete(c.pending, e.key)
	}
	c.affected[e.key] = e
	c.updateSnapshot(e)
}

// finish judges what is new until nothing changes any more.
func (c *transaction) commit() ([]Record, *catalog.Snapshot, []Verdict) {
	s := c.set
	for s.Complete() && c.requeueWaiting() {
		for _, e := range byRevision(c.pending) {
			delete(c.pending, e.key)
			c.evaluate(e)
		}
	}
	clear(c.pending)
	s.snapshot = c.draft.publish(s.maxInForce)
	verdicts := c.changedVerdicts()
	changed := c.changedRecords()
	s.prune()
	return changed, s.snapshot, verdicts
}

// next refills the queue with the records that wait for what has changed. It
// ends, because each round but the last puts a newer version in force.
func (c *transaction) requeueWaiting() bool {
	for _, kind := range Kinds {
		if c.changedKinds&kindBit(kind) == 0 {
			continue
		}
		for key, e := range c.set.waiting[kindBit(kind)] {
			c.pending[key] = e
		}
	}
	c.changedKinds = 0
	return len(c.pending) > 0
}

func (c *transaction) changedRecords() []Record {
	records := make([]Record, 0, len(c.changed))
	for _, e := range byRevision(c.changed) {
		records = append(records, e.record())
	}
	return records
}

func (c *transaction) changedVerdicts() []Verdict {
	var verdicts []Verdict
	for _, e := range byRevision(c.affected) {
		c.set.updateSums(e)
		now := c.set.verdictOf(e)
		if !now.evaluated || now.equal(e.verdict) {
			e.verdict = now
			continue
		}
		e.verdict = now
		verdicts = append(verdicts, e.exportVerdict())
	}
	return verdicts
}

// byRevision orders entries as the store did: what came first is judged first,
// so that instances which start from the same records judge alike.
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
