package resumption

import (
	"maps"
	"slices"
	"time"
)

// History holds the software versions that the targets of services have, or had within Lifetime.
//
// An instance that has just started doesn't know the versions of before. Until it has read the
// rollouts that the fleet has noted, its history is incomplete for Lifetime.
type History struct {
	completeFrom time.Time
	services     map[string]*serviceHistory
}

type serviceHistory struct {
	// present are the versions of the targets that may receive new work.
	present []string
	// gone holds until when other versions were present.
	gone map[string]time.Time
	// noted are the versions that the fleet's note lists.
	noted []string
}

// NewHistory returns the history of an instance that starts at a time.
func NewHistory(now time.Time) *History {
	return &History{completeFrom: now.Add(Lifetime), services: map[string]*serviceHistory{}}
}

// Complete records that all notes of the fleet have been passed to SetNoted.
func (h *History) Complete(now time.Time) {
	if now.Before(h.completeFrom) {
		h.completeFrom = now
	}
}

// SetPresent replaces the versions of the targets that may receive new work, by service. It reports
// whether that is a change.
func (h *History) SetPresent(now time.Time, present map[string][]string) bool {
	changed := false
	for name, s := range h.services {
		if len(present[name]) == 0 {
			changed = s.setPresent(now, nil) || changed
		}
		if len(s.present) == 0 && len(s.noted) == 0 && len(s.versions(now)) == 0 {
			delete(h.services, name)
		}
	}
	for name, versions := range present {
		if len(versions) > 0 {
			changed = h.service(name).setPresent(now, versions) || changed
		}
	}
	return changed
}

func (s *serviceHistory) setPresent(now time.Time, versions []string) bool {
	versions = slices.Sorted(maps.Keys(setOf(versions)))
	if slices.Equal(versions, s.present) {
		return false
	}
	for _, v := range s.present {
		s.gone[v] = now
	}
	s.present = versions
	return true
}

// SetNoted replaces the versions that the fleet's note of a service lists; nil if there is no note.
// It reports whether that is a change.
func (h *History) SetNoted(name string, versions []string) bool {
	s := h.service(name)
	changed := !slices.Equal(s.noted, versions)
	s.noted = versions
	return changed
}

// Noted returns the versions that the fleet's note of a service lists.
func (h *History) Noted(name string) []string { return h.service(name).noted }

// Services returns the names of the known services.
func (h *History) Services() []string { return slices.Sorted(maps.Keys(h.services)) }

// Note returns the versions that the fleet's note of a service has to list, sorted; nil if there must be no
// note. Noted versions that this instance hasn't seen stay until its own history is long enough.
func (h *History) Note(now, startedAt time.Time, name string) []string {
	s := h.service(name)
	versions := s.versions(now)
	if now.Sub(startedAt) < Lifetime {
		versions = union(versions, s.noted)
	}
	if len(versions) < 2 {
		return nil
	}
	return versions
}

// Several reports whether a service has, or had within Lifetime, targets of several versions.
func (h *History) Several(now time.Time, name string) bool { return len(h.known(now, name)) > 1 }

// Sole returns the only version that a service has had for Lifetime; empty if there are several, none or
// the history is incomplete.
func (h *History) Sole(now time.Time, name string) string {
	if known := h.known(now, name); len(known) == 1 && !now.Before(h.completeFrom) {
		return known[0]
	}
	return ""
}

func (h *History) known(now time.Time, name string) []string {
	s := h.services[name]
	if s == nil {
		return nil
	}
	return union(s.versions(now), s.noted)
}

// versions returns the versions that this instance has seen within Lifetime, sorted.
func (s *serviceHistory) versions(now time.Time) []string {
	versions := setOf(s.present)
	for v, until := range s.gone {
		if now.Sub(until) < Lifetime {
			versions[v] = true
		} else {
			delete(s.gone, v)
		}
	}
	return slices.Sorted(maps.Keys(versions))
}

func (h *History) service(name string) *serviceHistory {
	s := h.services[name]
	if s == nil {
		s = &serviceHistory{gone: map[string]time.Time{}}
		h.services[name] = s
	}
	return s
}

func setOf(list []string) map[string]bool {
	set := make(map[string]bool, len(list))
	for _, v := range list {
		set[v] = true
	}
	return set
}

func union(a, b []string) []string {
	set := setOf(a)
	maps.Copy(set, setOf(b))
	return slices.Sorted(maps.Keys(set))
}
