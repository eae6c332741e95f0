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
	crossing = 10 * time.Millisecond
	// early is how long before the end of its time, counted from its last byte, a
	// request may be given up: its time counts from the head, and a part may come later.
	early = partedMost + 100*time.Millisecond
	// crossedShare of all requests may cross a close or come unaccepted; a few may
	// in a run that is too short for the share to say much.
	crossedShare = 0.003
	crossedFew   = 2
	// A request is refused early enough to be tried elsewhere: not within
	// lastOfGrace, in which the instance ends what is left, unless it came no longer
	// than freshRefusal before.
	lastOfGrace  = 700 * time.Millisecond
	freshRefusal = time.Second
	// servedShare is what a fleet serves at least while it is stopped in turn.
	servedShare = 0.5
)

// checkPlanned looks for what planned work took from callers: each request whose
// bytes were sent has a whole answer or a true refusal.
func (w *world) checkPlanned(all []exchange, s seen) Losses {
	var losses Losses
	served := 0
	for i := range all {
		x := &all[i]
		switch {
		case x.status == 0:
			w.checkClosed(x, s, &losses)
		case x.overdue():
			losses.Overdue++
			w.note("overdue: %d, %s", x.status, w.story(x, s))
		case !x.whole:
			w.lost(x, s, "was cut in the middle of its answer")
		case x.status == http.StatusOK:
			served++
		case x.status == http.StatusServiceUnavailable:
			losses.Refused++
			w.checkRefusal(x, s)
		default:
			w.lost(x, s, "was answered %d %q", x.status, x.body)
		}
	}
	few := crossedFew + int(crossedShare*float64(len(all)))
	if losses.Crossed > few || losses.Unaccepted > few {
		w.breach("of %d requests %d crossed the close of an idle connection and %d were not accepted, at most %d may",
			len(all), losses.Crossed, losses.Unaccepted, few)
	}
	if float64(served) < servedShare*float64(len(all)) {
		w.breach("%d of %d requests are served during planned work", served, len(all))
	}
	return losses
}

// overdue tells whether a request was given up when its time was over.
func (x *exchange) overdue() bool {
	gaveUp := !x.whole || x.status == http.StatusGatewayTimeout
	return gaveUp && x.sent && x.ended.Sub(x.last) >= x.wait-early
}

// checkClosed looks at a request without any answer.
func (w *world) checkClosed(x *exchange, s seen, losses *Losses) {
	between := span{x.first, x.closed}
	sinceStop, stopping := x.life.sinceStop(x.first)
	switch {
	case timedOut(x.err):
		w.lost(x, s, "was not answered")
	case len(s.arrived[x.id]) > 0:
		w.lost(x, s, "reached a target and was closed without an answer")
	case s.pieces[x.id] > 0:
		w.lost(x, s, "was closed without an answer after %d pieces were made", s.pieces[x.id])
	case x.kept == 0 && stopping && sinceStop > balancerDelay:
		// The balancer has looked away by then; what is connected may wait for an
		// accept that doesn't come.
		losses.Unaccepted++
		w.note("not accepted: %s", w.story(x, s))
	case x.life.paused(between):
		w.lost(x, s, "lay in the socket of a paused instance and was closed without an answer")
	case x.closed.Sub(x.first) > crossing:
		w.lost(x, s, "was closed without an answer")
	default:
		losses.Crossed++
		w.note("crossed a close: %s", w.story(x, s))
	}
}

// checkRefusal looks at a refusal: that it is true, says when to come back, and came
// in time for another instance.
func (w *world) checkRefusal(x *exchange, s seen) {
	if runs(s.arrived[x.id]) > 0 {
		w.lost(x, s, "ran and was refused")
	}
	if seconds(x.retryAfter) <= 0 {
		w.lost(x, s, "was refused without a time to come back: %q", x.retryAfter)
	}
	since, stopping := x.life.sinceStop(x.ended)
	if stopping && since > x.life.grace-lastOfGrace && x.ended.Sub(x.first) > freshRefusal {
		w.lost(x, s, "was refused at the end of the grace only")
	}
}

// lost notes what became of a request that planned work cost its caller.
func (w *world) lost(x *exchange, s seen, format string, args ...any) {
	w.breach("%s %s %s, %s", x.path, x.id, fmt.Sprintf(format, args...), w.story(x, s))
}

// story tells what happened to a request, and what was done to its instance.
func (w *world) story(x *exchange, s seen) string {
	after := func(t time.Time) time.Duration {
		if t.IsZero() {
			return -1 // it didn't come to that
		}
		return t.Sub(x.first).Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("%v after its first byte, last byte sent after %v, close seen after %v, %d answers before, %d arrivals, %v: %s",
		after(x.ended), after(x.last), after(x.closed), x.kept, len(s.arrived[x.id]), x.err, x.life.at(x.ended))
}
