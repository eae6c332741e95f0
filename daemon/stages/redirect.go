package stages

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
)

// redirectFor is how long an instance's word counts on who has the queue: while views
// differ it may have been wrong.
const redirectValidity = 500 * time.Millisecond

// redirect is where an instance sent a request on to.
type redirect struct {
	to    string
	until time.Time
}

// noteRedirect notes that an instance sent a request on to another.
func (s *Stages) recordRedirect(from, to membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.redirects[from.Name] = redirect{to.Name, time.Now().Add(redirectValidity)}
}

// redirected returns the live member that an instance last sent requests on to, if it
// did so lately and that one answers; mu is held.
func (s *Stages) lookUpRedirect(now time.Time, view *membership.View, name string) (membership.Member, bool) {
	r, ok := s.redirects[name]
	if !ok {
		return membership.Member{}, false
	}
	m, known := view.Find(r.to)
	if !now.Before(r.until) || !known || !m.Live() || s.isAvoided(now, r.to) {
		delete(s.redirects, name)
		return membership.Member{}, false
	}
	return m, true
}
