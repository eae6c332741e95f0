package stages

import (
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/holder"
)

// takeoverValidity is how long an instance that took over a queue counts as its holder
// regardless of its view. Views were seen to differ for four seconds with 90 instances.
const takeoverValidity = 5 * time.Second

// redirectTo returns the address of the instance that this one considers the holder, if the
// requester is to ask that instance, or "" if this instance is not to redirect the request.
//
// Views differ for seconds while instances are restarted: some that have just started pick
// another holder than all others. Each instance that is asked would then start a queue of its
// own, and calls would find targets full. So an instance that wouldn't pick itself redirects
// its requesters. Each request is redirected once, so that two instances that consider each
// other the holder still serve it, and never to an instance that its requester avoids because
// it didn't respond.
func (s *Stages) redirectTo(now time.Time, request *redirectableRequest) string {
	if request.Redirected || s.queue.servesHere(now, request.Run.ID) {
		return ""
	}
	view := s.cluster.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen := holder.Pick(view, func(name string) bool {
		m, _ := view.Find(name)
		return s.isAvoided(now, name) || slices.Contains(request.Avoided, m.Address)
	})
	if chosen.Name == view.Self {
		return ""
	}
	return chosen.Address
}

// servesHere reports whether this instance decides about a request itself: it took over the
// queue with the request or recently, or knows which instance has the queue.
func (q *queue) servesHere(now time.Time, id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, unclaimed := q.unclaimed[id]
	return unclaimed || q.frozen || q.movedTo != "" || q.tookOverRecently(now)
}

// tookOverRecently reports whether this instance recently took over a queue. mu must be held.
func (q *queue) tookOverRecently(now time.Time) bool {
	return !q.tookOverAt.IsZero() && now.Sub(q.tookOverAt) < takeoverValidity
}

// isRecentHolder reports whether this instance recently took over a queue and still has it.
func (q *queue) isRecentHolder(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.movedTo == "" && q.tookOverRecently(now)
}

// avoidedAddresses returns the addresses of the avoided instances.
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
