package confsync

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// maxTombstones bounds the deleted targets that are remembered.
const maxTombstones = 4096

// targetList holds the newest known entry of each target. Like the records of
// the configuration, an entry's revision only grows.
type targetList struct {
	entries    map[string]targetEntry
	tombstones int
	// floor is the revision at or below which an unknown target is one that
	// was deleted: a full list, or a tombstone since forgotten, has shown it.
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

// put takes an entry unless it is an old one. A store that answers from the
// past, or a peer that was parted, would otherwise bring a target back that is
// gone, and requests would be sent to it.
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

// applyList takes a full list as of a revision and deletes what it no longer
// has. What is newer than the list stays: the store may answer from the past.
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

// raiseFloor takes the revision of a full list that was taken over.
func (l *targetList) raiseFloor(asOf uint64) { l.floor = max(l.floor, asOf) }

// prune forgets the oldest half of the tombstones when there are too many. The
// floor rises with them and takes their place.
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

// isLive tells whether the list has a target.
func (l *targetList) isListed(name string) bool {
	e, known := l.entries[name]
	return known && !e.deleted
}

// after returns the entries behind a name, in the order of names.
func (l *targetList) after(name string, limit, bytes int) []spread.Record {
	var page []spread.Record
	for _, next := range slices.Sorted(maps.Keys(l.entries)) {
		if next <= name {
			continue
		}
		if len(page) == limit || bytes <= 0 {
			break
		}
		page = append(page, l.record(next))
		bytes -= len(l.entries[next].spec)
	}
	return page
}

func (l *targetList) record(name string) spread.Record {
	e := l.entries[name]
	return spread.Record{Kind: platformapi.KindTargets, Name: name, Revision: e.revision, Deleted: e.deleted, Body: e.spec}
}

// takeNews returns what changed since the last call, to be passed on.
func (l *targetList) takeUnsent() []spread.Record {
	news := make([]spread.Record, 0, len(l.unsent))
	for name := range l.unsent {
		news = append(news, l.record(name))
	}
	clear(l.unsent)
	return news
}

// take returns the live entries when they changed since the last call.
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
