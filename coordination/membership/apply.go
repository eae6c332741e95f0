package membership

import (
	"maps"
	"slices"
	"time"
)

// supersedes reports whether update u replaces k, the known state of the same
// name. It is a total order, so that instances that receive the same updates in
// different orders converge to the same state.
func supersedes(u, k Member) bool {
	if u.Incarnation != k.Incarnation {
		return u.Incarnation > k.Incarnation
	}
	if k.State == Left || u.State == Left {
		return k.State != Left
	}
	if u.Refutation != k.Refutation {
		return u.Refutation > k.Refutation
	}
	return u.State > k.State
}

// applyAll applies the updates of a message and queues corrections for those
// that are out of date, so that the response carries them.
func (m *Membership) applyAll(now time.Time, updates []Member) {
	for _, u := range updates {
		m.processUpdate(now, u)
		m.queueCorrection(u)
	}
}

// apply stores an update and queues it for gossip if it supersedes the known
// state.
func (m *Membership) apply(now time.Time, u Member) {
	if u.Name == m.self.Name {
		m.handleUpdateOfSelf(u)
		return
	}
	if u.Name == "" || u.Address == "" || u.State > Left {
		return
	}
	e := m.table[u.Name]
	if e == nil && !m.admits(u) {
		// This ignores all but departures, also a live member beyond MaxMembers.
		m.storeUnknownDeparture(now, u)
		return
	}
	if e != nil && !supersedes(u, e.Member) {
		return
	}
	if u.Live() && !m.claimAddress(now, u) {
		return
	}
	if e != nil && u.State == Dead && e.State == Alive && u.Incarnation == e.Incarnation {
		// Another instance declared dead a member that is alive here and not
		// even suspected. That instance's own path may be the broken one, so
		// the member gets the suspicion timeout to refute.
		u.State = Suspect
	}
	m.storeAndGossip(now, u)
}

// admits reports whether an unknown member is added to the table: only a live one,
// and only while there are fewer than MaxMembers live ones. If dead members and
// those that left were added, members removed here would come back from instances
// that still remember them.
func (m *Membership) admits(u Member) bool {
	return u.Live() && len(m.table)-len(m.deadOrLeft) < m.cfg.MaxMembers
}

// storeAndGossip stores a member's new state and queues it for gossip.
func (m *Membership) storeAndGossip(now time.Time, u Member) {
	m.store(now, u)
	m.updates.put(u)
}

// store replaces a member's state and updates the indexes over the table.
func (m *Membership) store(now time.Time, u Member) {
	old := m.table[u.Name]
	if old != nil && m.byAddress[old.Address] == u.Name {
		delete(m.byAddress, old.Address)
	}
	delete(m.suspects, u.Name)
	delete(m.deadOrLeft, u.Name)
	if i, ok := slices.BinarySearch(m.sortedNames, u.Name); !ok {
		m.sortedNames = slices.Insert(m.sortedNames, i, u.Name)
	}
	m.table[u.Name] = &entry{Member: u, stateSince: now}
	switch u.State {
	case Suspect:
		m.suspects[u.Name] = struct{}{}
	case Dead, Left:
		m.deadOrLeft[u.Name] = struct{}{}
	}
	if u.Live() {
		m.byAddress[u.Address] = u.Name
	}
	m.viewStale = true
}

// claimAddress ensures that an address has a single live member: a process that
// was restarted under another name at the same address replaces the older one,
// which is marked dead. It returns false if u is the older one.
func (m *Membership) claimAddress(now time.Time, u Member) bool {
	if u.Address == m.self.Address {
		return false
	}
	name, held := m.byAddress[u.Address]
	if !held || name == u.Name {
		return true
	}
	holder := m.table[name].Member
	if holder.Incarnation > u.Incarnation {
		return false
	}
	holder.State = Dead
	m.storeAndGossip(now, holder)
	return true
}

// handleUpdateOfSelf handles an update about this instance. A suspicion or death
// of this run is refuted by a higher refutation number; a higher incarnation
// means that a later run uses the name.
func (m *Membership) handleUpdateOfSelf(u Member) {
	switch {
	case u.Incarnation > m.self.Incarnation:
		m.actions = append(m.actions, Superseded{By: u})
	case u.Incarnation < m.self.Incarnation:
		if u.Live() && !m.leaving {
			m.updates.put(m.self)
		}
	case m.leaving || u.State == Left || u.State == Alive:
	case u.Refutation >= m.self.Refutation:
		m.self.Refutation = u.Refutation + 1
		m.updates.put(m.self)
		m.viewStale = true
	}
}

// suspect marks an alive member as suspect.
func (m *Membership) suspect(now time.Time, name string) {
	e := m.table[name]
	if e == nil || e.State != Alive {
		return
	}
	u := e.Member
	u.State = Suspect
	m.storeAndGossip(now, u)
}

// expireSuspicions declares dead the suspects that did not refute within the
// suspicion timeout.
func (m *Membership) expireSuspicions(now time.Time) {
	limit := m.suspicionTimeout()
	for _, name := range sortedKeys(m.suspects) {
		e := m.table[name]
		if now.Sub(e.stateSince) < limit {
			continue
		}
		u := e.Member
		u.State = Dead
		m.storeAndGossip(now, u)
	}
}

// expireDeadOrLeft removes members that have been dead or left for the retention,
// and those that have been so the longest while there are more than MaxDeadOrLeft.
func (m *Membership) expireDeadOrLeft(now time.Time) {
	for name := range m.deadOrLeft {
		if now.Sub(m.table[name].stateSince) >= m.cfg.Retention {
			m.remove(name)
		}
	}
	for len(m.deadOrLeft) > m.cfg.MaxDeadOrLeft {
		oldest := ""
		for name := range m.deadOrLeft {
			if oldest == "" || m.table[name].stateSince.Before(m.table[oldest].stateSince) {
				oldest = name
			}
		}
		m.remove(oldest)
	}
}

// remove deletes a member that is dead or left from the table.
func (m *Membership) remove(name string) {
	delete(m.deadOrLeft, name)
	delete(m.table, name)
	if i, ok := slices.BinarySearch(m.sortedNames, name); ok {
		m.sortedNames = slices.Delete(m.sortedNames, i, i+1)
	}
	m.updates.remove(name)
	m.viewStale = true
}

// sortedKeys returns the keys of a map in order, so that a run is reproducible
// from its random seed.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
