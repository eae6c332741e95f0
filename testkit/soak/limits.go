package soak

import (
	"slices"
	"strconv"
	"time"
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
			break
		}
	}
}
