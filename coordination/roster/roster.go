// Package roster decides which targets may receive new work. Its sources are the entries in
// the platform's store, their removals, and what the targets report themselves.
//
// Two cases have opposite needs. A target that leaves must stop receiving new work within two
// seconds of its report. But entries also vanish when the store was unavailable: they expire
// although their targets still run, and reappear about two seconds after the store is
// available again. Therefore a removal that this instance sees in the store takes effect at
// once, unless the store was unavailable shortly before: then it takes effect only after a
// grace period. A report that an incarnation leaves is final.
//
// Entries are identified by name. A name may have several incarnations one after the other,
// since a process keeps its name when it restarts. What was reported of one incarnation
// doesn't apply to the next, and an earlier one never returns.
//
// Roster is a pure state machine: time is an argument. It is not safe for concurrent use.
package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/state/routes"
)

// outageGrace is how long the entry of a live target may be missing after the store is
// available again. The platform states about two seconds.
const outageGrace = 2200 * time.Millisecond

// Limits of the incarnations that are remembered as leaving, or as ended, and of the names whose starts
// are remembered.
const (
	maxIncarnations = 8192
	maxStarts       = 8192
)

// Removal is the removal of an entry that has taken effect.
type Removal struct {
	Name     string
	Revision uint64
}

// Roster holds the targets of all services.
type Roster struct {
	removals []Removal
	// entries holds the entries by name.
	entries map[string]*entry
	// leaving holds the latest incarnations that were reported as leaving. Nothing
	// makes them usable again while they are in it.
	leaving incarnations
	// ended holds the latest ones whose processes were found to have ended.
	ended incarnations
	// lastStart is the latest start of each name whose entries report starts. It outlives the
	// entry, since an earlier start may still be reported later.
	lastStart  map[string]int64
	startOrder []string
	// lastFailure is the latest time at which the store was known to be unavailable, or to
	// have become available again.
	lastFailure time.Time
	changed     bool
}

type entry struct {
	target   routes.Target
	revision uint64
	// removedAt is when the entry vanished; zero while it exists.
	removedAt time.Time
	// effectiveAt is when the removal of a vanished entry takes effect.
	effectiveAt time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: map[string]*entry{}, leaving: newIncarnations(), ended: newIncarnations(), lastStart: map[string]int64{}}
}

// incarnations holds the latest maxIncarnations incarnations that were added.
type incarnations struct {
	members map[string]struct{}
	order   []string
}

func newIncarnations() incarnations { return incarnations{members: map[string]struct{}{}} }

// add adds an incarnation. It reports whether that is a change.
func (i *incarnations) add(incarnation string) bool {
	if i.has(incarnation) {
		return false
	}
	if len(i.order) >= maxIncarnations {
		delete(i.members, i.order[0])
		i.order = i.order[1:]
	}
	i.members[incarnation] = struct{}{}
	i.order = append(i.order, incarnation)
	return true
}

func (i *incarnations) has(incarnation string) bool {
	_, ok := i.members[incarnation]
	return ok
}

// Put adds or updates an entry as of a revision of the store. It reports whether that is a
// change.
//
// An entry with an earlier start than the latest known one is ignored. The last entry of a
// process that has ended may be written after the first entry of the process that took over
// its name. Without this rule the late entry could make a target usable that has left, or
// replace that of a target that still runs.
func (r *Roster) Put(t routes.Target, revision uint64) bool {
	e := r.entries[t.Name]
	if e != nil && revision < e.revision {
		return false
	}
	if t.StartedMillis < r.lastStart[t.Name] {
		return false
	}
	r.recordStart(t)
	if t.Leaving {
		r.MarkLeaving(t.Incarnation())
	}
	if e != nil && e.removedAt.IsZero() && sameTarget(e.target, t) {
		e.target, e.revision = t, revision
		return false
	}
	r.entries[t.Name] = &entry{target: t, revision: revision}
	r.changed = true
	return true
}

// sameTarget reports whether two entries are alike but for the remaining warm-up. It changes with
// each report of a cold target, and nothing that is published depends on it.
func sameTarget(a, b routes.Target) bool {
	a.WarmupRemaining = b.WarmupRemaining
	return a == b
}

