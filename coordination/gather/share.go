package gather

import "time"

const (
	// leastKindShare is the part of the general share of requests that are done in
	// time below which no kind falls. Without it the less urgent of two kinds got
	// 0.7 in 100 of its requests answered in time, the other 32, in half a minute in
	// which both asked for two and a half times what the targets do.
	leastKindShare = 0.25
	// shareHalf is how fast the shares follow the load: slower than
	// bursts of a few seconds, so that these don't lift what is due to yield.
	shareHalf = 5 * time.Second
	// leastAsked is the least number of recent requests that tells a share: of fewer, a
	// moment without targets would lift a kind that is not starved.
	leastAsked = 20
	// maxKinds bounds the kinds of requests that are remembered; beyond it all are
	// forgotten and learned again. A configuration names some hundred routes.
	maxKinds = 4096
)

// record counts the requests that came lately and those that were done in time.
type record struct {
	asked, timely rate
}

func newRecord() *record {
	return &record{asked: rate{half: shareHalf}, timely: rate{half: shareHalf}}
}

// share is the part of the requests that was done in time.
func (r *record) share(now time.Time) float64 {
	r.asked.decay(now)
	r.timely.decay(now)
	if r.asked.count < leastAsked {
		return 1
	}
	return r.timely.count / r.asked.count
}

// shares tells which kinds of requests get less than their least share.
type shares struct {
	all   *record
	kinds map[string]*record
}

func newShares() shares {
	return shares{all: newRecord(), kinds: map[string]*record{}}
}

func (s *shares) kind(route string) *record {
	k := s.kinds[route]
	if k == nil {
		if len(s.kinds) >= maxKinds {
			clear(s.kinds)
		}
		k = newRecord()
		s.kinds[route] = k
	}
	return k
}

// starved tells whether a kind of request is below its least share.
func (s *shares) starved(now time.Time, route string) bool {
	return s.kind(route).share(now) < leastKindShare*s.all.share(now)
}

// asked counts a request that came.
func (s *shares) asked(now time.Time, route string) {
	s.kind(route).asked.add(now, 1)
	s.all.asked.add(now, 1)
}

// done counts a request whose stages are done in time.
func (s *shares) done(now time.Time, route string) {
	s.kind(route).timely.add(now, 1)
	s.all.timely.add(now, 1)
}
