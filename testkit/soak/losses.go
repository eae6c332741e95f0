package soak

import (
	"fmt"
	"net/http"
	"time"
)

// Losses counts what planned work cost callers.
type Losses struct {
	// Refused were told truly that they hadn't run.
	Refused int
	// Crossed met the close of an idle connection, and Unaccepted that of a
	// connection that the instance may never have accepted. Neither reached a target.
	Crossed, Unaccepted int
	// Overdue were ended, by an answer that says so or in the middle of one, when
	// their time was over.
	Overdue int
}

const (
	// crossing is how long after its first byte a request may see its connection
	// closed and count as one that crossed the close. On loopback that takes far
	// less than a millisecond, and a loaded machine some more.
	crossingTime = 10 * time.Millisecond
	// early is how long before the end of its time, counted from its last byte, a
	// request may be given up: its time counts from the head, and a part may come later.
	deadlineTolerance = maxSplitPause + 100*time.Millisecond
	// crossedShare of all requests may cross a close or come unaccepted; a few may
	// in a run that is too short for the share to say much.
	maxCrossedShare  = 0.003
	crossedAllowance = 2
	// A request is refused early enough to be tried elsewhere: not within
	// lastOfGrace, in which the instance ends what is left, unless it came no longer
	// than freshRefusal before.
	refusalReserve  = 700 * time.Millisecond
	freshRequestAge = time.Second
	// servedShare is what a fleet serves at least while it is stopped in turn.
	minServedSharePlanned = 0.5
)

// checkPlanned looks for what planned work took from callers: each request whose
// bytes were sent has a whole answer or a true refusal.
func (w *testbed) checkPlanned(all []exchange, s targetLog) Losses {
	var losses Losses
	served := 0
	for i := range all {
		x := &all[i]
		switch {
		case x.status == 0:
			w.checkClosed(x, s, &losses)
		case x.overdue():
			losses.Overdue++
			w.logf("overdue: %d, %s", x.status, w.describe(x, s))
		case !x.complete:
			w.reportLoss(x, s, "was cut in the middle of its answer")
		case x.status == http.StatusOK:
			served++
		case x.status == http.StatusServiceUnavailable:
			losses.Refused++
			w.checkRefusal(x, s)
		default:
			w.reportLoss(x, s, "was answered %d %q", x.status, x.body)
		}
	}
	few := crossedAllowance + int(maxCrossedShare*float64(len(all)))
	if losses.Crossed > few || losses.Unaccepted > few {
		w.violation("of %d requests %d crossed the close of an idle connection and %d were not accepted, at most %d may",
			len(all), losses.Crossed, losses.Unaccepted, few)
	}
	if float64(served) < minServedSharePlanned*float64(len(all)) {
		w.violation("%d of %d requests are served during planned work", served, len(all))
	}
	return losses
}

// overdue tells whether a request was given up when its time was over.
func (x *exchange) overdue() bool {
	gaveUp := !x.complete || x.status == http.StatusGatewayTimeout
	return gaveUp && x.fullySent && x.ended.Sub(x.lastByte) >= x.deadline-deadlineTolerance
}

// checkClosed looks at a request without any answer.
func (w *testbed) checkClosed(x *exchange, s targetLog, losses *Losses) {
	between := span{x.firstByte, x.closeSeen}
	sinceStop, stopping := x.history.sinceStop(x.firstByte)
	switch {
	case timedOut(x.err):
		w.reportLoss(x, s, "was not answered")
	case len(s.arrivals[x.id]) > 0:
		w.reportLoss(x, s, "reached a target and was closed without an answer")
	case s.pieceCounts[x.id] > 0:
		w.reportLoss(x, s, "was closed without an answer after %d pieces were made", s.pieceCounts[x.id])
	case x.answersBefore == 0 && stopping && sinceStop > balancerDelay:
		// The balancer has looked away by then; what is connected may wait for an
		// accept that doesn't come.
		losses.Unaccepted++
		w.logf("not accepted: %s", w.describe(x, s))
	case x.history.paused(between):
		w.reportLoss(x, s, "lay in the socket of a paused instance and was closed without an answer")
	case x.closeSeen.Sub(x.firstByte) > crossingTime:
		w.reportLoss(x, s, "was closed without an answer")
	default:
		losses.Crossed++
		w.logf("crossed a close: %s", w.describe(x, s))
	}
}

// checkRefusal looks at a refusal: that it is true, says when to come back, and came
// in time for another instance.
func (w *testbed) checkRefusal(x *exchange, s targetLog) {
	if countRuns(s.arrivals[x.id]) > 0 {
		w.reportLoss(x, s, "ran and was refused")
	}
	if parseRetryAfter(x.retryAfter) <= 0 {
		w.reportLoss(x, s, "was refused without a time to come back: %q", x.retryAfter)
	}
	since, stopping := x.history.sinceStop(x.ended)
	if stopping && since > x.history.grace-refusalReserve && x.ended.Sub(x.firstByte) > freshRequestAge {
		w.reportLoss(x, s, "was refused at the end of the grace only")
	}
}

// lost notes what became of a request that planned work cost its caller.
func (w *testbed) reportLoss(x *exchange, s targetLog, format string, args ...any) {
	w.violation("%s %s %s, %s", x.path, x.id, fmt.Sprintf(format, args...), w.describe(x, s))
}

// story tells what happened to a request, and what was done to its instance.
func (w *testbed) describe(x *exchange, s targetLog) string {
	after := func(t time.Time) time.Duration {
		if t.IsZero() {
			return -1 // it didn't come to that
		}
		return t.Sub(x.firstByte).Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("%v after its first byte, last byte sent after %v, close seen after %v, %d answers before, %d arrivals, %v: %s",
		after(x.ended), after(x.lastByte), after(x.closeSeen), x.answersBefore, len(s.arrivals[x.id]), x.err, x.history.describe(x.ended))
}
