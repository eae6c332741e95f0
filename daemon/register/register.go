// Package register lists this instance in the platform's store, once at its
// start and until its planned stop, so that new instances find their peers.
package register

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// Times between two tries of an entry that could not be written.
const (
	retryMin = 500 * time.Millisecond
	retryMax = 10 * time.Second
)

// Registrar keeps the entry of one instance.
type Registrar struct {
	store platform.Store
	self  func() membership.Member
}

// New makes a registrar; self tells what the entry says.
func New(store platform.Store, self func() membership.Member) *Registrar {
	return &Registrar{store: store, self: self}
}

// Run writes the entry, trying until the store takes it, and returns at the end
// of the context.
func (r *Registrar) Run(ctx context.Context) error {
	pause := retryMin
	for ctx.Err() == nil {
		if r.write(ctx) == nil {
			<-ctx.Done()
			return nil
		}
		wait(ctx, pause)
		pause = min(2*pause, retryMax)
	}
	return nil
}

// write creates the entry or replaces that of an earlier incarnation.
func (r *Registrar) write(ctx context.Context) error {
	self := r.self()
	spec, err := json.Marshal(platformapi.InstanceEntry{
		Address:     self.Address,
		CallerURL:   self.CallerURL,
		DataCentre:  self.DataCentre,
		Incarnation: self.Incarnation,
	})
	if err != nil {
		return errors.Wrap(err, "register: encode")
	}
	object := platformapi.Object{Metadata: platformapi.Metadata{Name: self.Name}, Spec: spec}
	_, err = r.store.Create(ctx, platformapi.KindInstances, object)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		_, err = r.store.Update(ctx, platformapi.KindInstances, object)
	}
	return errors.Wrap(err, "register instance")
}

// Remove deletes the entry at a planned stop, unless a later incarnation has
// taken it over.
func (r *Registrar) Remove(ctx context.Context) error {
	self := r.self()
	object, err := r.store.Get(ctx, platformapi.KindInstances, self.Name)
	if err != nil {
		return errors.Wrap(err, "remove instance: read")
	}
	var entry platformapi.InstanceEntry
	if err := json.Unmarshal(object.Spec, &entry); err != nil {
		return errors.Wrap(err, "remove instance: decode")
	}
	if entry.Incarnation != self.Incarnation {
		return nil
	}
	err = r.store.Delete(ctx, platformapi.KindInstances, self.Name, object.Metadata.Revision)
	return errors.Wrap(err, "remove instance")
}

// List returns the instances that the store lists, as candidates for peers.
func (r *Registrar) List(ctx context.Context) ([]membership.Member, error) {
	list, err := r.store.List(ctx, platformapi.KindInstances)
	if err != nil {
		return nil, errors.Wrap(err, "list instances")
	}
	members := make([]membership.Member, 0, len(list.Items))
	for i := range list.Items {
		var entry platformapi.InstanceEntry
		if json.Unmarshal(list.Items[i].Spec, &entry) != nil {
			continue // not of our making
		}
		members = append(members, membership.Member{
			Name:        list.Items[i].Metadata.Name,
			Address:     entry.Address,
			CallerURL:   entry.CallerURL,
			DataCentre:  entry.DataCentre,
			Incarnation: entry.Incarnation,
		})
	}
	return members, nil
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
