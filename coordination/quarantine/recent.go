package quarantine

import "time"

// recentSet holds the requests that ended well recently, in two generations. An
// entry expires after at least one and at most two periods.
type recentSet struct {
	period            time.Duration
	maxSize           int
	current, previous map[Digest]struct{}
	rotated           time.Time
}

func newRecentSet(period time.Duration, maxSize int) recentSet {
	return recentSet{period: period, maxSize: maxSize, current: map[Digest]struct{}{}}
}

// add records that a request ended well. It ignores the request if the current generation is
// full: a frequent request is added later.
func (r *recentSet) add(now time.Time, digest Digest) {
	r.rotate(now)
	if len(r.current) < r.maxSize {
		r.current[digest] = struct{}{}
	}
}

// has reports whether a request ended well recently.
func (r *recentSet) has(now time.Time, digest Digest) bool {
	r.rotate(now)
	_, current := r.current[digest]
	_, previous := r.previous[digest]
	return current || previous
}

// rotate starts a new generation if the current one is a period old.
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
