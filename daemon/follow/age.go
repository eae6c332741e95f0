package follow

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/watching"
)

// TargetsAge returns how old this instance's knowledge of the targets is, by the store's
// answers and the word of other instances. It is 0 before the first answer.
func (f *Follower) TargetsAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Age(time.Now(), watching.Targets)
}

// measureAges tells the ages of what is known; mu is held.
func (f *Follower) recordAges(now time.Time) {
	for _, part := range []watching.Part{watching.Configuration, watching.Targets} {
		scope := f.scope.Tagged(map[string]string{"kind": string(part)})
		scope.Gauge("known_age").Update(f.tracker.Age(now, part).Seconds())
	}
}
