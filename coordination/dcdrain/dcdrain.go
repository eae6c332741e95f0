// Package dcdrain decides which data centres are drained: their targets get no new work, while
// the work in progress there ends in its own time.
//
// A data centre is drained from the appearance of a record under its name until the record's
// removal. Records are compared by the store's revision alone, so that they may arrive in any
// order, from the store and from other instances.
//
// Set is a pure state machine: time is an argument. It is not safe for concurrent use.
package dcdrain

import (
	"cmp"
	"slices"
	"time"
)

// maxRecords limits the data centres whose records are remembered.
const maxRecords = 1024

// Drain is the drain of a data centre.
type Drain struct {
	DataCentre string `json:"data_centre"`
	// Revision is the store's revision of the record.
	Revision uint64 `json:"revision"`
	// Since is when the drain came into force on this instance.
	Since time.Time `json:"since"`
}

// Entry is a record in a complete list.
type Entry struct {
	DataCentre string
	Revision   uint64
}

// Set holds the drained data centres.
type Set struct {
	records map[string]record
}

// record is the latest that is known of a data centre's record.
type record struct {
	revision uint64
	// ended is true if the record was removed.
	ended bool
	since time.Time
}

// New returns a set without drains.
func New() *Set { return &Set{records: map[string]record{}} }

// Start applies a record as of a revision. It reports whether the data centre is drained from now
// on and wasn't before.
func (s *Set) Start(now time.Time, dataCentre string, revision uint64) bool {
	known, ok := s.records[dataCentre]
	if ok && revision <= known.revision {
		return false
	}
	if ok && !known.ended {
		known.revision = revision
		s.records[dataCentre] = known
		return false
	}
	if !ok && !s.makeRoom() {
		return false
	}
	s.records[dataCentre] = record{revision: revision, since: now}
	return true
}

// End applies the removal of a record as of a revision. It reports whether the data centre was
// drained until now. The removal of an unknown record is remembered too: a late copy of the
// record must not start the drain.
func (s *Set) End(dataCentre string, revision uint64) bool {
	known, ok := s.records[dataCentre]
	if ok && revision < known.revision || !ok && !s.makeRoom() {
		return false
	}
	s.records[dataCentre] = record{revision: revision, ended: true}
	return ok && !known.ended
}

// ApplyList applies a complete list as of a revision: drains that it lacks have ended. If some
// of its elements are unreadable, any of them may be the record of a drain, so that none ends. It
// returns the drains that started and those that ended.
func (s *Set) ApplyList(now time.Time, entries []Entry, revision uint64, unreadable int) (started, ended []string) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.DataCentre] = true
		if s.Start(now, e.DataCentre, e.Revision) {
			started = append(started, e.DataCentre)
		}
	}
	if unreadable > 0 {
		return started, nil
	}
	for _, d := range s.Drains() {
		if !listed[d.DataCentre] && s.End(d.DataCentre, revision) {
			ended = append(ended, d.DataCentre)
		}
	}
	return started, ended
}

// Contains reports whether a data centre is drained.
func (s *Set) Contains(dataCentre string) bool {
	known, ok := s.records[dataCentre]
	return ok && !known.ended
}

// Drains returns the drains in force, sorted by data centre.
func (s *Set) Drains() []Drain {
	drains := []Drain{}
	for name, known := range s.records {
		if !known.ended {
			drains = append(drains, Drain{DataCentre: name, Revision: known.revision, Since: known.since})
		}
	}
	slices.SortFunc(drains, func(a, b Drain) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return drains
}

// makeRoom forgets the oldest ended record if there are too many records. It reports whether
// there is room for another.
func (s *Set) makeRoom() bool {
	if len(s.records) < maxRecords {
		return true
	}
	oldest, found := "", false
	for name, known := range s.records {
		if known.ended && (!found || known.revision < s.records[oldest].revision) {
			oldest, found = name, true
		}
	}
	delete(s.records, oldest)
	return found
}
