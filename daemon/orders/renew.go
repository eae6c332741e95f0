package orders

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/coordination/lease"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// maintainLease performs the actions of the lease one after the other.
func (c *Controller) maintainLease(ctx context.Context) error {
	wasHeld := false
	for ctx.Err() == nil {
		c.mu.Lock()
		now := c.opts.Now()
		action := c.lease.Next(now)
		_, held := c.lease.Held(now)
		status := c.lease.Status(now)
		c.mu.Unlock()
		c.reportHeld(wasHeld, held, status)
		wasHeld = held
		c.perform(ctx, action)
	}
	return ctx.Err()
}

// perform performs one action of the lease. Calls to the store take at most StoreTimeout.
//
// A planned stop interrupts a wait but not a call. If the response to a renewal were
// abandoned, the lease's revision would be unknown, so the lease could not be released and
// the successor would have to wait until it expires.
func (c *Controller) perform(ctx context.Context, action lease.Action) {
	call := context.WithoutCancel(ctx)
	switch a := action.(type) {
	case lease.Wait:
		sleep(ctx, a.Until.Sub(c.opts.Now()))
	case lease.Write:
		object, err := c.write(call, a)
		c.recordResponse(object, err, true)
	case lease.Read:
		call, cancel := context.WithTimeout(call, c.opts.StoreTimeout)
		defer cancel()
		object, err := c.opts.Store.Get(call, platformapi.KindLeases, c.opts.Pool)
		c.recordResponse(object, err, false)
	}
}

func (c *Controller) write(ctx context.Context, w lease.Write) (*platformapi.Object, error) {
	spec, err := json.Marshal(w.Record)
	if err != nil {
		return nil, errors.Wrap(err, "orders: encode lease")
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.StoreTimeout)
	defer cancel()
	object := platformapi.Object{
		Metadata: platformapi.Metadata{Name: c.opts.Pool, Revision: w.Revision},
		Spec:     spec,
	}
	if w.Revision == 0 {
		return c.opts.Store.Create(ctx, platformapi.KindLeases, object)
	}
	return c.opts.Store.Update(ctx, platformapi.KindLeases, object)
}

// recordResponse passes the store's response to the lease.
func (c *Controller) recordResponse(object *platformapi.Object, err error, wrote bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	previous := c.lease.Status(now).Record
	defer func() { c.logForeignHolder(previous, c.lease.Status(now)) }()
	var conflict *platform.ConflictError
	switch {
	case err == nil && wrote:
		_, held := c.lease.Held(now)
		c.lease.Written(now, object.Metadata.Revision)
		if !held {
			c.wake()
		}
	case err == nil:
		c.observeLease(now, object)
	case errors.Is(err, platform.ErrNotFound):
		c.lease.ObservedAbsent(now)
	case errors.As(err, &conflict) && conflict.Current != nil:
		c.observeLease(now, conflict.Current)
	default:
		c.lease.CallFailed(now)
		klog.V(1).InfoS("orders: lease call failed", "pool", c.opts.Pool, "holder", c.opts.Holder, "write", wrote, "err", err)
	}
}

// logForeignHolder logs that another instance was observed to have acquired or released
// the lease.
func (c *Controller) logForeignHolder(previous lease.Record, s lease.Status) {
	r := s.Record
	if r.Holder == c.opts.Holder || (r.Holder == previous.Holder && r.Fencing == previous.Fencing) {
		return
	}
	klog.InfoS("orders: lease of another holder", "pool", c.opts.Pool, "observer", c.opts.Holder,
		"holder", r.Holder, "fencing", r.Fencing, "available_in", s.AvailableIn)
}

// observeLease passes a stored lease to the lease's state machine. A record that can't be
// decoded counts as a failed call: treating it as a free lease could result in two holders.
func (c *Controller) observeLease(now time.Time, object *platformapi.Object) {
	var r lease.Record
	if err := json.Unmarshal(object.Spec, &r); err != nil {
		klog.ErrorS(err, "orders: lease can't be read", "pool", c.opts.Pool)
		c.lease.CallFailed(now)
		return
	}
	c.lease.Observed(now, r, object.Metadata.Revision)
}

// release releases the lease at a planned stop. While an order may still be in progress, of this
// holder because its response was lost, or of an earlier one for which this holder waits, the
// lease is left to expire, so that the successor waits for the order's end.
func (c *Controller) release(ctx context.Context) {
	checks := c.opts.ChecksFencing()
	c.mu.Lock()
	now := c.opts.Now()
	c.pruneBusy(now)
	w, held := lease.Write{}, false
	if len(c.busyUntil) == 0 && (checks || c.lease.SafeWithoutFencing(now)) {
		w, held = c.lease.Release(now)
	}
	c.mu.Unlock()
	if !held {
		return
	}
	if _, err := c.write(ctx, w); err != nil {
		klog.InfoS("orders: lease not given up, it lapses", "pool", c.opts.Pool, "err", err)
		return
	}
	klog.InfoS("orders: lease given up", "pool", c.opts.Pool, "holder", c.opts.Holder, "fencing", w.Record.Fencing)
}

// reportHeld reports a change of the lease's holder to the log and the metrics.
func (c *Controller) reportHeld(was, is bool, s lease.Status) {
	if was == is {
		return
	}
	if !is {
		c.metrics.held.Update(0)
		c.metrics.lost.Inc(1)
		klog.InfoS("orders: lease lost", "pool", c.opts.Pool, "holder", c.opts.Holder,
			"fencing", s.Record.Fencing, "stored_holder", s.Record.Holder, "unchanged", s.Unchanged)
		return
	}
	c.metrics.held.Update(1)
	klog.InfoS("orders: lease held", "pool", c.opts.Pool, "holder", c.opts.Holder,
		"fencing", s.Record.Fencing, "attempt", s.Record.Attempt, "safe_without_fencing_in", s.SafeWithoutFencingIn)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
