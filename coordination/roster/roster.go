// Package roster decides which targets may get new work, from the platform's
// entries, from their removal and from what targets say themselves.
//
// Two failures pull in opposite directions. A target that leaves must get nothing
// new within two seconds of the word that it leaves. And entries also vanish
// because the platform's store was away: they expire while their targets live,
// and are back about two seconds after the store is. So the removal of an entry
// takes effect at once while the store is well, and only after a grace when it
// was not. Word that an incarnation leaves is final.
//
// Entries are told apart by name, and one name may have several incarnations in
// turn: a process that starts again keeps it. What was said of one of them doesn't
// hold for the next, and an earlier one never comes back.
//
// Roster is a pure state machine: time is an argument. It is not safe for
// concurrent use.
package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/state/routes"
)

// returnGrace is how long after the store's return an entry may be missing whose
// target lives: the platform says about two seconds.
const returnGrace = 2200 * time.Millisecond

// Bounds of what is remembered: incarnations as leaving, and starts by name.
const (
	maxLeft    = 8192
	maxStarted = 8192
)

// Gone is the removal of an entry that has taken effect.
type Gone struct {
	Name     string
	Revision uint64
}

// Roster holds the targets of all services.
type Roster struct {
	gone []Gone
	// entries are by name.
	entries map[string]*entry
	// left are incarnations that were told to leave; nothing brings them back.
	left     map[string]struct{}
	leftList []string
	// started is the latest start of each name, where starts are told. It outlives
	// the entry: an earlier start may still be told then.
	started     map[string]int64
	startedList []string
	// troubled is when the store was last known not to answer, or to be back.
	troubled time.Time
	changed  bool
}

type entry struct {
	target   routes.Target
	revision uint64
	// removed is when the entry vanished; zero while it is there.
	removed time.Time
	// goneAt is when a vanished entry takes effect.
	goneAt time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: map[string]*entry{}, left: map[string]struct{}{}, started: map[string]int64{}}
}

// Put takes in an entry as of a revision of the store. It tells whether that is
// news.
//
// An entry of an earlier start than the latest one known is none: the word of a
// process that is gone may be written late, after that of the one that took its
// name, and would bring back what is left or take out what is there.
func (r *Roster) Put(t routes.Target, revision uint64) bool {
	e := r.entries[t.Name]
	if e != nil && revision < e.revision {
		return false
	}
	if t.StartedMillis < r.started[t.Name] {
		return false
	}
	r.noteStart(t)
	if t.Leaving {
		r.Leaving(t.Incarnation())
	}
	if e != nil && e.removed.IsZero() && e.target == t {
		e.revision = revision
		return false
	}
	r.entries[t.Name] = &entry{target: t, revision: revision}
	r.changed = true
	return true
}

// noteStart remembers the latest start of a name.
func (r *Roster) noteStart(t routes.Target) {
	if t.StartedMillis == 0 {
		return
	}
	if _, known := r.started[t.Name]; !known {
		if len(r.startedList) >= maxStarted {
			delete(r.started, r.startedList[0])
			r.startedList = r.startedList[1:]
		}
		r.startedList = append(r.startedList, t.Name)
	}
	r.started[t.Name] = t.StartedMillis
}

// TellsStart tells whether an entry of the name has told a start: one without is
// not whole then.
func (r *Roster) TellsStart(name string) bool {
	_, known := r.started[name]
	return known
}

// Remove takes in the removal of an entry that this instance saw in the store. It
// tells whether that is news.
func (r *Roster) Remove(now time.Time, name string, revision uint64) bool {
	return r.remove(now, name, revision, false)
}

// RemoveSettled takes in a removal that has taken effect at another instance, or an
// entry that names no target any more. It takes effect here at once: what this
// instance's own contact with the store is like says nothing about it. An instance
// that the store refuses would else go on sending work to a target that left, for as
// long as it is refused.
func (r *Roster) RemoveSettled(now time.Time, name string, revision uint64) bool {
	return r.remove(now, name, revision, true)
}

func (r *Roster) remove(now time.Time, name string, revision uint64, settled bool) bool {
	e := r.entries[name]
	if e == nil || revision < e.revision || (!e.removed.IsZero() && !settled) {
		return false
	}
	e.revision = revision
	e.removed = now
	e.goneAt = now
	if !settled && !r.troubled.IsZero() && now.Sub(r.troubled) < returnGrace {
		e.goneAt = r.troubled.Add(returnGrace)
	}
	r.changed = true
	return true
}

// Listed takes in a whole list as of a revision: what it doesn't have is removed.
func (r *Roster) Listed(now time.Time, targets []routes.Target, revision uint64) {
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.Name] = true
		r.Put(t, revision)
	}
	for name, e := range r.entries {
		if !listed[name] && e.revision <= revision {
			r.Remove(now, name, revision)
		}
	}
}

// Leaving notes that an incarnation takes no new work, from whichever source.
// It tells whether that is news.
func (r *Roster) Leaving(incarnation string) bool {
	if _, known := r.left[incarnation]; known {
		return false
	}
	if len(r.leftList) >= maxLeft {
		delete(r.left, r.leftList[0])
		r.leftList = r.leftList[1:]
	}
	r.left[incarnation] = struct{}{}
	r.leftList = append(r.leftList, incarnation)
	r.changed = true
	return true
}

// StoreFailed notes that the store was away at a time, or came back then.
func (r *Roster) StoreFailed(at time.Time) {
	if at.After(r.troubled) {
		r.troubled = at
	}
}

// Tick drops entries whose grace is over. It tells when the next one is due;
// zero if none is.
func (r *Roster) Tick(now time.Time) time.Time {
	var next time.Time
	for name, e := range r.entries {
		if e.removed.IsZero() {
			continue
		}
		if !now.Before(e.goneAt) {
			delete(r.entries, name)
			r.gone = append(r.gone, Gone{name, e.revision})
			r.changed = true
			continue
		}
		if next.IsZero() || e.goneAt.Before(next) {
			next = e.goneAt
		}
	}
	return next
}

// TakeGone returns the removals that took effect since the last call.
func (r *Roster) TakeGone() []Gone {
	gone := r.gone
	r.gone = nil
	return gone
}

// TakeChanged tells whether the usable targets may have changed since the last
// call.
func (r *Roster) TakeChanged() bool {
	changed := r.changed
	r.changed = false
	return changed
}

// Usable returns the targets that may get new work, by service and in a fixed
// order.
func (r *Roster) Usable() map[string][]routes.Target {
	usable := map[string][]routes.Target{}
	for _, e := range r.entries {
		if _, left := r.left[e.target.Incarnation()]; !left {
			usable[e.target.Service] = append(usable[e.target.Service], e.target)
		}
	}
	for _, list := range usable {
		slices.SortFunc(list, func(a, b routes.Target) int { return cmp.Compare(a.Name, b.Name) })
	}
	return usable
}

// Len returns the number of entries.
func (r *Roster) Len() int { return len(r.entries) }
