package stages

import (
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/pacing"
	"github.com/ivyhollow/ivyhollow/state/routes"
)

// setTargets replaces the usable targets of all services, also while another instance has the
// queue. During a handover the update is deferred until its end.
//
// Without the updates meanwhile, an instance that handed its queue over and gets it back would
// continue with the former targets, and call those that have been removed since.
func (q *queue) setTargets(now time.Time, table *routes.Table, usable map[string][]routes.Target) {
	q.lockAndCheckStall()
	if q.frozen {
		q.deferredTargets = func() []gather.Action { return q.applyTargets(time.Now(), table, usable) }
		q.mu.Unlock()
		return
	}
	actions := q.applyTargets(now, table, usable)
	q.recordActions(actions)
	q.mu.Unlock()
	q.performActions(actions)
}

// applyTargets passes the usable targets to the planner and to the table of engines. mu must
// be held.
func (q *queue) applyTargets(now time.Time, table *routes.Table, usable map[string][]routes.Target) []gather.Action {
	var actions []gather.Action
	q.coldPools, q.engineNames = map[string]bool{}, map[string][]string{}
	for name, s := range table.Services {
		pace := pacing.ForLimit(q.limits.Limit(s.ColdRate))
		if s.Batch == nil {
			q.coldPools[name] = !pace.Unlimited()
			for _, t := range usable[name] {
				q.engineNames[name] = append(q.engineNames[name], t.Incarnation())
			}
			q.setEngines(s, pace, usable[name])
			continue
		}
		q.planner.SetService(name, serviceConfig(s.Batch, pace))
		list := make([]gather.Target, 0, len(usable[name]))
		for _, t := range usable[name] {
			list = append(list, gather.Target{
				Incarnation: t.Incarnation(), Name: t.Name, Address: t.Address, DataCentre: t.DataCentre,
			})
		}
		actions = append(actions, q.planner.SetTargets(now, name, list)...)
	}
	q.updatePacedPools()
	return actions
}

// setLimits replaces the limits that targets name, in requests a second by incarnation.
func (q *queue) setLimits(now time.Time, limits map[string]float64) {
	paces := make(map[string]pacing.Pace, len(limits))
	for incarnation, perSecond := range limits {
		paces[incarnation] = pacing.ForRate(perSecond)
	}
	q.lockAndCheckStall()
	q.targetLimits = limits
	q.engines.SetLimits(paces)
	var actions []gather.Action
	if q.frozen {
		// Calls are started after the handover only.
		q.planner.PrepareLimits(paces)
	} else {
		actions = q.planner.SetLimits(now, paces)
	}
	q.updatePacedPools()
	q.recordActions(actions)
	q.mu.Unlock()
	q.performActions(actions)
}

// updatePacedPools determines the pools whose targets have a pace: by the configuration, or since
// one of them names a limit. mu must be held.
func (q *queue) updatePacedPools() {
	paced := map[string]bool{}
	for pool, engines := range q.engineNames {
		paced[pool] = slices.ContainsFunc(engines, func(e string) bool { _, ok := q.targetLimits[e]; return ok })
	}
	for pool, cold := range q.coldPools {
		paced[pool] = paced[pool] || cold
	}
	q.pacedPools.Store(&paced)
}

// isPaced reports whether the targets of a pool have a pace.
func (q *queue) isPaced(pool string) bool {
	paced := q.pacedPools.Load()
	return paced != nil && (*paced)[pool]
}

// applyDeferredTargets applies the targets that were set while the queue was frozen. mu must
// be held.
func (q *queue) applyDeferredTargets() []gather.Action {
	apply := q.deferredTargets
	q.deferredTargets = nil
	if apply == nil {
		return nil
	}
	return apply()
}
