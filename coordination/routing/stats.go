package routing

import (
	"sync/atomic"
	"time"
)

type counters struct {
	reasons            [len(reasonNames)]atomic.Uint64
	noTarget           atomic.Uint64
	ejections          atomic.Uint64
	ejectionsPrevented atomic.Uint64
}

// Stats is a snapshot of a table, for metrics and operators.
type Stats struct {
	// Picks counts the chosen targets by reason.
	Picks map[Reason]uint64
	// Refused counts the picks that found no eligible target.
	Refused uint64
	// Ejections counts ejections; EjectionsPrevented those that the ejection floor
	// prevented.
	Ejections, EjectionsPrevented uint64
	Targets                       []TargetStats
}

// TargetStats is the state of one target of the instance's subset.
type TargetStats struct {
	Incarnation, Pool string
	// InFlight is the cost in flight from this instance; Load is the estimated load
	// from all instances.
	InFlight, Load float64
	// Slowness is the ratio of latency to expected latency; FailureRate is the share
	// of failed attempts, 0 to 1. Both are moving averages.
	Slowness, FailureRate float64
	Leaving, Ejected      bool
	Picked                uint64
}

// Stats returns the counters and the state of every target of the subsets.
func (t *Table) Stats(now time.Time) Stats {
	ns := now.UnixNano()
	stats := Stats{
		Picks:              map[Reason]uint64{},
		Refused:            t.counts.noTarget.Load(),
		Ejections:          t.counts.ejections.Load(),
		EjectionsPrevented: t.counts.ejectionsPrevented.Load(),
	}
	for i := range t.counts.reasons {
		stats.Picks[Reason(i)] = t.counts.reasons[i].Load()
	}
	for _, pool := range t.view.Load().pools {
		for _, target := range pool.targets {
			stats.Targets = append(stats.Targets, target.stats(ns, &t.config))
		}
	}
	return stats
}

func (t *targetView) stats(now int64, c *Config) TargetStats {
	return TargetStats{
		Incarnation: t.Incarnation,
		Pool:        t.Pool,
		InFlight:    t.ownLoad(),
		Load:        t.estimatedLoad(now, c),
		Slowness:    t.health.slowdown(now),
		FailureRate: t.health.failureRate.read(now),
		Leaving:     t.leaving,
		Ejected:     t.health.ejectionState(now) != notEjected,
		Picked:      t.picks.Load(),
	}
}

// Slots returns the total number of slots of a pool's targets in the subset, without
// those that are leaving or ejected. It is the capacity that a gate in front of the
// pool may fill.
func (t *Table) Slots(now time.Time, pool string) int {
	p := t.view.Load().pools[pool]
	if p == nil {
		return 0
	}
	sum := 0.0
	for _, target := range p.targets {
		if !target.leaving && target.health.ejectionState(now.UnixNano()) == notEjected {
			sum += target.slots(target.Target.Slots)
		}
	}
	return int(sum)
}
