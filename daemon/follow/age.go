package follow

import "time"

// TargetsAge returns how old this instance's knowledge of the targets is: the time since
// the store last answered about them. It is 0 before the first answer.
func (f *Follower) TargetsAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ageOf(time.Now(), f.options.Source.TargetKind)
}

// ageOf returns the time since the store last answered about a kind; mu is held.
func (f *Follower) ageOf(now time.Time, kind string) time.Duration {
	known, ok := f.known[kind]
	if !ok {
		return 0
	}
	return now.Sub(known)
}

// measureAges tells the ages of what is known; mu is held.
func (f *Follower) measureAges(now time.Time) {
	for kind := range f.known {
		scope := f.scope.Tagged(map[string]string{"kind": f.part(kind)})
		scope.Gauge("known_age").Update(f.ageOf(now, kind).Seconds())
	}
}

// part names what the objects of a kind are, whatever the platform calls them.
func (f *Follower) part(kind string) string {
	if kind == f.options.Source.TargetKind {
		return "targets"
	}
	return "configuration"
}
