// Package targetlimit keeps the limits that targets name in their responses: the requests a
// second that a target accepts from all instances together, for as long as its responses say so.
//
// Each instance sees the responses to its own requests, and passes changes on to the others. A
// change has a revision that is higher than that of the change it replaces and follows the time
// of day, so that of two instances that see different responses the later one prevails.
//
// Table is a pure state machine: time is an argument. It is not safe for concurrent use.
package targetlimit

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// minChange is the smallest relative change of a limit that is passed on.
	minChange = 0.05
	// minChangeInterval is the time for which a limit isn't raised or ended again, so that a
	// target whose responses differ doesn't cause a message for each of them.
	minChangeInterval = 250 * time.Millisecond
	// forgetAfter is how long the limit of a target that isn't listed is kept. An entry may
	// be missing for seconds.
	forgetAfter = 10 * time.Second
)

// Statement is what a response says about the limit of its target.
type Statement struct {
	// Limited is true if the response names a limit.
	Limited bool
	// PerSecond is the limit in requests a second.
	PerSecond float64
}

// Change is a change of a target's limit.
type Change struct {
	// Target is the incarnation of the target.
	Target    string
	Revision  uint64
	Statement Statement
}

// Table holds the latest change of each target.
type Table struct {
	entries map[string]*entry
}

// entry is the latest change of a target.
type entry struct {
	Change
	changedAt time.Time
	// unlistedSince is when the target was first found not to be listed; zero while it is.
	unlistedSince time.Time
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[string]*entry{}} }

// Len returns the number of targets with a limit, or whose limit has ended.
func (t *Table) Len() int { return len(t.entries) }

// Observe records what a response of a target says. It returns the change to pass on to the
// other instances, and false if there is none.
func (t *Table) Observe(now time.Time, target string, s Statement) (Change, bool) {
	e := t.entries[target]
	if e == nil {
		if !s.Limited {
			return Change{}, false
		}
		e = &entry{Change: Change{Target: target}}
		t.entries[target] = e
	}
	if !e.differs(now, s) {
		return Change{}, false
	}
	e.Statement, e.changedAt = s, now
	e.Revision = max(e.Revision+1, uint64(max(now.UnixMilli(), 0)))
	return e.Change, true
}

// differs reports whether a statement changes the limit. A lower limit always does.
func (e *entry) differs(now time.Time, s Statement) bool {
	switch {
	case s.Limited && !e.Statement.Limited:
		return true
	case s.Limited == e.Statement.Limited && math.Abs(s.PerSecond-e.Statement.PerSecond) <= minChange*e.Statement.PerSecond:
		return false
	case s.Limited && s.PerSecond < e.Statement.PerSecond:
		return true
	}
	return now.Sub(e.changedAt) >= minChangeInterval
}

// Apply records a change that another instance has passed on. It reports whether it is newer than
// what is known.
func (t *Table) Apply(now time.Time, c Change) bool {
	e := t.entries[c.Target]
	if e == nil {
		e = &entry{}
		t.entries[c.Target] = e
	}
	if c.Revision <= e.Revision {
		return false
	}
	e.Change, e.changedAt = c, now
	return true
}

// Changes returns the latest changes of the targets whose names follow after, in the order of the
// names, and at most as many as given.
func (t *Table) Changes(after string, most int) []Change {
	var changes []Change
	for _, target := range slices.Sorted(maps.Keys(t.entries)) {
		if target > after && len(changes) < most {
			changes = append(changes, t.entries[target].Change)
		}
	}
	return changes
}

// Limits returns the limits in requests a second, by incarnation.
func (t *Table) Limits() map[string]float64 {
	limits := map[string]float64{}
	for target, e := range t.entries {
		if e.Statement.Limited {
			limits[target] = e.Statement.PerSecond
		}
	}
	return limits
}

// Forget removes the targets that haven't been listed for a while. It returns their changes, each
// an end of the limit, for the other instances.
func (t *Table) Forget(now time.Time, listed func(target string) bool) []Change {
	var ended []Change
	for target, e := range t.entries {
		switch {
		case listed(target):
			e.unlistedSince = time.Time{}
		case e.unlistedSince.IsZero():
			e.unlistedSince = now
		case now.Sub(e.unlistedSince) >= forgetAfter:
			delete(t.entries, target)
			if e.Statement.Limited {
				ended = append(ended, Change{Target: target, Revision: e.Revision + 1})
			}
		}
	}
	return ended
}
