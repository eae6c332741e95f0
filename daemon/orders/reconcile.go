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

// reconcileLoop compares the targets with the desired state at regular intervals and
// after each change.
func (c *Controller) reconcileLoop(ctx context.Context) error {
	ticker := time.NewTicker(c.opts.CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.wakeup:
		case <-ctx.Done():
			return ctx.Err()
		}
		c.reconcile(ctx)
	}
}

// parallelReads bounds the number of concurrent reads of targets.
const parallelReads = 8

// reconcile reads the targets that are due and sends them the orders that they need, at
// most as many at once as the pool's share of the weight store allows.
func (c *Controller) reconcile(ctx context.Context) {
	if _, may := c.mayOrder(); !may {
		return
	}
	members := c.opts.Members()
	slots := make(chan struct{}, max(c.opts.DownloadSlots(), 1))
	var group errgroup.Group
	group.SetLimit(parallelReads)
	for _, m := range c.selectDue(members) {
		group.Go(func() error {
			c.reconcileTarget(ctx, m, slots)
			return nil
		})
	}
	_ = group.Wait() // no target returns an error
	c.writeState(ctx, members)
}

func (c *Controller) reconcileTarget(ctx context.Context, m Member, slots chan struct{}) {
	if _, may := c.mayOrder(); !may || c.busy(m) {
		return
	}
	load, err := c.opts.Client.Load(ctx, m.Address)
	if err != nil || load.Incarnation != m.Incarnation || c.yieldIfFenced(load) {
		c.recordReadFailure(m)
		return
	}
	desired := c.desiredState()
	missing := Missing(load, desired)
	c.recordObservation(m, desired.Revision, missing)
	if len(missing) == 0 {
		return
	}
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		return
	}
	for i, order := range missing {
		if c.desiredState().Revision != desired.Revision || !c.sendOrder(ctx, m, order) {
			return
		}
		c.recordObservation(m, desired.Revision, missing[i+1:])
	}
}

// yieldIfFenced gives up the lease if the target has accepted a higher fencing number. It
// reports whether orders to the target are ruled out, for this reason or because the lease
// isn't held.
func (c *Controller) yieldIfFenced(load targetapi.Load) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	number, held := c.lease.Held(now)
	if held && load.Fencing > number {
		c.lease.Fenced(now, load.Fencing)
	}
	return !held || load.Fencing > number
}

// sendOrder checks the lease and sends one order. The check comes immediately before the
// sending; docs/design/leases.md describes the effects of a pause between the two.
func (c *Controller) sendOrder(ctx context.Context, m Member, order targetapi.Order) bool {
	number, may := c.mayOrder()
	if !may {
		return false
	}
	order.Fencing = number
	order.ID = fmt.Sprintf("%s-%d-%s-%s", c.opts.Pool, number, order.Action, order.Value)
	sent := c.opts.Now()
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timing.LongestOrder)
	defer cancel()
	_, err := c.opts.Client.Order(ctx, m.Address, order)
	return c.recordResult(m, order, sent, err)
}

// recordResult records how an order ended and reports whether it succeeded.
func (c *Controller) recordResult(m Member, order targetapi.Order, sent time.Time, err error) bool {
	if err == nil {
		c.metrics.sent.Inc(1)
		klog.V(1).InfoS("orders: given", "pool", c.opts.Pool, "target", m.Incarnation,
			"action", order.Action, "value", order.Value, "fencing", order.Fencing)
		return true
	}
	c.metrics.failed.Inc(1)
	klog.InfoS("orders: failed", "pool", c.opts.Pool, "target", m.Incarnation, "action", order.Action, "err", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	var control *target.ControlError
	switch {
	case errors.Is(err, target.ErrFenced):
		c.metrics.fenced.Inc(1)
		c.lease.Fenced(c.opts.Now(), 0)
	case errors.As(err, &control) && control.Outcome == target.NotRun:
	default:
		// The response was lost and the order may still be in progress at the target.
		// A second order sent now could be executed before the first.
		c.busyUntil[m.Incarnation] = sent.Add(c.opts.Timing.LongestOrder)
	}
	return false
}

// mayOrder reports whether orders may be sent now, and under which fencing number. Targets
// that ignore the number get no orders until those of earlier holders have ended.
func (c *Controller) mayOrder() (uint64, bool) {
	checks := c.opts.ChecksFencing()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	number, held := c.lease.Held(now)
	if held && !checks && !c.lease.SafeWithoutFencing(now) {
		c.metrics.waitingOut.Update(c.lease.SafeWithoutFencingAt().Sub(now).Seconds())
		return 0, false
	}
	c.metrics.waitingOut.Update(0)
	return number, held
}

// busy reports whether an order whose response was lost may be in progress at a target.
func (c *Controller) busy(m Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pruneBusy(c.opts.Now())
	_, busy := c.busyUntil[m.Incarnation]
	return busy
}

func (c *Controller) pruneBusy(now time.Time) {
	for incarnation, until := range c.busyUntil {
		if !now.Before(until) {
			delete(c.busyUntil, incarnation)
		}
	}
}

func (c *Controller) desiredState() Desired {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.desired
}

// Missing returns the orders that bring a target from its reported state to the desired
// one, without IDs and fencing numbers.
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
