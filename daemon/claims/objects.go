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

// Store is the part of the platform's store that claims use.
type Store interface {
	Get(ctx context.Context, kind, name string) (*platformapi.Object, error)
	ListStalePage(ctx context.Context, kind, after string, limit int) (platformapi.List, error)
	Create(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error)
	Update(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error)
	Delete(ctx context.Context, kind, name string, revision uint64) error
}

// Objects is the Storage that keeps one object a claim, named by the claim's
// id. It costs two writes a claim, and one more when the retention ends.
type ObjectStorage struct {
	store Store
}

// NewObjects returns an Objects on the store.
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

// sweepPage bounds the claims that a sweep holds at once: a day's claims would
// not fit an instance's memory.
const sweepPageSize = 100

// Sweep implements Storage. The pages may be stale: a claim's time doesn't
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

// written turns a write's answer into an event.
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

// conflicting is what a refused write has met. The refusal was definite, but
// without the claim in it the claim must be read.
func (o *ObjectStorage) conflictEvent(ctx context.Context, id claim.ID, current *platformapi.Object) claim.Event {
	if current != nil {
		return decodeClaim(current)
	}
	if e := o.Get(ctx, id); e != (claim.ReadFailed{}) {
		return e
	}
	return claim.ResponseLost{}
}

// writeFailed turns the error of a write, other than a conflict, into an event.
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
		// Guard: an error of unknown kind is taken for a lost answer, the
		// case that forbids dispatch until the token has been read back.
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

// exists decodes a stored claim. Guard: a claim that can't be read (a newer
// schema, a broken value) must not count as absent, or its key would run again.
func decodeClaim(object *platformapi.Object) claim.Event {
	var r claim.Record
	if err := json.Unmarshal(object.Spec, &r); err != nil {
		return claim.ReadFailed{}
	}
	return claim.Exists{Record: r, Revision: object.Metadata.Revision}
}
