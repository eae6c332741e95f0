package client

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/record"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// Store is the part of the platform's object API that the client uses. Its
// errors are those of package platform, whose Client implements it.
type Store interface {
	Get(ctx context.Context, kind, name string) (*platformapi.Object, error)
	List(ctx context.Context, kind string) (platformapi.List, error)
	Create(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error)
	Update(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error)
	Delete(ctx context.Context, kind, name string, revision uint64) error
	Watch(ctx context.Context, kinds []string, from uint64, wait time.Duration) (platformapi.WatchResponse, error)
}

var _ Store = (*platform.Client)(nil)

// maxWriteAttempts bounds the attempts of one write.
const maxWriteAttempts = 4

// Results of a write, as they are printed.
const (
	resultCreated   = "created"
	resultUpdated   = "updated"
	resultUnchanged = "unchanged"
	resultDeleted   = "deleted"
)

// recordWriter writes one record and never overwrites a change that its operator
// hasn't seen.
type recordWriter struct {
	store Store
	kind  string
	// checked is the object against which the write was checked; nil if there
	// was none.
	checked *platformapi.Object
}

// put creates or updates a record. Each attempt is conditional on the revision,
// so an attempt whose response was lost can be repeated: if the lost write takes
// effect after all, the repeated one conflicts with a record of the same spec.
func (w *recordWriter) put(ctx context.Context, wanted platformapi.Object) (*platformapi.Object, string, error) {
	if w.checked != nil && record.SameSpec(w.checked.Spec, wanted.Spec) {
		return w.checked, resultUnchanged, nil
	}
	result := resultCreated
	if w.checked != nil {
		result = resultUpdated
	}
	var err error
	for range maxWriteAttempts {
		var written *platformapi.Object
		written, err = w.writeOnce(ctx, wanted)
		if err == nil {
			return written, result, nil
		}
		var current *platformapi.Object
		current, err = w.readBack(ctx, wanted.Metadata.Name, err)
		if err != nil {
			return nil, "", err
		}
		if current != nil && record.SameSpec(current.Spec, wanted.Spec) {
			return current, result, nil
		}
		if !w.specUnchanged(current) {
			return nil, "", &ConflictError{Kind: w.kind, Name: wanted.Metadata.Name, Current: current}
		}
		w.checked = current
		err = &ConflictError{Kind: w.kind, Name: wanted.Metadata.Name, Current: current}
	}
	return nil, "", err
}

func (w *recordWriter) writeOnce(ctx context.Context, wanted platformapi.Object) (*platformapi.Object, error) {
	object := platformapi.Object{Metadata: platformapi.Metadata{Name: wanted.Metadata.Name}, Spec: wanted.Spec}
	if w.checked == nil {
		return w.store.Create(ctx, w.kind, object)
	}
	object.Metadata.Revision = w.checked.Metadata.Revision
	return w.store.Update(ctx, w.kind, object)
}

// readBack reads the record after a write that met a conflict or whose response
// was lost; nil means that the record doesn't exist. For any other cause it returns
// cause without reading. If the read fails after a lost response, it returns cause
// with the read's error added, because the effect of the write stays unknown.
func (w *recordWriter) readBack(ctx context.Context, name string, cause error) (*platformapi.Object, error) {
	var conflict *platform.ConflictError
	var unknown *platform.UnknownEffectError
	notFound := errors.Is(cause, platform.ErrNotFound)
	if !errors.As(cause, &conflict) && !errors.As(cause, &unknown) && !notFound {
		return nil, cause
	}
	current, err := w.store.Get(ctx, w.kind, name)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return nil, nil
	case err != nil && unknown != nil:
		// The write may have taken effect: cause says so, and the failed read doesn't.
		return nil, errors.Wrapf(cause, "%s/%s: reading back failed too (%v)", w.kind, name, err)
	case err != nil:
		return nil, err
	}
	return current, nil
}

// specUnchanged reports whether current has the spec against which the write was
// checked. Instances write the status, which raises the revision without a change
// by another operator.
func (w *recordWriter) specUnchanged(current *platformapi.Object) bool {
	if w.checked == nil || current == nil {
		return w.checked == nil && current == nil
	}
	return record.SameSpec(w.checked.Spec, current.Spec)
}

// delete deletes the record against which the deletion was checked.
func (w *recordWriter) delete(ctx context.Context, name string) error {
	var err error
	for range maxWriteAttempts {
		err = w.store.Delete(ctx, w.kind, name, w.checked.Metadata.Revision)
		if err == nil {
			return nil
		}
		var current *platformapi.Object
		current, err = w.readBack(ctx, name, err)
		if err != nil {
			return err
		}
		if current == nil {
			return nil
		}
		err = &ConflictError{Kind: w.kind, Name: name, Current: current}
		if !w.specUnchanged(current) {
			return err
		}
		w.checked = current
	}
	return err
}
