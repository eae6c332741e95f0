package gather

import "time"

const (
	// leastKindShare is the part of the general share of requests that are done in
	// time below which no kind falls.
	leastKindShare = 0.25
	// shareHalf is how fast the shares follow the load: slower than
	// bursts of a few seconds, so that these don't lift what is due to yield.
	shareHalf = 5 * time.Second
	// leastAsked is the least number of recent requests that tells a share: of fewer, a
	// moment without targets would lift a kind that is not starved.
	leastAsked = 20
	// behindMargin is by how much a kind's share may be smaller than that of a less
	// urgent one: the noise of shares of some hundred requests.
	behindMargin = 0.02
	// maxUrgency bounds the urgencies that are told apart; the platform has ten.
	maxUrgency = 15
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

// shares tells which kinds of requests get less than they should: less than a less
// urgent kind, or less than their least share.
//
// The load it answers: client accounts that mostly pay for the same priority, in a
// burst. Ranked alike, the kind with the longest way through the stages loses, however
// urgent it is. Ranked strictly by urgency, the others starve. So a kind goes first just
// while it is behind.
type shares struct {
	all *record
	// kinds are by the name of the kind, levels by its urgency.
	kinds  map[string]*record
	levels map[int]*record
}

func newShares() shares {
	return shares{all: newRecord(), kinds: map[string]*record{}, levels: map[int]*record{}}
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

func (s *shares) level(urgency int) *record {
	urgency = min(max(urgency, 0), maxUrgency)
	l := s.levels[urgency]
	if l == nil {
		l = newRecord()
		s.levels[urgency] = l
	}
	return l
}

// behind tells whether a request's kind gets less than it should.
func (s *shares) behind(now time.Time, r *Request) bool {
	if s.kind(r.Route).share(now) < leastKindShare*s.all.share(now) {
		return true
	}
	own := s.level(r.KindPriority).share(now)
	for urgency, other := range s.levels {
		if urgency > r.KindPriority && own < other.share(now)-behindMargin {
			return true
		}
	}
	return false
}

// asked counts a request that came.
func (s *shares) asked(now time.Time, r *Request) {
	s.kind(r.Route).asked.add(now, 1)
	s.level(r.KindPriority).asked.add(now, 1)
	s.all.asked.add(now, 1)
}

// done counts a request whose stages are done in time.
func (s *shares) done(now time.Time, r *Request) {
	s.kind(r.Route).timely.add(now, 1)
	s.level(r.KindPriority).timely.add(now, 1)
	s.all.timely.add(now, 1)
}
