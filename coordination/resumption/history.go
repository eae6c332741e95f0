package resumption

import (
	"maps"
	"slices"
	"time"
)

// MaxHold is how long a version that the store doesn't list gets no new work while targets of listed versions
// can do it.
const MaxHold = 3 * time.Second

// Stored is what the store has of a service's versions, for instances that start after all others were lost.
type Stored struct {
	// Versions are the versions at which streams that may be taken up can have begun, sorted.
	Versions []string
	// Complete is true if no such stream can have begun at another version. It is false if the instance that
	// began the record didn't know the time before.
	Complete bool
}

// Equal reports whether two records are the same.
func (s Stored) Equal(other Stored) bool {
	return s.Complete == other.Complete && slices.Equal(s.Versions, other.Versions)
}

// History holds the software versions that the targets of services have, or had within Lifetime, and what
// the store has of them.
//
// An instance that has just started doesn't know the versions of before, unless no instance has run before
// it. It knows them from a complete record in the store. That there is no record says nothing.
type History struct {
	startedAt time.Time
	// first is true if no instance has run before.
	first bool
	// follows is true once the first services are known.
	follows  bool
	services map[string]*serviceHistory
}

// Presence is what is present of a service.
type Presence struct {
	// Versions are those of the targets that may receive new work.
	Versions []string
	// Resumable is true if the configuration has streams of the service taken up.
	Resumable bool
}

type serviceHistory struct {
	// followed is true while the service has targets, or is resumable.
	followed  bool
	resumable bool
	// resumableUntil is until when the service may have been resumable, if it isn't.
	resumableUntil time.Time
	// completeFrom is when this instance has known the service's versions for Lifetime.
	completeFrom time.Time
	// present are the versions of the targets that may receive new work, since each has been so.
	present map[string]time.Time
	// past holds when other versions were last known to be present, here or by the store's record.
	past map[string]time.Time
	// stored is the store's record; nil if none is known.
	stored *Stored
}

// NewHistory returns the history of an instance that starts at a time. first is true if no instance has run
// before.
func NewHistory(now time.Time, first bool) *History {
	return &History{startedAt: now, first: first, services: map[string]*serviceHistory{}}
}

// SetPresent replaces what is present, by service. It has all services with targets, so that the versions of a service
// are known before its streams may be taken up. It reports whether that is a change.
func (h *History) SetPresent(now time.Time, present map[string]Presence) bool {
	changed := false
	for name, s := range h.services {
		p, followed := present[name]
		changed = s.setPresent(now, p) || changed
		if followed && !s.followed {
			s.completeFrom = now.Add(Lifetime)
		}
		s.followed = followed
		if !followed && s.stored == nil && len(s.versions(now)) == 0 {
			delete(h.services, name)
		}
	}
	for name, p := range present {
		if h.services[name] == nil {
			changed = h.add(now, name).setPresent(now, p) || changed
		}
	}
	h.follows = true
	return changed
}

// add adds a service that has targets, or that the configuration names.
func (h *History) add(now time.Time, name string) *serviceHistory {
	s := newServiceHistory(now)
	s.followed = true
	switch {
	case h.follows:
		s.completeFrom = now.Add(Lifetime) // it may have had targets for a while
	case h.first:
		s.completeFrom = h.startedAt
	default:
		s.completeFrom = h.startedAt.Add(Lifetime)
	}
	h.services[name] = s
	return s
}

func newServiceHistory(now time.Time) *serviceHistory {
	return &serviceHistory{present: map[string]time.Time{}, past: map[string]time.Time{}, resumableUntil: now}
}

func (s *serviceHistory) setPresent(now time.Time, p Presence) bool {
	changed := s.resumable != p.Resumable
	if s.resumable && !p.Resumable {
		s.resumableUntil = now
	}
	s.resumable = p.Resumable
	for v := range s.present {
		if !slices.Contains(p.Versions, v) {
			delete(s.present, v)
			s.past[v] = now
			changed = true
		}
	}
	for _, v := range p.Versions {
		if _, ok := s.present[v]; !ok {
			s.present[v] = now
			changed = true
		}
	}
	return changed
}

