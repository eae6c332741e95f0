package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// maxListedLacking bounds the targets that a pool's state lists one by one.
const maxListedLacking = 32

// storedState is the pool's state as last written to the store.
type storedState struct {
	revision uint64
	spec     []byte
}

// writeState writes to the store, for operators, how the pool's targets differ from the
// desired state. It writes only changes, so that an idle pool causes no writes.
func (c *Controller) writeState(ctx context.Context, members []Member) {
	entry, held := c.describeState(members)
	if !held {
		return
	}
	spec, err := json.Marshal(entry)
	if err != nil || bytes.Equal(spec, c.stored.spec) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.StoreTimeout)
	defer cancel()
	object := platformapi.Object{Metadata: platformapi.Metadata{Name: c.opts.Pool, Revision: c.stored.revision}, Spec: spec}
	var stored *platformapi.Object
	if object.Metadata.Revision == 0 {
		stored, err = c.opts.Store.Create(ctx, platformapi.KindOrders, object)
	} else {
		stored, err = c.opts.Store.Update(ctx, platformapi.KindOrders, object)
	}
	if err == nil {
		c.stored = storedState{revision: stored.Metadata.Revision, spec: spec}
		return
	}
	c.handleStateWriteError(entry, err)
}

// handleStateWriteError uses a conflict to learn the stored revision, for a retry. If the
// stored state has a higher fencing number, it is kept: this holder was paused and its own
// state is outdated.
func (c *Controller) handleStateWriteError(own platformapi.OrdersEntry, err error) {
	c.stored = storedState{}
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) || conflict.Current == nil {
		klog.V(1).InfoS("orders: state not written", "pool", c.opts.Pool, "err", err)
		return
	}
	var current platformapi.OrdersEntry
	if json.Unmarshal(conflict.Current.Spec, &current) == nil && current.Fencing > own.Fencing {
		return
	}
	c.stored.revision = conflict.Current.Metadata.Revision
	c.wake()
}

// describeState returns the state of the members as of their last observation, and whether
// the lease is held.
func (c *Controller) describeState(members []Member) (platformapi.OrdersEntry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	number, held := c.lease.Held(c.opts.Now())
	entry := platformapi.OrdersEntry{
		DesiredRevision: c.desired.Revision,
		Fencing:         number,
		Targets:         len(members),
	}
	for _, m := range members {
		o := c.observations[m.Incarnation]
		if o.fencing == number && o.revision == c.desired.Revision && len(o.missing) == 0 {
			entry.Complete++
			continue
		}
		entry.Lacking = append(entry.Lacking, platformapi.LackingTarget{Incarnation: m.Incarnation, Lacks: o.describeMissing()})
	}
	slices.SortFunc(entry.Lacking, func(a, b platformapi.LackingTarget) int {
		return strings.Compare(a.Incarnation, b.Incarnation)
	})
	entry.Lacking = entry.Lacking[:min(len(entry.Lacking), maxListedLacking)]
	return entry, held
}

// describeMissing returns, as text, the orders that a target needs; none if the target
// couldn't be read.
func (o observation) describeMissing() []string {
	texts := make([]string, 0, len(o.missing))
	for _, order := range o.missing {
		texts = append(texts, order.Action+" "+order.Value)
	}
	return texts
}
