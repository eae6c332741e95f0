package confsync

import (
	"encoding/json"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// maxTombstones bounds the deleted targets that are remembered.
const maxTombstones = 4096

// targetList holds the newest known entry of each target. Like the records of
// the configuration, an entry's revision only grows.
type targetList struct {
	entries map[string]targetEntry
	graves  int
	news    map[string]struct{}
	changed bool
}

type targetEntry struct {
	revision uint64
	deleted  bool
	spec     []byte
	decoded  platformapi.TargetEntry
}

func newTargetList() *targetList {
	return &targetList{entries: make(map[string]targetEntry), news: make(map[string]struct{})}
}

// put takes an entry unless a newer one is held.
func (l *targetList) put(name string, revision uint64, deleted bool, spec []byte) {
	old, known := l.entries[name]
	if known && old.revision >= revision {
		return
	}
	entry := targetEntry{revision: revision, deleted: deleted, spec: spec}
	if !deleted && json.Unmarshal(spec, &entry.decoded) != nil {
		return
	}
	if deleted && !old.deleted {
		l.graves++
	}
	if !deleted && old.deleted {
		l.graves--
	}
	l.entries[name] = entry
	l.news[name] = struct{}{}
	l.changed = true
	l.prune()
}

// deleteAbsent deletes what a full list as of a revision no longer has.
func (l *targetList) deleteAbsent(present map[string]bool, asOf uint64) {
	for name, e := range l.entries {
		if !present[name] && !e.deleted && e.revision < asOf {
			l.put(name, asOf, true, nil)
		}
	}
}

// prune forgets the oldest half of the deleted entries when there are too many.
func (l *targetList) prune() {
	if l.graves <= maxTombstones {
		return
	}
	newest := uint64(0)
	for _, e := range l.entries {
		newest = max(newest, e.revision)
	}
	for name, e := range l.entries {
		if e.deleted && e.revision < newest/2 || l.graves > maxTombstones && e.deleted {
			delete(l.entries, name)
			l.graves--
		}
	}
}

// takeNews returns what changed since the last call, to be passed on.
func (l *targetList) takeNews() []spread.Record {
	news := make([]spread.Record, 0, len(l.news))
	for name := range l.news {
		e := l.entries[name]
		news = append(news, spread.Record{
			Kind:     platformapi.KindTargets,
			Name:     name,
			Revision: e.revision,
			Deleted:  e.deleted,
			Body:     e.spec,
		})
	}
	clear(l.news)
	return news
}

// take returns the live entries when they changed since the last call.
func (l *targetList) take() ([]platformapi.TargetEntry, bool) {
	if !l.changed {
		return nil, false
	}
	l.changed = false
	clear(l.news)
	list := make([]platformapi.TargetEntry, 0, len(l.entries)-l.graves)
	for _, e := range l.entries {
		if !e.deleted {
			list = append(list, e.decoded)
		}
	}
	return list, true
}
