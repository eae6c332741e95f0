package soak

import (
	"fmt"
	"net/http"
	"time"
)

// Losses counts what planned work cost callers.
type Losses struct {
	// Refused counts the requests that were refused and had not run.
	Refused int
	// Crossed counts the requests that were sent while the instance closed the idle
	// connection, Unaccepted those on a connection that the instance may never have accepted.
	// None of these requests reached a target.
	Crossed, Unaccepted int
	// StopEnded counts the requests with a paused target that were ended at the end of their
	// instance's stop.
	StopEnded int
	// Overdue counts the requests that were ended at their deadline, by a response that says
	// so or in the middle of one.
	Overdue int
}

const (
	// crossingTime is how long after its first byte a request may find its connection closed
	// and count as one that crossed the close. On loopback this takes far less than a
	// millisecond; a loaded machine needs more.
	crossingTime = 10 * time.Millisecond
	// deadlineTolerance is how long before its deadline, counted from its last byte, a request
	// may be given up: the deadline counts from the head, and a part may be sent later.
	deadlineTolerance = maxSplitPause + 100*time.Millisecond
	// maxCrossedShare is the share of requests that may cross a close or not be accepted.
	// crossedAllowance is added for runs that are too short for the share to be meaningful.
	maxCrossedShare  = 0.003
	crossedAllowance = 2
	// A refusal must leave time to try another instance. At the end of the grace the instance
	// ends the remaining requests, so a refusal may not come later than refusalReserve before
	// that end, unless the request was sent at most freshRequestAge before the refusal.
	refusalReserve  = 700 * time.Millisecond
	freshRequestAge = time.Second
	// minServedSharePlanned is the least share of requests served while instances are stopped
	// in turn.
	minServedSharePlanned = 0.5
)

// checkPlanned checks what planned work cost callers: each request whose bytes were sent must
// have a complete response or a true refusal.
func (tb *testbed) checkPlanned(all []exchange, log targetLog) Losses {
	var losses Losses
	served := 0
	for i := range all {
		x := &all[i]
		switch {
		case x.status == 0:
			tb.checkClosed(x, log, &losses)
		case x.overdue():
			losses.Overdue++
			tb.logf("overdue: %d, %s", x.status, tb.describe(x, log))
		case tb.endedByStop(x):
			losses.StopEnded++
			tb.logf("ended by a stop: %d, %s", x.status, tb.describe(x, log))
		case !x.complete:
			tb.reportLoss(x, log, "was cut in the middle of its answer")
		case x.status == http.StatusOK:
			served++
		case x.status == http.StatusServiceUnavailable:
			losses.Refused++
			tb.checkRefusal(x, log)
		default:
			tb.reportLoss(x, log, "was answered %d %q", x.status, x.body)
		}
	}
	few := crossedAllowance + int(maxCrossedShare*float64(len(all)))
	if losses.Crossed > few || losses.Unaccepted > few {
		tb.violation("of %d requests %d crossed the close of an idle connection and %d were not accepted, at most %d may",
			len(all), losses.Crossed, losses.Unaccepted, few)
	}
	if float64(served) < minServedSharePlanned*float64(len(all)) {
		tb.violation("%d of %d requests are served during planned work", served, len(all))
	}
	return losses
}

// overdue reports whether a request was given up at its deadline.
func (x *exchange) overdue() bool {
	gaveUp := !x.complete || x.status == http.StatusGatewayTimeout
	return gaveUp && x.fullySent && x.ended.Sub(x.lastByte) >= x.deadline-deadlineTolerance
}

// endedByStop reports whether a request that had waited for a paused target was ended at the end of its
// instance's stop, by a response that says so or in the middle of one.
func (tb *testbed) endedByStop(x *exchange) bool {
	gaveUp := !x.complete || x.status == http.StatusGatewayTimeout
	since, stopping := x.history.sinceStop(x.ended)
	return gaveUp && stopping && since >= x.history.grace-exitMargin &&
		tb.pauses.any(span{x.firstByte, x.ended}, func(target string) bool { return serves(target, x.path) })
}

// checkClosed classifies a request without a response.
func (tb *testbed) checkClosed(x *exchange, log targetLog, losses *Losses) {
	between := span{x.firstByte, x.closeSeen}
	sinceStop, stopping := x.history.sinceStop(x.firstByte)
	switch {
	case timedOut(x.err):
		tb.reportLoss(x, log, "was not answered")
	case len(log.arrivals[x.id]) > 0:
		tb.reportLoss(x, log, "reached a target and was closed without an answer")
	case log.pieceCounts[x.id] > 0:
		tb.reportLoss(x, log, "was closed without an answer after %d pieces were made", log.pieceCounts[x.id])
	case x.answersBefore == 0 && stopping && sinceStop > balancerDelay:
		// The balancer has removed the instance by then; a new connection may wait in the
		// listen queue and never be accepted.
		losses.Unaccepted++
		tb.logf("not accepted: %s", tb.describe(x, log))
	case x.history.paused(between):
		tb.reportLoss(x, log, "lay in the socket of a paused instance and was closed without an answer")
	case x.closeSeen.Sub(x.firstByte) > crossingTime:
		tb.reportLoss(x, log, "was closed without an answer")
	default:
		losses.Crossed++
		tb.logf("crossed a close: %s", tb.describe(x, log))
	}
}

// checkRefusal checks that a refusal is true, has a Retry-After time, and comes early enough
// to try another instance.
func (tb *testbed) checkRefusal(x *exchange, log targetLog) {
	if countRuns(log.arrivals[x.id]) > 0 {
		tb.reportLoss(x, log, "ran and was refused")
	}
	if parseRetryAfter(x.retryAfter) <= 0 {
		tb.reportLoss(x, log, "was refused without a time to come back: %q", x.retryAfter)
	}
	since, stopping := x.history.sinceStop(x.ended)
	if stopping && since > x.history.grace-refusalReserve && x.ended.Sub(x.firstByte) > freshRequestAge {
		tb.reportLoss(x, log, "was refused at the end of the grace only")
	}
}

// reportLoss records the loss of a request as a violation.
func (tb *testbed) reportLoss(x *exchange, log targetLog, format string, args ...any) {
	tb.violation("%s %s %s, %s", x.path, x.id, fmt.Sprintf(format, args...), tb.describe(x, log))
}

// describe returns the timing of a request and the events of its instance.
func (tb *testbed) describe(x *exchange, log targetLog) string {
	after := func(t time.Time) time.Duration {
		if t.IsZero() {
			return -1 // didn't happen
		}
		return t.Sub(x.firstByte).Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("%v after its first byte, last byte sent after %v, close seen after %v, %d answers before, %d arrivals, %v: %s",
		after(x.ended), after(x.lastByte), after(x.closeSeen), x.answersBefore, len(log.arrivals[x.id]), x.err, x.history.describe(x.ended))
}
