package quarantine

import "time"

// recent holds the requests that ended well lately, in two generations: what is in the
// older one ended between one and two spans ago at most.
type recentSet struct {
	period            time.Duration
	maxSize           int
	current, previous map[Digest]struct{}
	rotated           time.Time
}

func newRecentSet(span time.Duration, most int) recentSet {
	return recentSet{period: span, maxSize: most, current: map[Digest]struct{}{}}
}

// add notes that a request ended well. Beyond the bound it is left out: it will end well
// again if it comes often.
func (r *recentSet) add(now time.Time, digest Digest) {
	r.rotate(now)
	if len(r.current) < r.maxSize {
		r.current[digest] = struct{}{}
	}
}

// has tells whether a request ended well lately.
func (r *recentSet) has(now time.Time, digest Digest) bool {
	r.rotate(now)
	_, current := r.current[digest]
	_, before := r.previous[digest]
	return current || before
}

// turn begins a new generation once the current one is a span old.
func (r *recentSet) rotate(now time.Time) {
	age := now.Sub(r.rotated)
	if age < r.period {
		return
	}
	r.previous = r.current
	if age >= 2*r.period {
		r.previous = nil
	}
	r.current, r.rotated = map[Digest]struct{}{}, now
}
