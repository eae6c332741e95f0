package confsync

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/record"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// watchedKinds are read by one waiting call together.
var watchedKinds = append([]string{platformapi.KindTargets}, platformapi.RecordKinds...)

// watch lists everything, then waits for changes until the instance's role
// changes, the time for a new list comes or the store fails.
//
// A new writer of the verdicts lists too: the one before may have died with
// verdicts unwritten, and only the store knows which.
func (s *Sync) watch(ctx context.Context) error {
	role := s.role()
	if role != writer {
		s.verdicts.clear()
	}
	from, err := s.list(ctx)
	if err != nil {
		return err
	}
	until := time.Now().Add(s.relistInterval())
	for time.Now().Before(until) && ctx.Err() == nil && s.role() == role {
		changes, err := s.watchOnce(ctx, from, min(watchWait, time.Until(until)))
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

// watchOnce waits for changes. The store's client would wait longer for an
// answer that never comes than a change may take to be in force.
func (s *Sync) watchOnce(ctx context.Context, from uint64, wait time.Duration) (platformapi.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	return s.opts.Store.Watch(ctx, watchedKinds, from, wait)
}

// role is what an instance does for the others.
type role int

const (
	follower role = iota
	watcher
	writer
)

func (s *Sync) role() role {
	rank, ok := s.opts.WatcherRank()
	switch {
	case !ok:
		return follower
	case rank == 0:
		return writer
	}
	return watcher
}

// pageSize is the number of objects in a page of the platform's list.
const pageSize = platformapi.MaxPageItems

// untilList is the time between two lists of everything.
func (s *Sync) relistInterval() time.Duration {
	return time.Duration(1+s.listPages) * minRelistInterval
}

// list reads all watched kinds and returns the least revision of the lists, to
// watch from.
func (s *Sync) list(ctx context.Context) (from uint64, err error) {
	pages := 0
	for i, kind := range watchedKinds {
		list, err := s.opts.Store.List(ctx, kind)
		if err != nil {
			return 0, errors.Wrapf(err, "list %s", kind)
		}
		s.withLock(func() { s.mergeList(kind, list) })
		if i == 0 || list.Revision < from {
			from = list.Revision
		}
		pages += len(list.Items) / pageSize
	}
	s.listPages = pages
	return from, nil
}

// mergeList needs the lock.
func (s *Sync) mergeList(kind string, list platformapi.List) {
	if kind == platformapi.KindTargets {
		s.targets.applyList(list)
		s.gossipTargets()
		return
	}
	records := make([]config.Record, 0, len(list.Items))
	for i := range list.Items {
		records = append(records, record.FromObject(catalog.RecordKind(kind), &list.Items[i]))
	}
	s.publishChanges(s.set.ApplyList(catalog.RecordKind(kind), records, list.Revision))
	s.publishNewerInForce(records)
	if !s.isVerdictWriter() {
		return
	}
	for i := range list.Items {
		s.queueMissingVerdict(kind, &list.Items[i])
	}
}

func (s *Sync) applyEvents(events []platformapi.Event) {
	s.withLock(func() { s.mergeEvents(events) })
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
		records = append(records, record.FromEvent(catalog.RecordKind(e.Kind), e))
	}
	s.applyRecords(records)
	s.gossipTargets()
	if !s.isVerdictWriter() {
		return
	}
	for i := range events {
		if e := &events[i]; !e.Deleted && e.Kind != platformapi.KindTargets {
			s.queueMissingVerdict(e.Kind, &e.Object)
		}
	}
}

// spreadTargets passes what is new in the list of targets on to the peers and
// to the router. It needs the lock.
func (s *Sync) gossipTargets() {
	s.outbox = append(s.outbox, s.targets.takeUnsent()...)
	s.notifyTargets()
}
