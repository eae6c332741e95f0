package platform

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	transport "github.com/ivyhollow/ivyhollow/transport/platform"
)

// localPeer names the peer in errors of in-process calls.
const localPeer = "in-process platform"

// retryAfter is the retry delay sent to refused callers.
const retryAfter = time.Second

var errNoResponse = errors.New("no answer")

// Local calls the store in process, as one instance. Its calls are subject to the
// same faults and limits as calls over HTTP and return the same errors, but they
// have no call budget.
type Local struct {
	store    *Store
	instance string
}

var _ transport.Store = (*Local)(nil)

// Local returns a client of the store for the named instance.
func (s *Store) Local(instance string) *Local { return &Local{store: s, instance: instance} }

// Get implements transport.Store.
func (l *Local) Get(ctx context.Context, kind, name string) (*platformapi.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, l.store.options.LocalTimeout)
	defer cancel()
	object, failed := l.store.get(ctx, l.request(kind), name)
	return copyObject(object), l.errorOf(ctx, transport.Call{Step: "get " + kind}, failed)
}

// List implements transport.Store.
func (l *Local) List(ctx context.Context, kind string) (platformapi.List, error) {
	return l.list(ctx, kind, false)
}

// ListStale implements transport.Store.
func (l *Local) ListStale(ctx context.Context, kind string) (platformapi.List, error) {
	return l.list(ctx, kind, true)
}

func (l *Local) list(ctx context.Context, kind string, stale bool) (platformapi.List, error) {
	ctx, cancel := context.WithTimeout(ctx, l.store.options.LocalTimeout)
	defer cancel()
	var all platformapi.List
	after := ""
	for {
		page, err := l.page(ctx, kind, after, 0, stale)
		if err != nil {
			return platformapi.List{}, err
		}
		if after == "" {
			all.Revision = page.Revision
		}
		all.Revision = min(all.Revision, page.Revision)
		all.Items = append(all.Items, page.Items...)
		after = page.Next
		if after == "" {
			return all, nil
		}
	}
}

// ListStalePage implements transport.Store.
func (l *Local) ListStalePage(ctx context.Context, kind, after string, limit int) (platformapi.List, error) {
	ctx, cancel := context.WithTimeout(ctx, l.store.options.LocalTimeout)
	defer cancel()
	return l.page(ctx, kind, after, limit, true)
}

func (l *Local) page(ctx context.Context, kind, after string, limit int, stale bool) (platformapi.List, error) {
	page, failed := l.store.list(ctx, l.request(kind), after, limit, stale)
	err := l.errorOf(ctx, transport.Call{Step: "list " + kind}, failed)
	return page, err
}

// Create implements transport.Store.
func (l *Local) Create(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error) {
	return l.write(ctx, "create ", kind, func(t *table) (*platformapi.Object, *refusal) {
		return t.create(kind, object)
	})
}

// Update implements transport.Store.
func (l *Local) Update(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error) {
	return l.write(ctx, "update ", kind, func(t *table) (*platformapi.Object, *refusal) {
		return t.update(kind, object, false)
	})
}

// UpdateStatus implements transport.Store.
func (l *Local) UpdateStatus(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error) {
	return l.write(ctx, "update status of ", kind, func(t *table) (*platformapi.Object, *refusal) {
		return t.update(kind, object, true)
	})
}

// Delete implements transport.Store.
func (l *Local) Delete(ctx context.Context, kind, name string, revision uint64) error {
	_, err := l.write(ctx, "delete ", kind, func(t *table) (*platformapi.Object, *refusal) {
		return nil, t.delete(kind, name, revision)
	})
	return err
}

// Watch implements transport.Store.
func (l *Local) Watch(ctx context.Context, kinds []string, from uint64, wait time.Duration) (platformapi.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+l.store.options.LocalTimeout)
	defer cancel()
	watch, failed := l.store.watch(ctx, l.request(""), kinds, from, wait)
	return watch, l.errorOf(ctx, transport.Call{Step: "watch " + strings.Join(kinds, ",")}, failed)
}

func (l *Local) write(ctx context.Context, verb, kind string, effect func(*table) (*platformapi.Object, *refusal)) (*platformapi.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, l.store.options.LocalTimeout)
	defer cancel()
	object, failed := l.store.write(ctx, l.request(kind), effect)
	return copyObject(object), l.errorOf(ctx, transport.Call{Step: verb + kind, Write: true}, failed)
}

func (l *Local) request(kind string) request {
	return request{instance: l.instance, object: kind}
}

// errorOf returns the error that the HTTP client would return for the result of a
// call.
func (l *Local) errorOf(ctx context.Context, call transport.Call, failed *callFailure) error {
	call.Peer = localPeer
	switch {
	case failed == nil:
		return nil
	case failed.refusal != nil:
		return transport.StatusError(call, failed.refusal.status, retryAfter, copyObject(failed.refusal.current))
	case failed.failure == FailSilence:
		<-ctx.Done()
	}
	return transport.NoResponseError(call, errNoResponse)
}

func copyObject(object *platformapi.Object) *platformapi.Object {
	if object == nil {
		return nil
	}
	c := *object
	return &c
}
