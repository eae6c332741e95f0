package gather

import "time"

const (
	// minKindAttainment is the fraction of the overall attainment below which no kind of
	// request should fall.
	minKindAttainment = 0.25
	// attainmentHalfLife is the half-life of the request rates. It is longer than bursts of
	// a few seconds, so that these don't boost requests that are meant to yield.
	attainmentHalfLife = 5 * time.Second
	// minSubmitted is the number of recent requests that a ratio needs: with fewer, a
	// moment without targets would boost a kind that isn't starved.
	minSubmitted = 20
	// attainmentMargin is how far a kind's attainment may be below that of a less urgent
	// one: the noise in ratios of some hundred requests.
	attainmentMargin = 0.02
	// maxKindPriority bounds the kind priorities that are told apart; the platform has ten.
	maxKindPriority = 15
	// maxKinds bounds the kinds of requests that are remembered; beyond it all are
	// forgotten and learned again. A configuration names some hundred routes.
	maxKinds = 4096
)

// attainment counts the recently submitted requests and those whose stages were done in
// time to meet the objective.
type attainment struct {
	submitted, timely rate
}

func newAttainment() *attainment {
	return &attainment{submitted: rate{halfLife: attainmentHalfLife}, timely: rate{halfLife: attainmentHalfLife}}
}

// ratio returns the fraction of the requests that was done in time.
func (a *attainment) ratio(now time.Time) float64 {
	a.submitted.decay(now)
	a.timely.decay(now)
	if a.submitted.count < minSubmitted {
		return 1
	}
	return a.timely.count / a.submitted.count
}

// attainments finds out which kinds of requests are underserved: their attainment is lower
// than that of a less urgent kind, or below their minimum.
//
// It is designed for bursts in which most client accounts pay for the same priority. Ranked
// equally, the kind with the longest chain of stages loses, however urgent it is. Ranked
// strictly by urgency, the other kinds starve. So a kind is boosted only while it is
// underserved.
type attainments struct {
	overall *attainment
	// byRoute has an entry for each kind of request, byPriority one for each kind priority.
	byRoute    map[string]*attainment
	byPriority map[int]*attainment
}

func newAttainments() attainments {
	return attainments{overall: newAttainment(), byRoute: map[string]*attainment{}, byPriority: map[int]*attainment{}}
}

func (a *attainments) ofRoute(route string) *attainment {
	k := a.byRoute[route]
	if k == nil {
		if len(a.byRoute) >= maxKinds {
			clear(a.byRoute)
		}
		k = newAttainment()
		a.byRoute[route] = k
	}
	return k
}

func (a *attainments) ofPriority(priority int) *attainment {
	priority = min(max(priority, 0), maxKindPriority)
	l := a.byPriority[priority]
	if l == nil {
		l = newAttainment()
		a.byPriority[priority] = l
	}
	return l
}

// underserved reports whether the request's kind is served less than it should be.
func (a *attainments) underserved(now time.Time, r *Request) bool {
	if a.ofRoute(r.Route).ratio(now) < minKindAttainment*a.overall.ratio(now) {
		return true
	}
	own := a.ofPriority(r.KindPriority).ratio(now)
	for priority, other := range a.byPriority {
		if priority > r.KindPriority && own < other.ratio(now)-attainmentMargin {
			return true
		}
	}
	return false
}

// countSubmitted counts a submitted request.
func (a *attainments) countSubmitted(now time.Time, r *Request) {
	a.ofRoute(r.Route).submitted.add(now, 1)
	a.ofPriority(r.KindPriority).submitted.add(now, 1)
	a.overall.submitted.add(now, 1)
}

// countTimely counts a request whose stages are done in time to meet its objective.
func (a *attainments) countTimely(now time.Time, r *Request) {
	a.ofRoute(r.Route).timely.add(now, 1)
	a.ofPriority(r.KindPriority).timely.add(now, 1)
	a.overall.timely.add(now, 1)
}
