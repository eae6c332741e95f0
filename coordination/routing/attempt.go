package routing

import (
	"sync/atomic"
	"time"
)

// Handle stands for one attempt in flight.
type Attempt struct {
	table  *Table
	target *targetView
	cost   int64
	// crowding is how many times the target's slots were taken at the start.
	utilization float64
	startMillis int64
	ended       atomic.Bool
}

// Started records that an attempt was sent. Cost is its expected work relative
// to the pool's mean; 0 means 1. Each handle must be ended by Done.
func (t *Table) Started(now time.Time, incarnation string, cost float64) *Attempt {
	target := t.view.Load().byTarget[incarnation]
	if target == nil {
		return &Attempt{}
	}
	if cost <= 0 {
		cost = 1
	}
	ns := now.UnixNano()
	use := (target.estimatedLoad(ns, &t.config) + cost) / target.slots(target.Slots)
	h := &Attempt{table: t, target: target, cost: int64(cost * costUnit), utilization: max(1, use)}
	target.addInFlight(ns, h.cost)
	h.startMillis = target.attemptAges.start(ns)
	return h
}

// Done records how the attempt ended. A second call does nothing.
func (h *Attempt) Done(now time.Time, result Result) {
	if h.target == nil || h.ended.Swap(true) {
		return
	}
	ns := now.UnixNano()
	h.target.addInFlight(ns, -h.cost)
	h.target.attemptAges.finish(h.startMillis, result.Expected)
	// A target that was known to be crowded is expected to take longer: only
	// what goes beyond that tells of a slow target.
	result.Expected = time.Duration(float64(result.Expected) * h.utilization)
	if h.target.health.observe(ns, result) && !h.table.config.disabled(MechanismEjection) {
		h.table.eject(ns, h.target)
	}
}

// eject takes a target out of routing unless the pool's floor forbids it.
func (t *Table) eject(now int64, target *targetView) {
	pool := target.pool
	pool.ejectionMu.Lock()
	defer pool.ejectionMu.Unlock()
	routable, all := 0, 0
	for _, other := range pool.targets {
		if other.leaving {
			continue
		}
		all++
		if other != target && other.health.ejectionState(now) == notEjected {
			routable++
		}
	}
	if routable < pool.minRoutable(all) {
		t.counts.ejectionsPrevented.Add(1)
		return
	}
	target.health.eject(now, &t.config)
	t.counts.ejections.Add(1)
}
