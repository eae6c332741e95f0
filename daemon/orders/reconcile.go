package orders

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
	"github.com/ivyhollow/ivyhollow/transport/target"
)

// reconcileOften compares the targets with the desired state, at intervals and
// after each change.
func (k *Controller) reconcileLoop(ctx context.Context) error {
	timer := time.NewTicker(k.opts.CheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-k.wakeup:
		case <-ctx.Done():
			return ctx.Err()
		}
		k.reconcile(ctx)
	}
}

// parallelReads bounds the targets read back at once.
const parallelReads = 8

// reconcile reads the due targets back and gives the orders they lack, no more
// at once than the pool's share of the weight store allows.
func (k *Controller) reconcile(ctx context.Context) {
	if _, may := k.mayOrder(); !may {
		return
	}
	members := k.opts.Members()
	slots := make(chan struct{}, max(k.opts.DownloadSlots(), 1))
	var group errgroup.Group
	group.SetLimit(parallelReads)
	for _, m := range k.selectDue(members) {
		group.Go(func() error {
			k.reconcileTarget(ctx, m, slots)
			return nil
		})
	}
	_ = group.Wait() // no target returns an error
	k.writeState(ctx, members)
}

func (k *Controller) reconcileTarget(ctx context.Context, m Member, slots chan struct{}) {
	if _, may := k.mayOrder(); !may || k.busy(m) {
		return
	}
	load, err := k.opts.Client.Load(ctx, m.Address)
	if err != nil || load.Incarnation != m.Incarnation || k.yieldIfFenced(load) {
		k.recordReadFailure(m)
		return
	}
	desired := k.desiredState()
	lacks := Missing(load, desired)
	k.recordObservation(m, desired.Revision, lacks)
	if len(lacks) == 0 {
		return
	}
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		return
	}
	for i, order := range lacks {
		if k.desiredState().Revision != desired.Revision || !k.sendOrder(ctx, m, order) {
			return
		}
		k.recordObservation(m, desired.Revision, lacks[i+1:])
	}
}

// outranked gives the lease up when the target has obeyed a higher number.
func (k *Controller) yieldIfFenced(load targetapi.Load) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Now()
	number, held := k.lease.Held(now)
	if held && load.Fencing > number {
		k.lease.Fenced(now, load.Fencing)
	}
	return !held || load.Fencing > number
}

// give checks the lease and gives one order. The check comes right before the
// order; see docs/design/leases.md for what a pause between the two can do.
func (k *Controller) sendOrder(ctx context.Context, m Member, order targetapi.Order) bool {
	number, may := k.mayOrder()
	if !may {
		return false
	}
	order.Fencing = number
	order.ID = fmt.Sprintf("%s-%d-%s-%s", k.opts.Pool, number, order.Action, order.Value)
	sent := k.opts.Now()
	ctx, cancel := context.WithTimeout(ctx, k.opts.Timing.LongestOrder)
	defer cancel()
	_, err := k.opts.Client.Order(ctx, m.Address, order)
	return k.recordResult(m, order, sent, err)
}

// given notes how an order ended.
func (k *Controller) recordResult(m Member, order targetapi.Order, sent time.Time, err error) bool {
	if err == nil {
		k.metrics.sent.Inc(1)
		klog.V(1).InfoS("orders: given", "pool", k.opts.Pool, "target", m.Incarnation,
			"action", order.Action, "value", order.Value, "fencing", order.Fencing)
		return true
	}
	k.metrics.failed.Inc(1)
	klog.InfoS("orders: failed", "pool", k.opts.Pool, "target", m.Incarnation, "action", order.Action, "err", err)
	k.mu.Lock()
	defer k.mu.Unlock()
	var control *target.ControlError
	switch {
	case errors.Is(err, target.ErrFenced):
		k.metrics.fenced.Inc(1)
		k.lease.Fenced(k.opts.Now(), 0)
	case errors.As(err, &control) && control.Outcome == target.NotRun:
	default:
		// Guard: the answer was lost and the order may still be under way at
		// the target. A second order now could be overtaken by the first.
		k.busyUntil[m.Incarnation] = sent.Add(k.opts.Timing.LongestOrder)
	}
	return false
}

// mayOrder tells whether orders may be given now, and under which number.
// Targets that ignore the number are left alone until the orders of earlier
// holders are over.
func (k *Controller) mayOrder() (uint64, bool) {
	checks := k.opts.ChecksFencing()
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Now()
	number, held := k.lease.Held(now)
	if held && !checks && !k.lease.SafeWithoutFencing(now) {
		k.metrics.waitingOut.Update(k.lease.SafeWithoutFencingAt().Sub(now).Seconds())
		return 0, false
	}
	k.metrics.waitingOut.Update(0)
	return number, held
}

func (k *Controller) busy(m Member) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pruneBusy(k.opts.Now())
	_, busy := k.busyUntil[m.Incarnation]
	return busy
}

func (k *Controller) pruneBusy(now time.Time) {
	for incarnation, until := range k.busyUntil {
		if !now.Before(until) {
			delete(k.busyUntil, incarnation)
		}
	}
}

func (k *Controller) desiredState() Desired {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.desired
}

// Missing returns the orders that bring a target from its reported state to
// the desired one, without ids and fencing numbers.
func Missing(load targetapi.Load, d Desired) []targetapi.Order {
	var orders []targetapi.Order
	add := func(action, value string) {
		orders = append(orders, targetapi.Order{Action: action, Value: value})
	}
	for _, model := range d.Models {
		if !slices.Contains(load.Models, model) {
			add(targetapi.ActionLoadModel, model)
		}
	}
	for _, adapter := range d.Adapters {
		if !slices.Contains(load.Adapters, adapter) {
			add(targetapi.ActionLoadAdapter, adapter)
		}
	}
	if d.Version != "" && d.Version != load.Version {
		add(targetapi.ActionSetVersion, d.Version)
	}
	if d.Role != "" && d.Role != load.Role {
		add(targetapi.ActionSetRole, d.Role)
	}
	return orders
}
