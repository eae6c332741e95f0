package confsync

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// maxTombstones bounds the number of deleted targets that are remembered.
const maxTombstones = 4096

// targetList holds the newest known entry of each target. As with configuration records,
// an entry's revision only increases.
type targetList struct {
	entries    map[string]targetEntry
	tombstones int
	// floor is the highest revision of a full list or of a pruned tombstone. An unknown
	// target with a revision up to it has been deleted.
	floor       uint64
	unsent      map[string]struct{}
	liveChanged bool
}

type targetEntry struct {
	revision uint64
	deleted  bool
	spec     []byte
	decoded  platformapi.TargetEntry
}

func newTargetList() *targetList {
	return &targetList{entries: make(map[string]targetEntry), unsent: make(map[string]struct{})}
}

// put stores an entry unless it is outdated. Otherwise a store that serves stale data, or
// a peer that was partitioned, would restore a removed target, and requests would be sent
// to it.
func (l *targetList) put(name string, revision uint64, deleted bool, spec []byte) {
	old, known := l.entries[name]
	if known && old.revision >= revision || !known && revision <= l.floor {
		return
	}
	entry := targetEntry{revision: revision, deleted: deleted, spec: spec}
	if deleted {
		entry.spec = nil
	} else if json.Unmarshal(spec, &entry.decoded) != nil {
		return
	}
	if deleted && !old.deleted {
		l.tombstones++
	}
	if !deleted && old.deleted {
		l.tombstones--
	}
	l.entries[name] = entry
	l.unsent[name] = struct{}{}
	l.liveChanged = true
	l.prune()
}

// applyList applies a full list as of a revision and deletes the targets that it lacks.
// Entries newer than the list stay, because the store may serve stale data.
func (l *targetList) applyList(list platformapi.List) {
	present := make(map[string]bool, len(list.Items))
	for i := range list.Items {
		o := &list.Items[i]
		present[o.Metadata.Name] = true
		l.put(o.Metadata.Name, o.Metadata.Revision, false, o.Spec)
	}
	for name, e := range l.entries {
		if !present[name] && !e.deleted && e.revision < list.Revision {
			l.put(name, list.Revision, true, nil)
		}
	}
	l.raiseFloor(list.Revision)
}

// raiseFloor raises the floor to the revision of a full list or a pruned tombstone.
func (l *targetList) raiseFloor(asOf uint64) { l.floor = max(l.floor, asOf) }

// prune drops the oldest half of the tombstones if there are too many. The floor is
// raised to their revisions and replaces them.
func (l *targetList) prune() {
	if l.tombstones <= maxTombstones {
		return
	}
	var deleted []string
	for name, e := range l.entries {
		if e.deleted {
			deleted = append(deleted, name)
		}
	}
	slices.SortFunc(deleted, func(a, b string) int {
		return cmp.Compare(l.entries[a].revision, l.entries[b].revision)
	})
	for _, name := range deleted[:len(deleted)/2] {
		l.raiseFloor(l.entries[name].revision)
		delete(l.entries, name)
		delete(l.unsent, name)
		l.tombstones--
	}
}

// isListed reports whether the list contains a target.
func (l *targetList) isListed(name string) bool {
	e, known := l.entries[name]
	return known && !e.deleted
}

// after returns the entries that follow a name, sorted by name: at most limit of them,
// with specs of about maxBytes in total.
func (l *targetList) after(name string, limit, maxBytes int) []spread.Record {
	var page []spread.Record
	for _, next := range slices.Sorted(maps.Keys(l.entries)) {
		if next <= name {
			continue
		}
		if len(page) == limit || maxBytes <= 0 {
			break
		}
		page = append(page, l.record(next))
		maxBytes -= len(l.entries[next].spec)
	}
	return page
}

func (l *targetList) record(name string) spread.Record {
	e := l.entries[name]
	return spread.Record{Kind: platformapi.KindTargets, Name: name, Revision: e.revision, Deleted: e.deleted, Body: e.spec}
}

// takeUnsent returns the entries to gossip: those changed since the last call of takeUnsent
// or takeLive.
func (l *targetList) takeUnsent() []spread.Record {
	changes := make([]spread.Record, 0, len(l.unsent))
	for name := range l.unsent {
		changes = append(changes, l.record(name))
	}
	clear(l.unsent)
	return changes
}

// takeLive returns the live entries, and false if nothing has changed since the last call.
func (l *targetList) takeLive() ([]platformapi.TargetEntry, bool) {
	if !l.liveChanged {
		return nil, false
	}
	l.liveChanged = false
	clear(l.unsent)
	list := make([]platformapi.TargetEntry, 0, len(l.entries)-l.tombstones)
	for _, e := range l.entries {
		if !e.deleted {
			list = append(list, e.decoded)
		}
	}
	return list, true
}
