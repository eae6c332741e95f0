package config

import (
	"cmp"
	"slices"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// change is one call of Apply or ApplyList.
type change struct {
	set   *Set
	draft *draft
	// news are the entries that learned something to be passed on.
	news map[Key]*entry
	// queue holds the entries to judge.
	queue map[Key]*entry
	// review holds the entries whose verdict may have changed.
	review map[Key]*entry
	// altered are the kinds of which something in force has changed since the
	// waiting records were last looked through.
	altered kinds
}

func (s *Set) begin() *change {
	return &change{
		set:    s,
		draft:  newDraft(s.snapshot),
		news:   map[Key]*entry{},
		queue:  map[Key]*entry{},
		review: map[Key]*entry{},
	}
}

// merge takes one record, unless it is an old version of one that is gone.
func (c *change) merge(r *Record, floor uint64) {
	if bit(r.Kind) == 0 || r.Newest.Revision == 0 {
		return
	}
	e, known := c.set.entries[r.Key]
	if r.Newest.Revision <= floor && isOld(e, r.Newest) {
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
func isOld(e *entry, v Version) bool {
	if v.Deleted {
		return e == nil && v.SpecRevision == 0
	}
	return e == nil || e.newest.Deleted
}

func (c *change) mergeList(kind catalog.RecordKind, records []Record, asOf uint64) {
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
	if s.listed |= bit(kind); s.Complete() {
		c.queueUnjudged()
	}
}

func (c *change) queueUnjudged() {
	for key, e := range c.set.entries {
		if !e.verdict.judged && e.newest.newerThan(e.inForce) {
			c.queue[key] = e
		}
	}
}

// mergeNewest takes a version that may be the newest. A revision that is not
// greater is ignored: that is what keeps a record from ever going back.
func (c *change) mergeNewest(e *entry, v Version) {
	if v.Revision <= e.newest.Revision {
		return
	}
	s := c.set
	if e.newest.Deleted {
		s.tombstones--
	}
	e.newest = v
	e.candidate = nil
	s.stopWaiting(e)
	s.history.add(e)
	c.news[e.key] = e
	c.review[e.key] = e
	if v.Deleted {
		s.tombstones++
		delete(c.queue, e.key)
		c.putTombstone(e, v)
		return
	}
	c.queue[e.key] = e
}

// mergeInForce takes a version that a peer, or the status in the store, says
// was accepted. What this instance can't decode stays out of force: a newer
// release may have accepted it.
func (c *change) mergeInForce(e *entry, v Version) {
	switch {
	case v.Deleted && v.newerThan(e.inForce):
		c.news[e.key] = e
		c.putTombstone(e, v)
	case v.Deleted:
	case e.inForce.Deleted && v.Revision < e.inForce.Revision:
		c.mergeKeptSpec(e, v)
	case v.newerThan(e.inForce):
		if item := c.set.decodeOrNil(e.key, v); item != nil {
			c.news[e.key] = e
			c.putInForce(e, v, item)
		}
	}
}

// putTombstone puts a delete in force with the newest spec known for it.
// Whether a pool or tier then disappears hangs on its users and is computed from
// them; see shownItem.
func (c *change) putTombstone(e *entry, v Version) {
	if !keepsSpec(e.key.Kind) {
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
func (c *change) mergeKeptSpec(e *entry, v Version) {
	if !keepsSpec(e.key.Kind) || v.SpecRevision <= e.inForce.SpecRevision {
		return
	}
	item := c.set.decodeOrNil(e.key, v)
	if item == nil {
		return
	}
	kept := e.inForce
	kept.Spec, kept.SpecRevision = v.Spec, v.SpecRevision
	c.news[e.key] = e
	c.putInForce(e, kept, item)
}

func (c *change) putInForce(e *entry, v Version, item catalog.Item) {
	e.inForce, e.item = v, item
	c.set.inForce = max(c.set.inForce, v.Revision)
	if v.Deleted && e.newest.Revision == v.Revision {
		e.newest = v
	}
	if e.newest.Revision <= v.Revision {
		e.candidate, e.reason = nil, ""
		c.set.stopWaiting(e)
		delete(c.queue, e.key)
	}
	c.review[e.key] = e
	c.show(e)
}

// finish judges what is new until nothing changes any more.
func (c *change) finish() ([]Record, *catalog.Snapshot, []Verdict) {
	s := c.set
	for s.Complete() && c.next() {
		for _, e := range byRevision(c.queue) {
			delete(c.queue, e.key)
			c.judge(e)
		}
	}
	clear(c.queue)
	s.snapshot = c.draft.publish(s.inForce)
	verdicts := c.verdicts()
	changed := c.records()
	s.prune()
	return changed, s.snapshot, verdicts
}

// next refills the queue with the records that wait for what has changed. It
// ends, because each round but the last puts a newer version in force.
func (c *change) next() bool {
	for _, kind := range Kinds {
		if c.altered&bit(kind) == 0 {
			continue
		}
		for key, e := range c.set.waiting[bit(kind)] {
			c.queue[key] = e
		}
	}
	c.altered = 0
	return len(c.queue) > 0
}

func (c *change) records() []Record {
	records := make([]Record, 0, len(c.news))
	for _, e := range byRevision(c.news) {
		records = append(records, e.record())
	}
	return records
}

func (c *change) verdicts() []Verdict {
	var verdicts []Verdict
	for _, e := range byRevision(c.review) {
		c.set.resum(e)
		now := c.set.verdictOf(e)
		if !now.judged || now.same(e.verdict) {
			e.verdict = now
			continue
		}
		e.verdict = now
		verdicts = append(verdicts, e.handOut())
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
