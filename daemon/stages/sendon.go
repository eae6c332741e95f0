package stages

import (
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/holder"
)

// takenFor is how long an instance that took a queue over counts as its holder
// whatever its view says: views were seen to differ for four seconds at 90 instances.
const takeoverValidity = 5 * time.Second

// sendOn returns the address of the instance that this one takes for the holder, if
// an asker is to ask there; "" if it is to be served here.
//
// The failure it guards against: views differ for seconds while instances are
// restarted, some that have just started pick another holder than all others, and
// each of those asked begins a queue of its own: calls find targets full. One that
// wouldn't pick itself sends its askers on. Each request is sent on once, so that two
// instances that take each other for the holder still serve it, and not to an instance
// that its asker found not to answer.
func (s *Stages) redirectTo(now time.Time, ask *redirectableRequest) string {
	if ask.Redirected || s.queue.servesHere(now, ask.Run.ID) {
		return ""
	}
	view := s.cluster.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen := holder.Pick(view, func(name string) bool {
		m, _ := view.Find(name)
		return s.isAvoided(now, name) || slices.Contains(ask.Avoided, m.Address)
	})
	if chosen.Name == view.Self {
		return ""
	}
	return chosen.Address
}

// keeps tells whether an owner answers for a request itself: it took its queue over,
// or knows where that is.
func (o *queue) servesHere(now time.Time, id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, taken := o.unclaimed[id]
	return taken || o.frozen || o.movedTo != "" || o.tookOverRecently(now)
}

// holds tells whether an owner took a queue over lately; mu is held.
func (o *queue) tookOverRecently(now time.Time) bool {
	return !o.tookOverAt.IsZero() && now.Sub(o.tookOverAt) < takeoverValidity
}

// tookLately tells whether an owner took a queue over lately.
func (o *queue) isRecentHolder(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.movedTo == "" && o.tookOverRecently(now)
}

// passed returns the addresses of the instances that are passed over.
func (s *Stages) avoidedAddresses(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []string
	for name := range s.avoidedUntil {
		if m, ok := s.cluster.View().Find(name); ok && s.isAvoided(now, name) {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}
