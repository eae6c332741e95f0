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

// watchedKinds lists the kinds that one watch covers together.
var watchedKinds = append([]string{platformapi.KindTargets}, platformapi.RecordKinds...)

// watch lists all kinds, then waits for changes until the instance's role changes, the
// next list is due or the store fails.
//
// An instance that becomes the verdict writer lists again as well: its predecessor may
// have stopped with unwritten verdicts, and only the store shows which.
func (s *Sync) watch(ctx context.Context) error {
	role := s.role()
	if role != writingWatcher {
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

// watchOnce waits for changes. It sets its own timeout, because the store client's timeout is
// longer than the time in which a change has to be in force.
func (s *Sync) watchOnce(ctx context.Context, from uint64, wait time.Duration) (platformapi.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	return s.opts.Store.Watch(ctx, watchedKinds, from, wait)
}

// role is the part that an instance has in the synchronisation.
type role int

const (
	// follower learns changes from gossip.
	follower role = iota
	// watcher watches the store.
	watcher
	// writingWatcher is the watcher that also writes the verdicts, which say whether
	// each record is accepted or refused.
	writingWatcher
)

func (s *Sync) role() role {
	rank, ok := s.opts.WatcherRank()
	switch {
	case !ok:
		return follower
	case rank == 0:
		return writingWatcher
	}
	return watcher
}

// pageSize is the number of objects in a page of the platform's list.
const pageSize = platformapi.MaxPageItems

// relistInterval returns the time between two lists of all kinds.
func (s *Sync) relistInterval() time.Duration {
	return time.Duration(1+s.listPages) * minRelistInterval
}

// list reads all watched kinds and returns the lowest revision of the lists, from which
// to watch.
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

// mergeList applies a full list of one kind. The caller holds the lock.
func (s *Sync) mergeList(kind string, list platformapi.List) {
	if kind == platformapi.KindTargets {
		s.targets.applyList(list)
		s.queueTargetChanges()
		return
	}
	records := make([]config.Record, 0, len(list.Items))
	for i := range list.Items {
		records = append(records, record.FromObject(catalog.RecordKind(kind), &list.Items[i]))
	}
	s.applySetChanges(s.set.ApplyList(catalog.RecordKind(kind), records, list.Revision))
	s.queueNewerInForce(records)
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

// mergeEvents applies the changes of a watch. The caller holds the lock.
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
	s.queueTargetChanges()
	if !s.isVerdictWriter() {
		return
	}
	for i := range events {
		if e := &events[i]; !e.Deleted && e.Kind != platformapi.KindTargets {
			s.queueMissingVerdict(e.Kind, &e.Object)
		}
	}
}

// queueTargetChanges queues the changes of the list of targets for gossip, and calls
// OnTargets if the list has changed. The caller holds the lock.
func (s *Sync) queueTargetChanges() {
	s.outbox = append(s.outbox, s.targets.takeUnsent()...)
	s.notifyTargets()
}
