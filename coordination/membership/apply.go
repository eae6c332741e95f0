package membership

import (
	"maps"
	"slices"
	"time"
)

// supersedes tells whether update u replaces what is known, k, of one name. It
// is a total order, so that instances that hear the same updates in different
// orders end with the same state.
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

// applyAll applies the updates of a message, and has the answer put right what is
// out of date in them.
func (m *Membership) applyAll(now time.Time, updates []Member) {
	for _, u := range updates {
		m.hearOf(now, u)
		m.correct(u)
	}
}

// apply takes an update over if it is news, and passes it on.
func (m *Membership) apply(now time.Time, u Member) {
	if u.Name == m.self.Name {
		m.contradict(u)
		return
	}
	if u.Name == "" || u.Address == "" || u.State > Left {
		return
	}
	e := m.table[u.Name]
	if e == nil && !m.admits(u) {
		m.hear(now, u)
		return
	}
	if e != nil && !supersedes(u, e.Member) {
		return
	}
	if u.Live() && !m.takeAddress(now, u) {
		return
	}
	if e != nil && u.State == Dead && e.State == Alive && u.Incarnation == e.Incarnation {
		// Someone found it dead while here it is alive and was not even
		// suspected. The other's path may be the broken one, so the member
		// gets the time to refute before it is given up here.
		u.State = Suspect
	}
	m.set(now, u)
}

// admits tells whether an unknown member is taken in. One that is gone is not,
// or members forgotten here would come back from those who still keep them.
func (m *Membership) admits(u Member) bool {
	return u.Live() && len(m.table)-len(m.gone) < m.cfg.MaxMembers
}

// set stores a member's new state and queues it to be passed on.
func (m *Membership) set(now time.Time, u Member) {
	m.store(now, u)
	m.updates.put(u)
}

// store stores a member's new state.
func (m *Membership) store(now time.Time, u Member) {
	old := m.table[u.Name]
	if old != nil && m.byAddress[old.Address] == u.Name {
		delete(m.byAddress, old.Address)
	}
	delete(m.suspects, u.Name)
	delete(m.gone, u.Name)
	if i, ok := slices.BinarySearch(m.order, u.Name); !ok {
		m.order = slices.Insert(m.order, i, u.Name)
	}
	m.table[u.Name] = &entry{Member: u, changed: now}
	switch u.State {
	case Suspect:
		m.suspects[u.Name] = struct{}{}
	case Dead, Left:
		m.gone[u.Name] = struct{}{}
	}
	if u.Live() {
		m.byAddress[u.Address] = u.Name
	}
	m.dirty = true
}

// takeAddress settles that one address has one live member: a process that was
// started anew under another name at the same address has replaced the older
// one. It returns false if u is the older one.
func (m *Membership) takeAddress(now time.Time, u Member) bool {
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
	m.set(now, holder)
	return true
}

// contradict answers what others say of this instance. A suspicion or a death
// of this run is refuted by a higher refutation number; a higher incarnation
// means that a later run has the name.
func (m *Membership) contradict(u Member) {
	switch {
	case u.Incarnation > m.self.Incarnation:
		m.out = append(m.out, Superseded{By: u})
	case u.Incarnation < m.self.Incarnation:
		if u.Live() && !m.leaving {
			m.updates.put(m.self)
		}
	case m.leaving || u.State == Left || u.State == Alive:
	case u.Refutation >= m.self.Refutation:
		m.self.Refutation = u.Refutation + 1
		m.updates.put(m.self)
		m.dirty = true
	}
}

// suspect begins a suspicion.
func (m *Membership) suspect(now time.Time, name string) {
	e := m.table[name]
	if e == nil || e.State != Alive {
		return
	}
	u := e.Member
	u.State = Suspect
	m.set(now, u)
}

// endSuspicions declares dead who did not refute in time.
func (m *Membership) endSuspicions(now time.Time) {
	limit := m.suspicion()
	for _, name := range sortedKeys(m.suspects) {
		e := m.table[name]
		if now.Sub(e.changed) < limit {
			continue
		}
		u := e.Member
		u.State = Dead
		m.set(now, u)
	}
}

// forgetGone drops members that are dead or left after the retention, and the
// oldest ones beyond the bound.
func (m *Membership) forgetGone(now time.Time) {
	for name := range m.gone {
		if now.Sub(m.table[name].changed) >= m.cfg.Retention {
			m.forget(name)
		}
	}
	for len(m.gone) > m.cfg.MaxGone {
		oldest := ""
		for name := range m.gone {
			if oldest == "" || m.table[name].changed.Before(m.table[oldest].changed) {
				oldest = name
			}
		}
		m.forget(oldest)
	}
}

// forget drops a member that is gone.
func (m *Membership) forget(name string) {
	delete(m.gone, name)
	delete(m.table, name)
	if i, ok := slices.BinarySearch(m.order, name); ok {
		m.order = slices.Delete(m.order, i, i+1)
	}
	m.updates.drop(name)
	m.dirty = true
}

// sortedKeys returns the keys of a map in order, so that one seed always gives
// one course of events.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
