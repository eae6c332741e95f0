package stages

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/state/routes"
)

// setTargets takes the usable targets of all services, also while another instance has
// the queue. While the queue is on its way they wait for what becomes of it.
//
// The failure it guards against: an instance that gave its queue away has it again, goes
// on with the targets of before, and calls those that have left since.
func (o *queue) setTargets(now time.Time, table *routes.Table, usable map[string][]routes.Target) {
	o.lockAndCheckStall()
	if o.frozen {
		o.deferredTargets = func() []gather.Action { return o.applyTargets(time.Now(), table, usable) }
		o.mu.Unlock()
		return
	}
	actions := o.applyTargets(now, table, usable)
	o.recordActions(actions)
	o.mu.Unlock()
	o.performActions(actions)
}

// list tells the planner and the table of engines the usable targets; mu is held.
func (o *queue) applyTargets(now time.Time, table *routes.Table, usable map[string][]routes.Target) []gather.Action {
	var actions []gather.Action
	for name, s := range table.Services {
		if s.Batch == nil {
			o.setEngines(s, usable[name])
			continue
		}
		o.planner.SetService(name, serviceConfig(s.Batch))
		list := make([]gather.Target, 0, len(usable[name]))
		for _, t := range usable[name] {
			list = append(list, gather.Target{
				Incarnation: t.Incarnation(), Name: t.Name, Address: t.Address, DataCentre: t.DataCentre,
			})
		}
		actions = append(actions, o.planner.SetTargets(now, name, list)...)
	}
	return actions
}

// takeListed takes the targets that came while the queue was frozen; mu is held.
func (o *queue) applyDeferredTargets() []gather.Action {
	listed := o.deferredTargets
	o.deferredTargets = nil
	if listed == nil {
		return nil
	}
	return listed()
}
