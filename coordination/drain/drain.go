// Package drain decides which requests an instance still accepts during a planned stop, and
// until when, so that each request receives a response or a definite refusal before the
// process ends.
//
// A request that can't end in time is refused as early as that is known: its caller can then
// be served by another instance, which is no longer possible at the end of the stop.
package drain

import "time"

// Window is the period of a planned stop.
type Window struct {
	Start time.Time
	// BalancerNoticed is when the balancer has certainly noticed the stop.
	BalancerNoticed time.Time
	// End is when the last response must be complete.
	End time.Time
}

// arrivalGrace is how long after BalancerNoticed requests of unknown duration are accepted, as
// the balancer may have accepted them just before. Later ones arrive on kept connections, and
// their callers lose nothing by going elsewhere.
const arrivalGrace = 300 * time.Millisecond

// Request is what the decisions depend on.
type Request struct {
	Arrived time.Time
	// Deadline is when its response is due.
	Deadline time.Time
	// Streaming is true if its response may take longer than is known in advance.
	Streaming bool
	// Expected is how long responses of its kind usually take once it has been sent.
	Expected time.Duration
}

// Accepts reports whether a request that has just arrived is served. A request that isn't
// streaming is served if its deadline isn't after End. Until arrivalGrace after
// BalancerNoticed, any other request is served too if its expected time is left: if it were
// refused, the balancer might send its caller to this instance again.
func (w Window) Accepts(r Request) bool {
	if !r.Streaming && !r.Deadline.After(w.End) {
		return true
	}
	return r.Arrived.Sub(w.BalancerNoticed) <= arrivalGrace && !r.Arrived.After(w.SendDeadline(r))
}

// SendDeadline returns the last time at which a request may be sent to its target. A request
// that still waits for its stages then is refused.
//
// Otherwise requests would wait for stages until the end of the grace period, and their
// connections would be closed without a response.
func (w Window) SendDeadline(r Request) time.Time {
	expected := r.Expected
	if !r.Streaming {
		// Its deadline limits it; if the request has none, the expected time applies.
		expected = min(expected, r.Deadline.Sub(r.Arrived))
	}
	return w.End.Add(-min(expected, w.End.Sub(w.Start)))
}
