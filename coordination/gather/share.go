package gather

import "time"

const (
	// leastKindShare is the part of the general share of requests that are done in
	// time below which no kind falls.
	minKindAttainment = 0.25
	// shareHalf is how fast the shares follow the load: slower than
	// bursts of a few seconds, so that these don't lift what is due to yield.
	attainmentHalfLife = 5 * time.Second
	// leastAsked is the least number of recent requests that tells a share: of fewer, a
	// moment without targets would lift a kind that is not starved.
	minSubmitted = 20
	// behindMargin is by how much a kind's share may be smaller than that of a less
	// urgent one: the noise of shares of some hundred requests.
	attainmentMargin = 0.02
	// maxUrgency bounds the urgencies that are told apart; the platform has ten.
	maxKindPriority = 15
	// maxKinds bounds the kinds of requests that are remembered; beyond it all are
	// forgotten and learned again. A configuration names some hundred routes.
	maxKinds = 4096
)

// record counts the requests that came lately and those that were done in time.
type attainment struct {
	submitted, timely rate
}

func newAttainment() *attainment {
	return &attainment{submitted: rate{halfLife: attainmentHalfLife}, timely: rate{halfLife: attainmentHalfLife}}
}

// share is the part of the requests that was done in time.
func (r *attainment) ratio(now time.Time) float64 {
	r.submitted.decay(now)
	r.timely.decay(now)
	if r.submitted.count < minSubmitted {
		return 1
	}
	return r.timely.count / r.submitted.count
}

// shares tells which kinds of requests get less than they should: less than a less
// urgent kind, or less than their least share.
//
// The load it answers: client accounts that mostly pay for the same priority, in a
// burst. Ranked alike, the kind with the longest way through the stages loses, however
// urgent it is. Ranked strictly by urgency, the others starve. So a kind goes first just
// while it is behind.
type attainments struct {
	overall *attainment
	// kinds are by the name of the kind, levels by its urgency.
	byRoute    map[string]*attainment
	byPriority map[int]*attainment
}

func newAttainments() attainments {
	return attainments{overall: newAttainment(), byRoute: map[string]*attainment{}, byPriority: map[int]*attainment{}}
}

func (s *attainments) ofRoute(route string) *attainment {
	k := s.byRoute[route]
	if k == nil {
		if len(s.byRoute) >= maxKinds {
			clear(s.byRoute)
		}
		k = newAttainment()
		s.byRoute[route] = k
	}
	return k
}

func (s *attainments) ofPriority(urgency int) *attainment {
	urgency = min(max(urgency, 0), maxKindPriority)
	l := s.byPriority[urgency]
	if l == nil {
		l = newAttainment()
		s.byPriority[urgency] = l
	}
	return l
}

// behind tells whether a request's kind gets less than it should.
func (s *attainments) underserved(now time.Time, r *Request) bool {
	if s.ofRoute(r.Route).ratio(now) < minKindAttainment*s.overall.ratio(now) {
		return true
	}
	own := s.ofPriority(r.KindPriority).ratio(now)
	for urgency, other := range s.byPriority {
		if urgency > r.KindPriority && own < other.ratio(now)-attainmentMargin {
			return true
		}
	}
	return false
}

// asked counts a request that came.
func (s *attainments) countSubmitted(now time.Time, r *Request) {
	s.ofRoute(r.Route).submitted.add(now, 1)
	s.ofPriority(r.KindPriority).submitted.add(now, 1)
	s.overall.submitted.add(now, 1)
}

// done counts a request whose stages are done in time.
func (s *attainments) countTimely(now time.Time, r *Request) {
	s.ofRoute(r.Route).timely.add(now, 1)
	s.ofPriority(r.KindPriority).timely.add(now, 1)
	s.overall.timely.add(now, 1)
}
