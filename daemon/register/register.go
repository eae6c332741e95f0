// Package register keeps an entry for this instance in the platform's store from its start
// until its planned stop, so that new instances find their peers.
package register

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// Limits of the delay before a failed write of the entry is retried.
const (
	retryMin = 500 * time.Millisecond
	retryMax = 10 * time.Second
)

// Registrar maintains the entry of one instance.
type Registrar struct {
	store platform.Store
	self  func() membership.Member
	// rewrite receives a value when a list lacks the entry.
	rewrite chan struct{}
	// removed is true once a planned stop has begun to remove the entry.
	removed atomic.Bool
	// written is true once the store has the entry.
	written atomic.Bool
	// existing is the entry that a list had under the instance's name before the first
	// write, nil if none.
	existing atomic.Pointer[platformapi.Object]
}

// New returns a registrar. self returns the member that the entry describes.
func New(store platform.Store, self func() membership.Member) *Registrar {
	return &Registrar{store: store, self: self, rewrite: make(chan struct{}, 1)}
}

// Run writes the entry, with retries, and writes it again when List does not find it. It
// returns when the context ends.
//
// The entry of an instance that is unreachable for hours is removed by others. If it were
// not written again, instances that start later would never find this one.
func (r *Registrar) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		r.writeWithRetry(ctx)
		select {
		case <-r.rewrite:
		case <-ctx.Done():
		}
	}
	return nil
}

func (r *Registrar) writeWithRetry(ctx context.Context) {
	pause := retryMin
	for ctx.Err() == nil && !r.removed.Load() {
		if r.write(ctx) == nil {
			return
		}
		sleep(ctx, pause)
		pause = min(2*pause, retryMax)
	}
}

// write creates the entry or replaces that of an earlier incarnation. If the store has the
// entry of a later incarnation, this process is outdated; the entry stays and the write
// counts as successful. The same applies if the store has this incarnation's entry, from a
// write whose response was lost.
func (r *Registrar) write(ctx context.Context) error {
	err := r.writeOnce(ctx)
	if err == nil {
		r.written.Store(true)
	}
	return err
}

func (r *Registrar) writeOnce(ctx context.Context) error {
	object, err := r.entry()
	if err != nil {
		return err
	}
	_, err = r.store.Create(ctx, platformapi.KindInstances, object)
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return errors.Wrap(err, "register instance")
	}
	if found := r.existing.Swap(nil); found != nil && r.replace(ctx, object, found) == nil {
		return nil
	}
	// There is no earlier list, or the entry has changed since.
	found, err := r.store.Get(ctx, platformapi.KindInstances, object.Metadata.Name)
	if err != nil {
		return errors.Wrap(err, "register instance: read")
	}
	return r.replace(ctx, object, found)
}

// entry returns the entry of this instance.
func (r *Registrar) entry() (platformapi.Object, error) {
	self := r.self()
	spec, err := json.Marshal(platformapi.InstanceEntry{
		Address:     self.Address,
		CallerURL:   self.CallerURL,
		DataCentre:  self.DataCentre,
		Incarnation: self.Incarnation,
		Capacity:    self.Capacity,
	})
	object := platformapi.Object{Metadata: platformapi.Metadata{Name: self.Name}, Spec: spec}
	return object, errors.Wrap(err, "register instance: encode")
}

// replace overwrites the entry of an earlier incarnation. The update is conditional on the
// revision that was found, so it fails if another incarnation has written meanwhile.
func (r *Registrar) replace(ctx context.Context, object platformapi.Object, found *platformapi.Object) error {
	var entry platformapi.InstanceEntry
	valid := json.Unmarshal(found.Spec, &entry) == nil // else not written by an instance
	if valid && entry.Incarnation >= r.self().Incarnation {
		return nil
	}
	object.Metadata.Revision = found.Metadata.Revision
	_, err := r.store.Update(ctx, platformapi.KindInstances, object)
	return errors.Wrap(err, "register instance: replace")
}

// Remove deletes the entry at a planned stop, unless a later incarnation has replaced it.
// After the call the entry is not written again.
func (r *Registrar) Remove(ctx context.Context) error {
	r.removed.Store(true)
	err := r.remove(ctx)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) || errors.Is(err, platform.ErrNotFound) {
		return nil // replaced or deleted meanwhile
	}
	return errors.Wrap(err, "remove instance")
}

func (r *Registrar) remove(ctx context.Context) error {
	self := r.self()
	object, err := r.store.Get(ctx, platformapi.KindInstances, self.Name)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	var entry platformapi.InstanceEntry
	if err := json.Unmarshal(object.Spec, &entry); err != nil {
		return errors.Wrap(err, "decode")
	}
	if entry.Incarnation != self.Incarnation {
		return nil
	}
	return r.store.Delete(ctx, platformapi.KindInstances, self.Name, object.Metadata.Revision)
}

// List returns the instances with an entry in the store, as candidates for peers.
func (r *Registrar) List(ctx context.Context) ([]membership.Member, error) {
	// Before its first write the entry is expected to be absent.
	written := r.written.Load()
	list, err := r.store.List(ctx, platformapi.KindInstances)
	if err != nil {
		return nil, errors.Wrap(err, "list instances")
	}
	members := make([]membership.Member, 0, len(list.Items))
	listed := false
	for i := range list.Items {
		member, ok := memberOf(&list.Items[i])
		if !ok {
			continue // not written by an instance
		}
		members = append(members, member)
		if member.Name == r.self().Name {
			listed = true
			r.rememberExisting(&list.Items[i])
		}
	}
	if !listed && written {
		r.requestRewrite()
	}
	return members, nil
}

// rememberExisting keeps the entry under the instance's name for the first write, which
// then need not read it.
func (r *Registrar) rememberExisting(entry *platformapi.Object) {
	if !r.written.Load() {
		r.existing.Store(entry)
	}
}

// memberOf decodes an entry and reports whether it is valid.
func memberOf(object *platformapi.Object) (membership.Member, bool) {
	var entry platformapi.InstanceEntry
	if json.Unmarshal(object.Spec, &entry) != nil {
		return membership.Member{}, false
	}
	return membership.Member{
		Name:        object.Metadata.Name,
		Address:     entry.Address,
		CallerURL:   entry.CallerURL,
		DataCentre:  entry.DataCentre,
		Incarnation: entry.Incarnation,
		Capacity:    entry.Capacity,
	}, true
}

// requestRewrite makes Run write the entry again.
func (r *Registrar) requestRewrite() {
	select {
	case r.rewrite <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
