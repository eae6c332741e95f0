// Package tidy removes what instances that are gone for good left in the
// platform's store. One instance does it at a time; a second one that believes
// the same only loses its conditional deletes.
package tidy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// Times of the driver.
const (
	interval = time.Minute
	// instanceGrace is how long an instance has to be gone before its entry is
	// removed: regions may lose each other for an hour, and an entry that is
	// removed while its instance lives hides it from new ones.
	instanceGrace = 2 * time.Hour
	// reportGrace is how long operators find the report of an instance that is
	// gone.
	reportGrace = 48 * time.Hour
	// maxDeletes bounds the deletes of one round.
	maxDeletes = 20
)

// Tidier is the driver.
type Tidier struct {
	store platform.Store
	// mine tells whether this instance has the duty now.
	hasDuty func() bool
	// live tells whether an instance is live.
	isLive func(name string) bool
	now    func() time.Time
	// gone holds, by kind and name, the entries whose instance is not live.
	absences map[string]map[string]absence
}

// absence is since when an entry stands as it is without its instance.
type absence struct {
	revision uint64
	since    time.Time
}

// New makes a tidier.
func New(store platform.Store, mine func() bool, live func(name string) bool, now func() time.Time) *Tidier {
	return &Tidier{store: store, hasDuty: mine, isLive: live, now: now, absences: make(map[string]map[string]absence)}
}

// Run tidies until the context ends.
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

// Round does what is due, if this instance has the duty. What the store refuses
// is left for a later round.
func (t *Tidier) Tick(ctx context.Context) {
	if !t.hasDuty() {
		clear(t.absences)
		return
	}
	_ = t.removeAbsent(ctx, platformapi.KindInstances, instanceGrace)
	_ = t.removeAbsent(ctx, platformapi.KindDigests, reportGrace)
}

// kind removes the entries of one kind that are due.
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

// absent returns the entries without a live instance, with the time from before
// for those that stand unchanged. What is no longer listed is forgotten.
//
// Guard: an instance may come back and write its entry between two rounds, or be
// cut off from this one alone and go on writing its reports. Were the time kept
// by name, such an entry would be removed long before its grace. A new revision
// starts the time anew.
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

// delete removes an entry as it was listed. One that was written or removed
// since is left alone.
func (t *Tidier) delete(ctx context.Context, kind, name string, revision uint64) error {
	err := t.store.Delete(ctx, kind, name, revision)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) || errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}
