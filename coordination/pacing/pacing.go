// Package pacing limits the requests that one target receives in any second, from all instances
// together.
//
// A cold target crashes under a rate that a warm one bears, and may become cold at any moment.
// What is reported about it arrives late, so the limit applies to every target of a service whose
// configuration has such a rate, whether it is known to be cold or not. It is far above a
// target's usual load.
//
// Requests are sent by many instances, but each send needs a grant of the holder of the stage
// queue. A holder grants at a pace that uses a share of the limit, so that the limit holds while
// two instances consider themselves the holder, or one has just taken over from another. A holder
// that has just begun uses a smaller share: its predecessor may have had one itself.
//
// A target may also name a limit itself, in its responses. The pace for that spreads the grants
// evenly.
//
// The package is pure: time is an argument.
package pacing

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// share and newHolderShare are the parts of the limit that one holder and one that has just
	// begun use. Two holders stay within the limit, and so does one with two that have just
	// begun.
	share          = 1.0 / 2
	newHolderShare = 1.0 / 4
	// newHolderPeriod is how long a holder uses newHolderShare, and the time without a grant
	// after which it counts as new again. The grants of those before it have been used by then,
	// unless they were for a time far ahead.
	newHolderPeriod = 3 * time.Second
	// GrantValidity is how long after its time a grant may be used. A later send would fall into
	// a second whose grants are used as well.
	GrantValidity = 100 * time.Millisecond
	// maxLogged bounds the grants that are remembered for each target.
	maxLogged = 64
)

// A target that names a limit tolerates, in any rateWindow, rateOverage times the requests that
// the limit allows, and rateSlack more.
const (
	rateWindow  = 4 * time.Second
	rateOverage = 1.5
	rateSlack   = 5.0
	// maxRateInterval is the longest interval between two grants of a holder. A target that
	// names a limit near zero still gets a request from time to time, whose response shows
	// whether the limit has ended.
	maxRateInterval = 4 * time.Second
	// newHolderSlowdown is the factor by which a holder that has just begun grants such sends
	// more slowly.
	newHolderSlowdown = 2
)

// Limits are the operators' limits for the requests to a cold target in any second: a multiple of
// the rate that it bears, plus a fixed number.
type Limits struct {
	Overage, Slack float64
}

// Limit returns the limit for a target that bears a rate when cold, in requests a second. It is 0,
// meaning no limit, if the rate is 0.
func (l Limits) Limit(coldRate float64) float64 {
	if coldRate <= 0 {
		return 0
	}
	return coldRate*l.Overage + l.Slack
}

// Pace is the pace at which one holder grants sends to one target: at most a number within any
// span of time. The zero Pace is unlimited.
type Pace struct {
	most int
	// mostOfNew is the number while the holder has just begun.
	mostOfNew int
	// span is the span of time, and spanOfNew that while the holder has just begun.
	span, spanOfNew time.Duration
}

// ForLimit returns the pace of one holder for a limit, in requests in any second; 0 means no limit.
//
// The grants that are used in a second are those of the second and of GrantValidity before it. A
// limit of less than two can't be kept by two holders, since each grants one request, and one of
// less than four not by two that have just begun beside another.
func ForLimit(limit float64) Pace {
	if limit <= 0 {
		return Pace{}
	}
	most := max(int(limit*share), 1)
	// A long span with many grants is divided into equal ones, so that few need be remembered.
	parts := (most + maxLogged - 1) / maxLogged
	span := (time.Second + GrantValidity) / time.Duration(parts)
	return Pace{most: most / parts, mostOfNew: max(int(limit*newHolderShare)/parts, 1), span: span, spanOfNew: span}
}

// ForRate returns the pace of one holder for a target that names a limit, in requests a second
// from all instances together.
//
// The interval between two grants is that of the limit or, if that is longer, the one at which two
// holders together stay within what the target tolerates.
func ForRate(perSecond float64) Pace {
	interval := maxRateInterval
	if perSecond > 0 {
		tolerated := (rateOverage*perSecond*rateWindow.Seconds() + rateSlack) / 2
		forTwo := (rateWindow + GrantValidity).Seconds() / (tolerated - 1)
		seconds := max(1/perSecond, forTwo)
		if seconds < maxRateInterval.Seconds() {
			interval = time.Duration(seconds * float64(time.Second))
		}
	}
	return Pace{most: 1, mostOfNew: 1, span: interval, spanOfNew: newHolderSlowdown * interval}
}

