// Package tidy removes the entries of ended instances from the platform's store. One
// instance does it at a time. If two instances believe that they have the duty, the
// conditional deletes of the second one fail without effect.
package tidy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// Timing and limits.
const (
	interval = time.Minute
	// instanceGrace is the time for which an instance has to be absent before its entry
	// is removed. Regions may be partitioned for an hour, and removing the entry of a
	// live instance would hide it from new instances.
	instanceGrace = 2 * time.Hour
	// reportGrace is the time for which the report of an absent instance is kept for
	// operators.
	reportGrace = 48 * time.Hour
	// maxDeletes limits the deletes of each kind on one tick.
	maxDeletes = 20
)

// Tidier removes entries of absent instances periodically.
type Tidier struct {
	store platform.Store
	// hasDuty reports whether this instance has the duty now.
	hasDuty func() bool
	// isLive reports whether an instance is live.
	isLive func(name string) bool
	now    func() time.Time
	// absences holds, by kind and name, the entries whose instance isn't live.
	absences map[string]map[string]absence
}

// absence is the revision of an entry without a live instance, and the time since which
// the entry was unchanged and the instance absent.
type absence struct {
	revision uint64
	since    time.Time
}

// New returns a tidier.
func New(store platform.Store, hasDuty func() bool, isLive func(name string) bool, now func() time.Time) *Tidier {
	return &Tidier{store: store, hasDuty: hasDuty, isLive: isLive, now: now, absences: make(map[string]map[string]absence)}
}

// Run removes entries until the context ends.
func (t *Tidier) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.Tick(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// Tick removes the entries that are due, if this instance has the duty. Deletes that the
// store refuses are repeated on a later tick.
func (t *Tidier) Tick(ctx context.Context) {
	if !t.hasDuty() {
		clear(t.absences)
		return
	}
	_ = t.removeAbsent(ctx, platformapi.KindInstances, instanceGrace)
	_ = t.removeAbsent(ctx, platformapi.KindDigests, reportGrace)
}

// removeAbsent removes the entries of one kind whose absence exceeds the grace.
func (t *Tidier) removeAbsent(ctx context.Context, kind string, grace time.Duration) error {
	list, err := t.store.ListStale(ctx, kind)
	if err != nil {
		return errors.Wrapf(err, "tidy: list %s", kind)
	}
	t.absences[kind] = t.updateAbsences(t.absences[kind], list.Items)
	deletes := 0
	for name, a := range t.absences[kind] {
		if t.now().Sub(a.since) <= grace || deletes == maxDeletes {
			continue
		}
		deletes++
		if err := t.delete(ctx, kind, name, a.revision); err != nil {
			return errors.Wrapf(err, "tidy: delete %s", kind)
		}
	}
	return nil
}

// updateAbsences returns the absences of the listed entries without a live instance. Those
// of unchanged entries keep their start time. Entries that are no longer listed are dropped.
//
// A new revision of an entry restarts its absence. Otherwise an entry would be removed long
// before its grace has passed if its instance came back and wrote the entry between two
// ticks, or if it was unreachable from this instance only and went on writing its reports.
func (t *Tidier) updateAbsences(before map[string]absence, items []platformapi.Object) map[string]absence {
	now := make(map[string]absence)
	for i := range items {
		metadata := items[i].Metadata
		if t.isLive(metadata.Name) {
			continue
		}
		a, known := before[metadata.Name]
		if !known || a.revision != metadata.Revision {
			a = absence{revision: metadata.Revision, since: t.now()}
		}
		now[metadata.Name] = a
	}
	return now
}

// delete removes an entry if it still has the listed revision. An entry that was written or
// removed in the meantime is no error.
func (t *Tidier) delete(ctx context.Context, kind, name string, revision uint64) error {
	err := t.store.Delete(ctx, kind, name, revision)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) || errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}
