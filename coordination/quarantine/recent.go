package quarantine

import "time"

// recent holds the requests that ended well lately, in two generations: what is in the
// older one ended between one and two spans ago at most.
type recent struct {
	span            time.Duration
	most            int
	current, before map[Digest]struct{}
	began           time.Time
}

func newRecent(span time.Duration, most int) recent {
	return recent{span: span, most: most, current: map[Digest]struct{}{}}
}

// add notes that a request ended well. Beyond the bound it is left out: it will end well
// again if it comes often.
func (r *recent) add(now time.Time, digest Digest) {
	r.turn(now)
	if len(r.current) < r.most {
		r.current[digest] = struct{}{}
	}
}

// has tells whether a request ended well lately.
func (r *recent) has(now time.Time, digest Digest) bool {
	r.turn(now)
	_, current := r.current[digest]
	_, before := r.before[digest]
	return current || before
}

// turn begins a new generation once the current one is a span old.
func (r *recent) turn(now time.Time) {
	age := now.Sub(r.began)
	if age < r.span {
		return
	}
	r.before = r.current
	if age >= 2*r.span {
		r.before = nil
	}
	r.current, r.began = map[Digest]struct{}{}, now
}