// maxGrantAhead limits how far ahead a send to a target that names a limit is granted to a request
// of the most urgent priority.
const maxGrantAhead = 2 * time.Second

// GrantHorizon returns how far ahead a send to a target that names a limit is granted to a request
// of a priority, of which 0 is the most urgent. It is shorter for less urgent ones: they get the
// grants that the more urgent ones leave, and can't use up those of the next seconds.
func GrantHorizon(priority int) time.Duration {
	return maxGrantAhead / time.Duration(1+max(priority, 0))
}

// Rate returns the requests a second that the pace allows; infinite if it is unlimited.
func (p Pace) Rate() float64 {
	if p.Unlimited() || p.span == 0 {
		return math.Inf(1)
	}
	return float64(p.most) / p.span.Seconds()
}

// Unlimited reports whether there is no limit.
func (p Pace) Unlimited() bool { return p.most == 0 }

// Holder is the state of one holder's grants to the targets of a service. It keeps the grants to
// a target, by name, also while the target may not be used: the target may soon be back.
type Holder struct {
	targets map[string]*target
	// since is when the holder began to grant sends, last when it last did.
	since, last time.Time
}

// Wait returns how long the next send to a target has to wait for all of its paces.
func (h *Holder) Wait(now time.Time, name string, paces ...Pace) time.Duration {
	if t := h.targets[name]; t != nil {
		return h.wait(now, t, paces)
	}
	return 0
}

// wait returns how long the next send to a target has to wait.
func (h *Holder) wait(now time.Time, t *target, paces []Pace) time.Duration {
	var longest time.Duration
	for _, p := range paces {
		if !p.Unlimited() {
			most, span := h.allowed(now, p)
			longest = max(longest, t.wait(now, most, span))
		}
	}
	return longest
}

// Grant grants a send to a target and returns how long it has to wait for all of its paces.
func (h *Holder) Grant(now time.Time, name string, paces ...Pace) time.Duration {
	if now.Sub(h.last) > newHolderPeriod {
		h.since = now
	}
	h.last = now
	if !slices.ContainsFunc(paces, func(p Pace) bool { return !p.Unlimited() }) {
		return 0
	}
	t := h.targets[name]
	if t == nil {
		if h.targets == nil {
			h.targets = map[string]*target{}
		}
		t = &target{}
		h.targets[name] = t
	}
	wait := h.wait(now, t, paces)
	t.longestSpan = time.Second
	for _, p := range paces {
		t.longestSpan = max(t.longestSpan, p.span, p.spanOfNew)
	}
	t.record(now.Add(wait))
	return wait
}

// Prune forgets the targets whose grants no longer count.
func (h *Holder) Prune(now time.Time) {
	maps.DeleteFunc(h.targets, func(_ string, t *target) bool {
		return now.Sub(t.granted[len(t.granted)-1]) > t.longestSpan+GrantValidity
	})
}

// allowed returns how many grants are allowed within which span of time.
func (h *Holder) allowed(now time.Time, p Pace) (most int, span time.Duration) {
	if now.Sub(h.since) < newHolderPeriod || now.Sub(h.last) > newHolderPeriod {
		return p.mostOfNew, p.spanOfNew
	}
	return p.most, p.span
}

// target is the state of the grants to one target.
type target struct {
	// granted has the times of the latest grants in ascending order; some may be in the future.
	granted []time.Time
	// longestSpan is the time for which the latest grant counts.
	longestSpan time.Duration
}

// wait returns how long the next send has to wait if most sends are allowed within a span.
func (t *target) wait(now time.Time, most int, span time.Duration) time.Duration {
	n := len(t.granted)
	if n == 0 {
		return 0
	}
	next := t.granted[n-1]
	if n >= most {
		if free := t.granted[n-most].Add(span); free.After(next) {
			next = free
		}
	}
	return max(next.Sub(now), 0)
}

// record records a send.
func (t *target) record(at time.Time) {
	if len(t.granted) >= maxLogged {
		t.granted = append(t.granted[:0], t.granted[len(t.granted)-maxLogged+1:]...)
	}
	t.granted = append(t.granted, at)
}
