// Package drain decides what an instance that stops as planned still takes, and until
// when, so that each request that a caller has sent gets an answer or a true refusal
// before the process ends.
//
// What can't end in time is refused as early as that is known: its caller can then be
// served by another instance, where one that waits until the end can't any more.
package drain

import "time"

// Window is the time of a planned stop.
type Window struct {
	Start time.Time
	// Noticed is when the balancer has surely noticed.
	BalancerNoticed time.Time
	// Ends is when the last answer must have been given.
	End time.Time
}

// lateArrival is how long after the balancer has noticed requests are still taken whose
// end nobody can know: they may have been accepted just before. What comes later comes on
// kept connections, and its caller loses nothing by going elsewhere.
const arrivalGrace = 300 * time.Millisecond

// Request is what the decisions need to know of a request.
type Request struct {
	Arrived time.Time
	// Deadline is when its answer is due at the latest.
	Deadline time.Time
	// Streams tells that its answer may go on for longer than is known.
	Streaming bool
	// Usual is how long answers of its kind usually take once it has been sent.
	Expected time.Duration
}

// Takes tells whether a request that has just come is served. A plain one is if its answer
// is there for sure; until the balancer has noticed, any other too while its usual time
// is left: refused, its caller might be sent here again.
func (w Window) Accepts(r Request) bool {
	if !r.Streaming && !r.Deadline.After(w.End) {
		return true
	}
	return r.Arrived.Sub(w.BalancerNoticed) <= arrivalGrace && !r.Arrived.After(w.SendDeadline(r))
}

// SendBy is the last moment at which a request may be sent to its target. One that
// still waits for its stages then is refused.
//
// It guards against requests that wait for stages until the end of the grace: their
// connections were closed without a word.
func (w Window) SendDeadline(r Request) time.Time {
	usual := r.Expected
	if !r.Streaming {
		// Its deadline bounds it; without one it needs as long as it usually takes.
		usual = min(usual, r.Deadline.Sub(r.Arrived))
	}
	return w.End.Add(-min(usual, w.End.Sub(w.Start)))
}