// SetStored replaces the store's record of a service; nil if it has none. It reports whether that is a change.
func (h *History) SetStored(now time.Time, name string, stored *Stored) bool {
	s := h.services[name]
	if s == nil {
		if stored == nil {
			return false
		}
		s = newServiceHistory(now)
		s.completeFrom = now.Add(Lifetime)
		h.services[name] = s
	}
	before := s.stored
	s.stored = stored
	if stored == nil {
		return before != nil
	}
	for _, v := range stored.Versions {
		if before == nil || !slices.Contains(before.Versions, v) {
			s.past[v] = now
		}
	}
	return before == nil || !before.Equal(*stored)
}

// Stored returns the store's record of a service; nil if none is known.
func (h *History) Stored(name string) *Stored {
	if s := h.services[name]; s != nil {
		return s.stored
	}
	return nil
}

// Services returns the names of the known services.
func (h *History) Services() []string { return slices.Sorted(maps.Keys(h.services)) }

// Desired returns the record that the store should have of a service; nil if it should have none. current is
// true if this instance knows the targets as they are now: only then are versions taken out.
func (h *History) Desired(now time.Time, name string, current bool) *Stored {
	s := h.services[name]
	if s == nil {
		return nil
	}
	versions := s.versions(now)
	if !s.resumable {
		if current && (len(versions) == 0 || now.Sub(s.resumableUntil) >= Lifetime) {
			return nil
		}
		return s.stored
	}
	desired := Stored{Versions: versions, Complete: !now.Before(s.completeFrom)}
	if s.stored != nil {
		desired.Complete = desired.Complete || s.stored.Complete
		if !current || len(versions) == 0 {
			desired.Versions = union(versions, s.stored.Versions)
		}
	}
	if len(desired.Versions) == 0 {
		return s.stored
	}
	return &desired
}

// Held returns the versions of a service that should get no new work yet: a stream that began at a version that the
// store doesn't list could go on at another one after the loss of all instances. No version is held for longer
// than MaxHold, while no record is known or while no target has a listed version.
func (h *History) Held(now time.Time, name string) []string {
	s := h.services[name]
	if s == nil || s.stored == nil {
		return nil
	}
	var held []string
	listed := false
	for v, since := range s.present {
		switch {
		case slices.Contains(s.stored.Versions, v):
			listed = true
		case now.Sub(since) < MaxHold:
			held = append(held, v)
		}
	}
	if !listed {
		return nil
	}
	slices.Sort(held)
	return held
}

// Several reports whether a service has, or had within Lifetime, targets of several versions.
func (h *History) Several(now time.Time, name string) bool { return len(h.known(now, name)) > 1 }

// Sole returns the only version that a service has had for Lifetime; empty if there are several, none or
// nobody has known them for so long.
func (h *History) Sole(now time.Time, name string) string {
	s := h.services[name]
	if known := h.known(now, name); len(known) == 1 && (s.stored != nil && s.stored.Complete || s.followed && !now.Before(s.completeFrom)) {
		return known[0]
	}
	return ""
}

func (h *History) known(now time.Time, name string) []string {
	s := h.services[name]
	if s == nil {
		return nil
	}
	if s.stored == nil {
		return s.versions(now)
	}
	return union(s.versions(now), s.stored.Versions)
}

// versions returns the versions that were present within Lifetime, sorted.
func (s *serviceHistory) versions(now time.Time) []string {
	versions := maps.Clone(s.present)
	for v, last := range s.past {
		if now.Sub(last) < Lifetime {
			versions[v] = last
		} else {
			delete(s.past, v)
		}
	}
	return slices.Sorted(maps.Keys(versions))
}

func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
