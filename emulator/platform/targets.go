package platform

import (
	"encoding/json"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// targetChange is a change of the list of targets that readers don't see yet: a new
// entry, a new state, or the removal of the target if both are empty.
type targetChange struct {
	incarnation string
	state       string
	newEntry    *platformapi.TargetEntry
}

// RegisterTarget adds a target to the list, or replaces its entry, after the lag.
func (s *Store) RegisterTarget(entry platformapi.TargetEntry) {
	if entry.State == "" {
		entry.State = platformapi.TargetReady
	}
	s.scheduleTarget(targetChange{incarnation: entry.Incarnation, newEntry: &entry})
}

// SetLeaving marks a target as leaving after the lag.
func (s *Store) SetLeaving(incarnation string) {
	s.scheduleTarget(targetChange{incarnation: incarnation, state: platformapi.TargetLeaving})
}

// RemoveTarget removes a target from the list after the lag.
func (s *Store) RemoveTarget(incarnation string) {
	s.scheduleTarget(targetChange{incarnation: incarnation})
}

// scheduleTarget queues a change. Each timer applies the oldest change, since timers
// of the same lag can fire out of order.
func (s *Store) scheduleTarget(c targetChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingTargets = append(s.pendingTargets, c)
	s.options.AfterFunc(s.options.TargetLag, s.applyNextTarget)
}

// applyNextTarget applies the oldest pending change.
func (s *Store) applyNextTarget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.pendingTargets[0]
	s.pendingTargets = s.pendingTargets[1:]
	current := s.table.get(platformapi.KindTargets, c.incarnation)
	switch {
	case c.newEntry != nil:
		s.putTarget(current, *c.newEntry)
	case current == nil:
	case c.state != "":
		var entry platformapi.TargetEntry
		_ = json.Unmarshal(current.Spec, &entry) // valid, written by putTarget
		entry.State = c.state
		s.putTarget(current, entry)
	default:
		s.table.delete(platformapi.KindTargets, c.incarnation, 0)
	}
}

func (s *Store) putTarget(current *platformapi.Object, entry platformapi.TargetEntry) {
	spec, _ := json.Marshal(entry) // can't fail for a struct of strings
	object := platformapi.Object{Metadata: platformapi.Metadata{Name: entry.Incarnation}, Spec: spec}
	if current == nil {
		s.table.create(platformapi.KindTargets, object)
		return
	}
	s.table.update(platformapi.KindTargets, object, false)
}