// recordStart records the latest start of a name.
func (r *Roster) recordStart(t routes.Target) {
	if t.StartedMillis == 0 {
		return
	}
	if _, known := r.lastStart[t.Name]; !known {
		if len(r.startOrder) >= maxStarts {
			delete(r.lastStart, r.startOrder[0])
			r.startOrder = r.startOrder[1:]
		}
		r.startOrder = append(r.startOrder, t.Name)
	}
	r.lastStart[t.Name] = t.StartedMillis
}

// KnowsStart reports whether an entry of the name has had a start. If so, an entry without
// one is incomplete.
func (r *Roster) KnowsStart(name string) bool {
	_, known := r.lastStart[name]
	return known
}

// Remove removes an entry whose removal this instance saw in the store. It reports whether
// that is a change.
func (r *Roster) Remove(now time.Time, name string, revision uint64) bool {
	return r.remove(now, name, revision, false)
}

// RemoveNow removes an entry whose removal has taken effect at another instance, or that no
// longer names a target. The removal takes effect at once, even if this instance itself can't
// reach the store. Otherwise an instance that the store refuses would continue to send work to
// a target that has left for as long as the store refuses it.
func (r *Roster) RemoveNow(now time.Time, name string, revision uint64) bool {
	return r.remove(now, name, revision, true)
}

func (r *Roster) remove(now time.Time, name string, revision uint64, immediate bool) bool {
	e := r.entries[name]
	if e == nil || revision < e.revision || (!e.removedAt.IsZero() && !immediate) {
		return false
	}
	e.revision = revision
	e.removedAt = now
	e.effectiveAt = now
	if !immediate && !r.lastFailure.IsZero() && now.Sub(r.lastFailure) < outageGrace {
		e.effectiveAt = r.lastFailure.Add(outageGrace)
	}
	r.changed = true
	return true
}

// ApplyList applies a complete list as of a revision: entries that it lacks are removed.
func (r *Roster) ApplyList(now time.Time, targets []routes.Target, revision uint64) {
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

// MarkLeaving records that an incarnation accepts no new work, whatever the source of the
// report. It reports whether that is a change.
func (r *Roster) MarkLeaving(incarnation string) bool {
	changed := r.leaving.add(incarnation)
	r.changed = r.changed || changed
	return changed
}

// MarkEnded records that the process of an incarnation has ended. Its entry may stand on, and name an address at which
// another process runs by now. It reports whether that is a change.
func (r *Roster) MarkEnded(incarnation string) bool {
	changed := r.ended.add(incarnation)
	r.changed = r.changed || changed
	return changed
}

// RecordStoreFailure records that the store was unavailable at a time, or became available
// again then.
func (r *Roster) RecordStoreFailure(at time.Time) {
	if at.After(r.lastFailure) {
		r.lastFailure = at
	}
}

// Tick drops the entries whose removal has taken effect by now. It returns when the next
// removal takes effect; zero if none is pending.
func (r *Roster) Tick(now time.Time) time.Time {
	var next time.Time
	for name, e := range r.entries {
		if e.removedAt.IsZero() {
			continue
		}
		if !now.Before(e.effectiveAt) {
			delete(r.entries, name)
			r.removals = append(r.removals, Removal{name, e.revision})
			r.changed = true
			continue
		}
		if next.IsZero() || e.effectiveAt.Before(next) {
			next = e.effectiveAt
		}
	}
	return next
}

// TakeRemovals returns the removals that took effect since the last call.
func (r *Roster) TakeRemovals() []Removal {
	removals := r.removals
	r.removals = nil
	return removals
}

// TakeChanged reports whether the usable targets may have changed since the last call.
func (r *Roster) TakeChanged() bool {
	changed := r.changed
	r.changed = false
	return changed
}

// Usable returns the targets that may receive new work, by service and sorted by name.
func (r *Roster) Usable() map[string][]routes.Target {
	usable := map[string][]routes.Target{}
	for _, e := range r.entries {
		incarnation := e.target.Incarnation()
		if r.leaving.has(incarnation) {
			continue
		}
		target := e.target
		target.Ended = r.ended.has(incarnation)
		usable[target.Service] = append(usable[target.Service], target)
	}
	for _, list := range usable {
		slices.SortFunc(list, func(a, b routes.Target) int { return cmp.Compare(a.Name, b.Name) })
	}
	return usable
}

// Len returns the number of entries.
func (r *Roster) Len() int { return len(r.entries) }
