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
// The package is pure: time is an argument.
package pacing

import (
	"maps"
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
	span      time.Duration
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
	return Pace{
		most: most / parts, mostOfNew: max(int(limit*newHolderShare)/parts, 1),
		span: (time.Second + GrantValidity) / time.Duration(parts),
	}
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

// Wait returns how long the next send to a target has to wait.
func (h *Holder) Wait(now time.Time, name string, p Pace) time.Duration {
	if p.Unlimited() || h.targets[name] == nil {
		return 0
	}
	return h.targets[name].wait(now, h.most(now, p), p.span)
}

// Grant grants a send to a target and returns how long it has to wait.
func (h *Holder) Grant(now time.Time, name string, p Pace) time.Duration {
	if p.Unlimited() {
		return 0
	}
	if now.Sub(h.last) > newHolderPeriod {
		h.since = now
	}
	h.last = now
	t := h.targets[name]
	if t == nil {
		if h.targets == nil {
			h.targets = map[string]*target{}
		}
		t = &target{}
		h.targets[name] = t
	}
	return t.grant(now, h.most(now, p), p.span)
}

// Prune forgets the targets whose grants no longer count.
func (h *Holder) Prune(now time.Time) {
	maps.DeleteFunc(h.targets, func(_ string, t *target) bool {
		return now.Sub(t.granted[len(t.granted)-1]) > time.Second+GrantValidity
	})
}

// most returns how many grants are allowed within the span of a pace.
func (h *Holder) most(now time.Time, p Pace) int {
	if now.Sub(h.since) < newHolderPeriod || now.Sub(h.last) > newHolderPeriod {
		return p.mostOfNew
	}
	return p.most
}

// target is the state of the grants to one target.
type target struct {
	// granted has the times of the latest grants in ascending order; some may be in the future.
	granted []time.Time
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

// grant records a send and returns how long it has to wait.
func (t *target) grant(now time.Time, most int, span time.Duration) time.Duration {
	wait := t.wait(now, most, span)
	if len(t.granted) >= maxLogged {
		t.granted = append(t.granted[:0], t.granted[len(t.granted)-maxLogged+1:]...)
	}
	t.granted = append(t.granted, now.Add(wait))
	return wait
}
