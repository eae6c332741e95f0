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
	mine func() bool
	// live tells whether an instance is live.
	live func(name string) bool
	now  func() time.Time
	// gone holds when an entry was first found without its instance.
	gone map[string]time.Time
}

// New makes a tidier.
func New(store platform.Store, mine func() bool, live func(name string) bool, now func() time.Time) *Tidier {
	return &Tidier{store: store, mine: mine, live: live, now: now, gone: make(map[string]time.Time)}
}

// Run tidies until the context ends.
func (t *Tidier) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.Round(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// Round does what is due, if this instance has the duty. What the store refuses
// is left for a later round.
func (t *Tidier) Round(ctx context.Context) {
	if !t.mine() {
		clear(t.gone)
		return
	}
	_ = t.kind(ctx, platformapi.KindInstances, instanceGrace)
	_ = t.kind(ctx, platformapi.KindDigests, reportGrace)
}

func (t *Tidier) kind(ctx context.Context, kind string, grace time.Duration) error {
	list, err := t.store.ListStale(ctx, kind)
	if err != nil {
		return errors.Wrapf(err, "tidy: list %s", kind)
	}
	deletes := 0
	for i := range list.Items {
		metadata := list.Items[i].Metadata
		if !t.due(kind+"/"+metadata.Name, metadata.Name, grace) || deletes == maxDeletes {
			continue
		}
		deletes++
		if err := t.store.Delete(ctx, kind, metadata.Name, metadata.Revision); err != nil {
			return errors.Wrapf(err, "tidy: delete %s", kind)
		}
		delete(t.gone, kind+"/"+metadata.Name)
	}
	return nil
}

// due tells whether an entry's instance is gone for longer than grace.
func (t *Tidier) due(key, name string, grace time.Duration) bool {
	if t.live(name) {
		delete(t.gone, key)
		return false
	}
	since, known := t.gone[key]
	if !known {
		t.gone[key] = t.now()
		return false
	}
	return t.now().Sub(since) > grace
}
