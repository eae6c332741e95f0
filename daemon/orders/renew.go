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

// keepLease does what the lease asks for, one call after another.
func (k *Controller) maintainLease(ctx context.Context) error {
	wasHeld := false
	for ctx.Err() == nil {
		k.mu.Lock()
		action := k.lease.Next(k.opts.Now())
		_, held := k.lease.Held(k.opts.Now())
		k.mu.Unlock()
		k.reportHeld(wasHeld, held)
		wasHeld = held
		k.perform(ctx, action)
	}
	return ctx.Err()
}

// perform does what the lease asks for, within StoreTimeout at most.
//
// Guard: a planned stop comes while a renewal is under way. Were its answer
// given up, the lease's revision would be unknown: it couldn't be given up and
// the successor would wait for the lapse. So a call, which is bounded, is
// finished; only a wait is cut short.
func (k *Controller) perform(ctx context.Context, action lease.Action) {
	call := context.WithoutCancel(ctx)
	switch a := action.(type) {
	case lease.Wait:
		sleep(ctx, a.Until.Sub(k.opts.Now()))
	case lease.Write:
		object, err := k.write(call, a)
		k.recordResponse(object, err, true)
	case lease.Read:
		call, cancel := context.WithTimeout(call, k.opts.StoreTimeout)
		defer cancel()
		object, err := k.opts.Store.Get(call, platformapi.KindLeases, k.opts.Pool)
		k.recordResponse(object, err, false)
	}
}

func (k *Controller) write(ctx context.Context, w lease.Write) (*platformapi.Object, error) {
	spec, err := json.Marshal(w.Record)
	if err != nil {
		return nil, errors.Wrap(err, "orders: encode lease")
	}
	ctx, cancel := context.WithTimeout(ctx, k.opts.StoreTimeout)
	defer cancel()
	object := platformapi.Object{
		Metadata: platformapi.Metadata{Name: k.opts.Pool, Revision: w.Revision},
		Spec:     spec,
	}
	if w.Revision == 0 {
		return k.opts.Store.Create(ctx, platformapi.KindLeases, object)
	}
	return k.opts.Store.Update(ctx, platformapi.KindLeases, object)
}

// told passes the store's answer to the lease.
func (k *Controller) recordResponse(object *platformapi.Object, err error, wrote bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Now()
	var conflict *platform.ConflictError
	switch {
	case err == nil && wrote:
		_, held := k.lease.Held(now)
		k.lease.Written(now, object.Metadata.Revision)
		if !held {
			k.wake()
		}
	case err == nil:
		k.observeLease(now, object)
	case errors.Is(err, platform.ErrNotFound):
		k.lease.ObservedAbsent(now)
	case errors.As(err, &conflict) && conflict.Current != nil:
		k.observeLease(now, conflict.Current)
	default:
		k.lease.CallFailed(now)
	}
}

// seen passes a stored lease on. A record that can't be read counts as no
// answer: taking it for a free lease could make two holders.
func (k *Controller) observeLease(now time.Time, object *platformapi.Object) {
	var r lease.Record
	if err := json.Unmarshal(object.Spec, &r); err != nil {
		klog.ErrorS(err, "orders: lease can't be read", "pool", k.opts.Pool)
		k.lease.CallFailed(now)
		return
	}
	k.lease.Observed(now, r, object.Metadata.Revision)
}

// release gives the lease up at a planned stop. Guard: while an order whose
// answer was lost may still be under way, the lease is left to lapse, so that
// the successor waits the order out.
func (k *Controller) release(ctx context.Context) {
	k.mu.Lock()
	now := k.opts.Now()
	k.pruneBusy(now)
	w, held := lease.Write{}, false
	if len(k.busyUntil) == 0 {
		w, held = k.lease.Release(now)
	}
	k.mu.Unlock()
	if !held {
		return
	}
	if _, err := k.write(ctx, w); err != nil {
		klog.InfoS("orders: lease not given up, it lapses", "pool", k.opts.Pool, "err", err)
		return
	}
	klog.InfoS("orders: lease given up", "pool", k.opts.Pool)
}

func (k *Controller) reportHeld(was, is bool) {
	if was == is {
		return
	}
	if !is {
		k.metrics.held.Update(0)
		k.metrics.lost.Inc(1)
		klog.InfoS("orders: lease lost", "pool", k.opts.Pool)
		return
	}
	k.metrics.held.Update(1)
	klog.InfoS("orders: lease held", "pool", k.opts.Pool)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
