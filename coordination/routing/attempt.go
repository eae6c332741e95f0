package routing

import (
	"sync/atomic"
	"time"
)

// Attempt is one attempt in flight at a target.
type Attempt struct {
	table  *Table
	target *targetView
	cost   int64
	// utilization is the target's estimated load relative to its slots when the attempt
	// started, at least 1.
	utilization float64
	startMillis int64
	ended       atomic.Bool
	// silent is true while the target has sent nothing for longer than it should.
	silent atomic.Bool
	// costs is what the attempt has in the target's account of work; nil without a predicted cost.
	costs *attemptCosts
}

// Started records that an attempt was sent. Cost is its expected work relative to the
// pool's mean; 0 means 1. The caller must call Done on the returned attempt.
func (t *Table) Started(now time.Time, incarnation string, cost float64) *Attempt {
	target := t.view.Load().byTarget[incarnation]
	if target == nil {
		return &Attempt{}
	}
	if cost <= 0 {
		cost = 1
	}
	ns := now.UnixNano()
	utilization := (target.estimatedLoad(ns, &t.config) + cost) / target.slots(target.Slots)
	a := &Attempt{table: t, target: target, cost: int64(cost * costUnit), utilization: max(1, utilization)}
	target.addInFlight(ns, a.cost)
	a.startMillis = target.attemptAges.start(ns)
	return a
}

// Done records how the attempt ended. A second call does nothing.
func (a *Attempt) Done(now time.Time, result Result) {
	if a.target == nil || a.ended.Swap(true) {
		return
	}
	ns := now.UnixNano()
	if a.endCosts(now, result) {
		a.target.addInFlight(ns, -a.cost)
	}
	a.target.attemptAges.finish(a.startMillis, result.Expected)
	// A target with more load than slots is expected to take longer. Only latency beyond
	// that indicates a slow target.
	result.Expected = time.Duration(float64(result.Expected) * a.utilization)
	switch silent := a.silent.Load(); {
	case silent && result.Outcome == OutcomeFailed:
		return // Silent has recorded the failure
	case silent && result.Outcome == OutcomeOK:
		a.Responded(now)
	}
	if a.target.health.observe(ns, result) && !a.table.config.disabled(MechanismEjection) {
		a.table.eject(ns, a.target)
	}
}

// Silent records, as a failure, that the target has sent nothing for longer than it should. The
// attempt goes on.
func (a *Attempt) Silent(now time.Time) {
	if a.target == nil || a.ended.Load() || a.silent.Swap(true) {
		return
	}
	ns, health := now.UnixNano(), &a.target.health
	if !health.recordFailure(ns) || a.table.config.disabled(MechanismEjection) {
		return
	}
	wasEjected := health.ejectedUntil.Load() != 0
	if a.table.eject(ns, a.target); !wasEjected && health.ejectedUntil.Load() != 0 {
		health.ejectedForSilence.Store(true)
	}
}

// Responded records that the target has sent something after Silent: it only paused. That ends an
// ejection for silence, and no other one.
func (a *Attempt) Responded(now time.Time) {
	if a.target != nil && a.silent.Swap(false) {
		a.target.health.withdrawSilence(now.UnixNano())
	}
}

// eject removes a target from routing unless the pool's ejection floor prevents it.
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
