package confsync

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// watchedKinds are read by one waiting call together.
var watchedKinds = append([]string{platformapi.KindTargets}, platformapi.RecordKinds...)

// watch lists everything, then waits for changes until the instance's role
// ends, the time for a new list comes or the store fails.
func (s *Sync) watch(ctx context.Context) error {
	from, pages, err := s.list(ctx)
	if err != nil {
		return err
	}
	until := time.Now().Add(time.Duration(1+pages) * relistEvery)
	for time.Now().Before(until) && ctx.Err() == nil {
		if _, watcher := s.opts.WatcherRank(); !watcher {
			return nil
		}
		changes, err := s.opts.Store.Watch(ctx, watchedKinds, from, watchWait)
		if errors.Is(err, platform.ErrCompacted) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "watch configuration")
		}
		s.applyEvents(changes.Events)
		from = max(from, changes.Revision)
	}
	return nil
}

// pageSize is the number of objects in a page of the platform's list.
const pageSize = 500

// list reads all watched kinds and returns the least revision of the lists, to
// watch from, and how many pages they had.
func (s *Sync) list(ctx context.Context) (from uint64, pages int, err error) {
	for i, kind := range watchedKinds {
		list, err := s.opts.Store.List(ctx, kind)
		if err != nil {
			return 0, 0, errors.Wrapf(err, "list %s", kind)
		}
		s.applyList(kind, list)
		if i == 0 || list.Revision < from {
			from = list.Revision
		}
		pages += len(list.Items) / pageSize
	}
	return from, pages, nil
}

func (s *Sync) applyList(kind string, list platformapi.List) {
	s.locked(func() { s.mergeList(kind, list) })
}

// mergeList needs the lock.
func (s *Sync) mergeList(kind string, list platformapi.List) {
	if kind == platformapi.KindTargets {
		s.applyTargetList(list)
		return
	}
	records := make([]config.Record, 0, len(list.Items))
	for i := range list.Items {
		records = append(records, liveRecord(kind, &list.Items[i]))
		s.noteStatus(kind, &list.Items[i])
	}
	s.settle(s.set.ApplyList(catalog.RecordKind(kind), records, list.Revision))
	keys := make([]config.Key, 0, len(records))
	for _, r := range records {
		keys = append(keys, r.Key)
	}
	// A verdict that the writer before could not write any more is written now.
	s.writeVerdicts(keys)
}

func liveRecord(kind string, o *platformapi.Object) config.Record {
	key := config.Key{Kind: catalog.RecordKind(kind), Name: o.Metadata.Name}
	return config.Live(key, o.Metadata.Revision, o.Spec)
}

// applyTargetList needs the lock.
func (s *Sync) applyTargetList(list platformapi.List) {
	present := make(map[string]bool, len(list.Items))
	for i := range list.Items {
		o := &list.Items[i]
		present[o.Metadata.Name] = true
		s.targets.put(o.Metadata.Name, o.Metadata.Revision, false, o.Spec)
	}
	s.targets.deleteAbsent(present, list.Revision)
	s.spreadTargets()
}

func (s *Sync) applyEvents(events []platformapi.Event) {
	s.locked(func() { s.mergeEvents(events) })
}

// mergeEvents needs the lock.
func (s *Sync) mergeEvents(events []platformapi.Event) {
	var records []config.Record
	for i := range events {
		e := &events[i]
		if e.Kind == platformapi.KindTargets {
			s.targets.put(e.Object.Metadata.Name, e.Object.Metadata.Revision, e.Deleted, e.Object.Spec)
			continue
		}
		records = append(records, eventRecord(e))
		s.noteStatus(e.Kind, &e.Object)
	}
	s.applyRecords(records)
	s.spreadTargets()
}

func eventRecord(e *platformapi.Event) config.Record {
	if e.Deleted {
		key := config.Key{Kind: catalog.RecordKind(e.Kind), Name: e.Object.Metadata.Name}
		return config.Tombstone(key, e.Object.Metadata.Revision)
	}
	return liveRecord(e.Kind, &e.Object)
}

// spreadTargets passes what is new in the list of targets on to the peers and
// to the router. It needs the lock.
func (s *Sync) spreadTargets() {
	s.outbox = append(s.outbox, s.targets.takeNews()...)
	s.publishTargets()
}

func toSpread(records []config.Record) []spread.Record {
	out := make([]spread.Record, 0, len(records))
	for _, r := range records {
		if sr, ok := encodeSpread(r); ok {
			out = append(out, sr)
		}
	}
	return out
}
