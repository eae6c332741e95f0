package platform

import (
	"encoding/json"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// targetChange is a change of the list that doesn't show yet; a nil entry
// removes the target.
type targetChange struct {
	incarnation string
	state       string
	newEntry    *platformapi.TargetEntry
}

// RegisterTarget lists a target after the lag.
func (s *Store) RegisterTarget(entry platformapi.TargetEntry) {
	if entry.State == "" {
		entry.State = platformapi.TargetReady
	}
	s.scheduleTarget(targetChange{incarnation: entry.Incarnation, newEntry: &entry})
}

// SetLeaving shows a target as leaving after the lag.
func (s *Store) SetLeaving(incarnation string) {
	s.scheduleTarget(targetChange{incarnation: incarnation, state: platformapi.TargetLeaving})
}

// RemoveTarget takes a target off the list after the lag.
func (s *Store) RemoveTarget(incarnation string) {
	s.scheduleTarget(targetChange{incarnation: incarnation})
}

// later queues a change. Each timer applies the oldest one, since timers of the
// same lag may fire out of order.
func (s *Store) scheduleTarget(c targetChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingTargets = append(s.pendingTargets, c)
	s.options.AfterFunc(s.options.TargetLag, s.applyNextTarget)
}

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
		_ = json.Unmarshal(current.Spec, &entry) // putTarget wrote it
		entry.State = c.state
		s.putTarget(current, entry)
	default:
		s.table.delete(platformapi.KindTargets, c.incarnation, 0)
	}
}

func (s *Store) putTarget(current *platformapi.Object, entry platformapi.TargetEntry) {
	spec, _ := json.Marshal(entry) // a struct of strings always encodes
	object := platformapi.Object{Metadata: platformapi.Metadata{Name: entry.Incarnation}, Spec: spec}
	if current == nil {
		s.table.create(platformapi.KindTargets, object)
		return
	}
	s.table.update(platformapi.KindTargets, object, false)
}
