package stages

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
)

// redirectValidity is how long a redirect to the holder of the queue is followed. While the
// views of instances differ, it may have been wrong.
const redirectValidity = 500 * time.Millisecond

// redirect is the instance to which another one redirected a request.
type redirect struct {
	to    string
	until time.Time
}

// recordRedirect records that an instance redirected a request to another.
func (s *Stages) recordRedirect(from, to membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.redirects[from.Name] = redirect{to.Name, time.Now().Add(redirectValidity)}
}

// lookUpRedirect returns the live member to which an instance redirected its latest request,
// if that was recent and the member isn't avoided. mu must be held.
func (s *Stages) lookUpRedirect(now time.Time, view *membership.View, name string) (membership.Member, bool) {
	m, ok := s.validRedirect(now, view, name)
	if !ok {
		delete(s.redirects, name)
	}
	return m, ok
}

// validRedirect is lookUpRedirect without the removal of what is over. mu must be held.
func (s *Stages) validRedirect(now time.Time, view *membership.View, name string) (membership.Member, bool) {
	r, ok := s.redirects[name]
	if !ok {
		return membership.Member{}, false
	}
	m, found := view.Find(r.to)
	if !now.Before(r.until) || !found || !m.Live() || s.avoids(now, r.to) {
		return membership.Member{}, false
	}
	return m, true
}
