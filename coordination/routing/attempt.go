package routing

import (
	"sync/atomic"
	"time"
)

// Handle stands for one attempt in flight.
type Handle struct {
	table  *Table
	target *targetView
	cost   int64
	// crowding is how many times the target's slots were taken at the start.
	crowding float64
	start    int64
	done     atomic.Bool
}

// Started records that an attempt was sent. Cost is its expected work relative
// to the pool's mean; 0 means 1. Each handle must be ended by Done.
func (t *Table) Started(now time.Time, incarnation string, cost float64) *Handle {
	target := t.view.Load().byTarget[incarnation]
	if target == nil {
		return &Handle{}
	}
	if cost <= 0 {
		cost = 1
	}
	ns := now.UnixNano()
	use := (target.estimate(ns, &t.config) + cost) / target.slots(target.Slots)
	h := &Handle{table: t, target: target, cost: int64(cost * costUnit), crowding: max(1, use)}
	target.add(ns, h.cost)
	h.start = target.open.began(ns)
	return h
}

// Done records how the attempt ended. A second call does nothing.
func (h *Handle) Done(now time.Time, result Result) {
	if h.target == nil || h.done.Swap(true) {
		return
	}
	ns := now.UnixNano()
	h.target.add(ns, -h.cost)
	h.target.open.ended(h.start, result.Expected)
	// A target that was known to be crowded is expected to take longer: only
	// what goes beyond that tells of a slow target.
	result.Expected = time.Duration(float64(result.Expected) * h.crowding)
	if h.target.health.observe(ns, result) && !h.table.config.off(MechanismEjection) {
		h.table.eject(ns, h.target)
	}
}

// eject takes a target out of routing unless the pool's floor forbids it.
func (t *Table) eject(now int64, target *targetView) {
	pool := target.pool
	pool.health.Lock()
	defer pool.health.Unlock()
	routable, all := 0, 0
	for _, other := range pool.targets {
		if other.leaving {
			continue
		}
		all++
		if other != target && other.health.ejection(now) == notEjected {
			routable++
		}
	}
	if routable < pool.floor(all) {
		t.counts.floored.Add(1)
		return
	}
	target.health.eject(now, &t.config)
	t.counts.ejected.Add(1)
}
