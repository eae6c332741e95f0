package claims

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// Store is the subset of the platform's store that claims use.
type Store interface {
	Get(ctx context.Context, kind, name string) (*platformapi.Object, error)
	ListStalePage(ctx context.Context, kind, after string, limit int) (platformapi.List, error)
	Create(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error)
	Update(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error)
	Delete(ctx context.Context, kind, name string, revision uint64) error
}

// ObjectStorage is the Storage that stores each claim as one object, named by the
// claim's id. It needs two writes per claim, and one more when the retention ends.
type ObjectStorage struct {
	store Store
}

// NewObjectStorage returns an ObjectStorage on the store.
func NewObjectStorage(store Store) *ObjectStorage { return &ObjectStorage{store: store} }

// Create implements Storage.
func (o *ObjectStorage) Create(ctx context.Context, id claim.ID, r claim.Record) claim.Event {
	object, err := encodeRecord(id, 0, r)
	if err != nil {
		return claim.StoreUnavailable{}
	}
	written, err := o.store.Create(ctx, platformapi.KindClaims, object)
	return o.writeEvent(ctx, id, written, err)
}

// Replace implements Storage.
func (o *ObjectStorage) Replace(ctx context.Context, id claim.ID, revision uint64, r claim.Record) claim.Event {
	object, err := encodeRecord(id, revision, r)
	if err != nil {
		return claim.StoreUnavailable{}
	}
	written, err := o.store.Update(ctx, platformapi.KindClaims, object)
	return o.writeEvent(ctx, id, written, err)
}

// Get implements Storage.
func (o *ObjectStorage) Get(ctx context.Context, id claim.ID) claim.Event {
	object, err := o.store.Get(ctx, platformapi.KindClaims, id.String())
	if errors.Is(err, platform.ErrNotFound) {
		return claim.Absent{}
	}
	if err != nil {
		return claim.ReadFailed{}
	}
	return decodeClaim(object)
}

// sweepPageSize is the number of claims that a sweep reads at once. The claims of a day
// would not fit into an instance's memory.
const sweepPageSize = 100

// Sweep implements Storage. Stale pages do no harm: a claim's creation time doesn't
// change, and each removal is conditional on the listed revision.
func (o *ObjectStorage) Sweep(ctx context.Context, before time.Time, pace func() error) (int, error) {
	removed, after := 0, ""
	for {
		if err := pace(); err != nil {
			return removed, err
		}
		page, err := o.store.ListStalePage(ctx, platformapi.KindClaims, after, sweepPageSize)
		if err != nil {
			return removed, err
		}
		n, err := o.removeOld(ctx, page.Items, before, pace)
		removed += n
		if err != nil || page.Next == "" {
			return removed, err
		}
		after = page.Next
	}
}

func (o *ObjectStorage) removeOld(ctx context.Context, items []platformapi.Object, before time.Time, pace func() error) (int, error) {
	removed := 0
	for i := range items {
		e, ok := decodeClaim(&items[i]).(claim.Exists)
		if !ok || !e.Record.CreatedAt.Before(before) {
			continue
		}
		if err := pace(); err != nil {
			return removed, err
		}
		metadata := items[i].Metadata
		err := o.store.Delete(ctx, platformapi.KindClaims, metadata.Name, metadata.Revision)
		if err == nil {
			removed++
		}
	}
	return removed, nil
}

// writeEvent converts the response to a write into an event.
func (o *ObjectStorage) writeEvent(ctx context.Context, id claim.ID, object *platformapi.Object, err error) claim.Event {
	if err == nil {
		return claim.Written{Revision: object.Metadata.Revision}
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return o.conflictEvent(ctx, id, conflict.Current)
	}
	return writeErrorEvent(err)
}

// conflictEvent returns the event for a write that conflicted. It is certain that the
// write was not applied. If the response doesn't include the current claim, the
// claim is read.
func (o *ObjectStorage) conflictEvent(ctx context.Context, id claim.ID, current *platformapi.Object) claim.Event {
	if current != nil {
		return decodeClaim(current)
	}
	if e := o.Get(ctx, id); e != (claim.ReadFailed{}) {
		return e
	}
	return claim.ResponseLost{}
}

// writeErrorEvent converts the error of a write, other than a conflict, into an event.
func writeErrorEvent(err error) claim.Event {
	var unavailable *platform.UnavailableError
	var call *platform.CallError
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return claim.Absent{}
	case errors.As(err, &unavailable):
		return claim.StoreUnavailable{RetryAfter: unavailable.RetryAfter}
	case errors.As(err, &call):
		return claim.StoreUnavailable{}
	default:
		// An error of unknown kind counts as a lost response, which forbids the
		// dispatch until the token has been read back.
		return claim.ResponseLost{}
	}
}

func encodeRecord(id claim.ID, revision uint64, r claim.Record) (platformapi.Object, error) {
	spec, err := json.Marshal(r)
	if err != nil {
		return platformapi.Object{}, errors.Wrap(err, "claims: encode record")
	}
	meta := platformapi.Metadata{Name: id.String(), Revision: revision}
	return platformapi.Object{Metadata: meta, Spec: spec}, nil
}

// decodeClaim decodes a stored claim. A claim that can't be decoded (a newer schema, a
// corrupt value) must not count as absent, or its key would run again.
func decodeClaim(object *platformapi.Object) claim.Event {
	var r claim.Record
	if err := json.Unmarshal(object.Spec, &r); err != nil {
		return claim.ReadFailed{}
	}
	return claim.Exists{Record: r, Revision: object.Metadata.Revision}
}
