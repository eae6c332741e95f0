package soak

import (
	"slices"
	"strconv"
	"time"

	"github.com/ivyhollow/ivyhollow/platform/standin"
)

const (
	// limitedTarget is the target that names a limit during planned work, and namedLimit the
	// limit in requests a second from all instances together.
	limitedTarget = "plain-1"
	namedLimit    = 1.0
	// limitNotice is the time from its first response with the limit until it holds.
	limitNotice = 3 * time.Second
	// limitWindow is the time in which requests are counted, limitOverage and limitSlack how
	// far they may exceed what the limit allows in it.
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5.0
	// arrivalMargin is the time in which a request's body is read after its header has arrived.
	arrivalMargin = 50 * time.Millisecond
)

// nameLimit makes a target name a limit until the given time, and checks that it gets no more.
func (tb *testbed) nameLimit(until time.Time) {
	target, _ := tb.target(limitedTarget)
	tb.logf("planned: %s names a limit of %v requests a second", limitedTarget, namedLimit)
	target.SetLimit(strconv.FormatFloat(namedLimit, 'g', -1, 64))
	holds := time.Now().Add(limitNotice)
	time.Sleep(time.Until(until))
	target.SetLimit("")
	times := slices.DeleteFunc(target.RequestTimes(), func(at time.Time) bool { return at.Before(holds) || at.After(until) })
	slices.SortFunc(times, time.Time.Compare)
	allowed := limitOverage*namedLimit*limitWindow.Seconds() + limitSlack
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= limitWindow {
			first++
		}
		if n := i - first + 1; float64(n) > allowed {
			tb.violation("%s got %d requests in %v, %v allowed", limitedTarget, n, limitWindow, allowed)
			tb.logArrivals(target, times[first], at)
			break
		}
	}
}

// logArrivals logs the requests that arrived at a target in a span of time, so that the instances'
// logs tell who sent them.
func (tb *testbed) logArrivals(target *standin.Target, from, to time.Time) {
	for _, a := range target.Arrivals() {
		if !a.ReceivedAt.Before(from) && !a.ReceivedAt.After(to.Add(arrivalMargin)) {
			tb.logf("at %s %s got %s", a.ReceivedAt.UTC().Format("15:04:05.000"), limitedTarget, a.ID)
		}
	}
}
