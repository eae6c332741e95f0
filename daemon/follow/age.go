package follow

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/watching"
)

// TargetsAge returns the age of this instance's knowledge of the targets, as determined from the
// store's responses and the reports of other instances. It is 0 before the first response.
func (f *Follower) TargetsAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Age(time.Now(), watching.Targets)
}

// recordAges updates the metrics of the ages; mu is held.
func (f *Follower) recordAges(now time.Time) {
	for _, part := range f.tracker.Parts() {
		scope := f.scope.Tagged(map[string]string{"kind": string(part)})
		scope.Gauge("known_age").Update(f.tracker.Age(now, part).Seconds())
	}
}
