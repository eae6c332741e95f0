package soak

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/platform/standin"
)

// earlyTolerance is how long before its deadline, as the caller measures it, a request may be given up.
const earlyTolerance = 100 * time.Millisecond

// exitMargin is the part of the grace that a process keeps for its exit: requests in flight end
// that long before the end of the grace.
const exitMargin = 600 * time.Millisecond

// harmlessFaults are the faults that break no connection and send nothing false. A request that met
// only these must not fail.
var harmlessFaults = []standin.Fault{standin.NoFault, standin.Full, standin.Silent, standin.InputsMissing}

// targetPeriod is a period in which something was done to a target.
type targetPeriod struct {
	target string
	span
}

// periodLog records what was done to targets, and when.
type periodLog struct {
	mu      sync.Mutex
	periods []targetPeriod
}

// begin records a period that lasts until the returned function is first called.
func (l *periodLog) begin(targets ...string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first, now := len(l.periods), time.Now()
	for _, target := range targets {
		l.periods = append(l.periods, targetPeriod{target, span{from: now}})
	}
	last := len(l.periods)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for i := first; i < last; i++ {
			if l.periods[i].to.IsZero() {
				l.periods[i].to = time.Now()
			}
		}
	}
}

// any reports whether something was done, in a span of time, to a target that the function accepts.
func (l *periodLog) any(s span, accepts func(target string) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.periods, func(p targetPeriod) bool { return accepts(p.target) && p.overlaps(s) })
}

// checkEndings checks that no request failed, and no response that had begun ended, for the silence
// of targets alone: only for a broken connection or false bytes of a target, at its own time, or at
// the end of its instance's stop.
func (tb *testbed) checkEndings(all []callResult, log targetLog) {
	ended, broke := 0, 0
	for _, a := range all {
		arrivals := log.arrivals[a.id]
		if !a.failed(arrivals) || a.left || a.ended.Sub(a.began) >= cmp.Or(a.deadline, requestDeadline)-earlyTolerance {
			continue
		}
		switch {
		case tb.targetBroke(a, arrivals):
			broke++
		case tb.instanceEnded(a):
			ended++
		default:
			tb.violation("%s %s failed with status %d, complete: %v, after %v at %s (%s), although targets were only silent: %q, arrivals %s, faults %v", a.path, a.id, a.status, a.complete,
				a.ended.Sub(a.began).Round(time.Millisecond), a.instance, a.ended.UTC().Format("15:04:05.000"), a.body, describeArrivals(a, arrivals), tb.injector.injectedInto(a.id))
		}
	}
	tb.logf("failed before their time for their targets: %d, for an instance that ended: %d", broke, ended)
}

// failed reports whether a response ended early, or there is none although the request was sent to
// a target.
func (a *callResult) failed(arrivals []standin.Arrival) bool {
	switch a.status {
	case http.StatusOK:
		return !a.complete
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return true
	case 0:
		return len(arrivals) > 0
	default:
		return false
	}
}

// instanceEnded reports whether an instance's process ended, or came to the end of its planned stop,
// while a request was in progress. Another instance may have held the connection to the target.
func (tb *testbed) instanceEnded(a callResult) bool {
	for _, in := range tb.instances {
		for _, h := range in.processes() {
			if h.endedIn(span{a.began, a.ended}) {
				return true
			}
		}
	}
	return false
}

// endedIn reports whether the process was killed, or came to the end of its planned stop, in a span.
func (h *processHistory) endedIn(s span) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.killed && !h.exitedAt.Before(s.from) && !h.launchedAt.After(s.to) {
		return h.killedAt.Before(s.to)
	}
	return !h.stopBeganAt.IsZero() && !h.stopBeganAt.Add(h.grace-exitMargin).After(s.to) && (h.exitedAt.IsZero() || !h.exitedAt.Before(s.from))
}

// targetBroke reports whether a target of a request broke its connection or sent false bytes.
// For a response that had begun only the targets count that the request reached.
func (tb *testbed) targetBroke(a callResult, arrivals []standin.Arrival) bool {
	for _, f := range tb.injector.injectedInto(a.id) {
		if !slices.Contains(harmlessFaults, f) {
			return true
		}
	}
	begun := a.status == http.StatusOK
	return tb.breaks.any(span{a.began, a.ended}, func(target string) bool {
		if begun {
			return slices.ContainsFunc(arrivals, func(r standin.Arrival) bool { return r.Target == target })
		}
		return serves(target, a.path)
	})
}

// serves reports whether a target may take part in requests of a path.
func serves(target, path string) bool {
	service, _, _ := strings.Cut(target, "-")
	switch service {
	case "engine":
		return strings.HasPrefix(path, "/stream")
	case "stage":
		return strings.HasPrefix(path, "/stream-staged")
	default:
		return !strings.HasPrefix(path, "/stream")
	}
}

// describeArrivals lists the targets that a request reached, relative to its start.
func describeArrivals(a callResult, arrivals []standin.Arrival) string {
	var text []string
	for _, r := range arrivals {
		text = append(text, r.Target+" behind "+r.ResumesAfter()+" at "+r.HostReceivedAt.Sub(a.began).Round(time.Millisecond).String()+
			", read at "+r.ReceivedAt.Sub(a.began).Round(time.Millisecond).String())
	}
	return "[" + strings.Join(text, "; ") + "]"
}
