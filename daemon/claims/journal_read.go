package claims

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// Get implements Storage. It reads the head from the store, because the cached view
// may be stale.
func (j *JournalStorage) Get(ctx context.Context, id claim.ID) claim.Event {
	shard := j.shard(id)
	object, err := j.store.Get(ctx, platformapi.KindClaims, shard.name)
	if errors.Is(err, platform.ErrNotFound) {
		return claim.Absent{}
	}
	if err != nil {
		return claim.ReadFailed{}
	}
	view, err := decodeJournal(object)
	if err != nil {
		return claim.ReadFailed{}
	}
	if e, ok := view.spec.Entries[id.String()]; ok {
		return e.existsEvent()
	}
	return shard.getSealed(ctx, view, id)
}

// getSealed looks a claim up in the stored segments, newest first.
func (j *journal) getSealed(ctx context.Context, v journalView, id claim.ID) claim.Event {
	for _, segment := range slices.Backward(v.spec.Sealed) {
		entries, err := j.readSegment(ctx, segment.Name)
		if err != nil {
			return claim.ReadFailed{}
		}
		if e, ok := entries[id.String()]; ok {
			return e.existsEvent()
		}
	}
	return claim.Absent{}
}

func (j *journal) readSegment(ctx context.Context, name string) (map[string]*journalEntry, error) {
	object, err := j.store.Get(ctx, platformapi.KindClaims, name)
	if err != nil {
		return nil, err
	}
	view, err := decodeJournal(object)
	return view.spec.Entries, err
}

// load reads the head and its segments into the view and reports whether it succeeded.
func (j *journal) load() bool {
	ctx, cancel := context.WithTimeout(context.Background(), j.timeout)
	defer cancel()
	object, err := j.store.Get(ctx, platformapi.KindClaims, j.name)
	if errors.Is(err, platform.ErrNotFound) {
		j.view = &journalView{}
		return true
	}
	if err != nil {
		return false
	}
	j.setView(object)
	return j.view != nil
}

// setView makes a head the view once all its segments are known. A segment that can't be
// read must not be treated as empty, or its keys would run again.
func (j *journal) setView(object *platformapi.Object) {
	j.view = nil
	if object == nil {
		return
	}
	view, err := decodeJournal(object)
	if err != nil {
		return
	}
	known := make(map[string]map[string]*journalEntry, len(view.spec.Sealed))
	for _, segment := range view.spec.Sealed {
		entries, ok := j.segments[segment.Name]
		if !ok {
			entries, ok = j.fetchSegment(segment.Name)
		}
		if !ok {
			return
		}
		known[segment.Name] = entries
	}
	j.segments = known
	j.view = &view
}

func (j *journal) fetchSegment(name string) (map[string]*journalEntry, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), j.timeout)
	defer cancel()
	entries, err := j.readSegment(ctx, name)
	return entries, err == nil
}

// Sweep implements Storage. It removes the old entries of the head, and the oldest segments
// up to the first one that has a claim within the retention. A segment is deleted only
// after a head that no longer names it was written. Only the removed entries of the head
// are counted.
func (j *JournalStorage) Sweep(ctx context.Context, before time.Time, pace func() error) (int, error) {
	removed := 0
	for _, shard := range j.shards {
		if err := pace(); err != nil {
			return removed, err
		}
		n, err := shard.sweep(ctx, before)
		removed += n
		if err != nil {
			return removed, err
		}
	}
	return removed, nil
}

func (j *journal) sweep(ctx context.Context, before time.Time) (int, error) {
	object, err := j.store.Get(ctx, platformapi.KindClaims, j.name)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	view, err := decodeJournal(object)
	if err != nil {
		return 0, err
	}
	old := slices.IndexFunc(view.spec.Sealed, func(s sealedSegment) bool { return !s.Newest.Before(before) })
	if old < 0 {
		old = len(view.spec.Sealed)
	}
	entries := len(view.spec.Entries)
	maps.DeleteFunc(view.spec.Entries, func(_ string, e *journalEntry) bool { return e.Record.CreatedAt.Before(before) })
	dropped := entries - len(view.spec.Entries)
	if old == 0 && dropped == 0 {
		return 0, nil
	}
	expired := view.spec.Sealed[:old]
	view.spec.Sealed = view.spec.Sealed[old:]
	head, err := view.object(j.name, view.revision)
	if err != nil {
		return 0, err
	}
	if _, err := j.store.Update(ctx, platformapi.KindClaims, head); err != nil {
		return 0, err
	}
	return dropped, j.deleteSegments(ctx, expired)
}

func (j *journal) deleteSegments(ctx context.Context, expired []sealedSegment) error {
	for _, segment := range expired {
		if err := j.store.Delete(ctx, platformapi.KindClaims, segment.Name, 0); err != nil {
			return err
		}
	}
	return nil
}
