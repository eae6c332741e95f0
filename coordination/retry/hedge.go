package retry

import "time"

// rescueFactor is how many times its usual 95th percentile an attempt may take
// in a pool that weighs cost first before a second one is started.
const costHedgeFactor = 4

// HedgeAfter is how long the first attempt is left alone. A pool that weighs
// attainment first hedges the slowest of twenty; one that weighs cost first
// only rescues: a target that went silent would else hold the request until its
// deadline. Half of left, the time to the deadline, is always kept for the
// second attempt.
//
// The tail a hedge cuts is that of Dean and Barroso, "The Tail at Scale" (2013).
func HedgeDelay(p95, left time.Duration, attainmentFirst bool) time.Duration {
	if !attainmentFirst {
		p95 *= costHedgeFactor
	}
	return max(min(p95, left/2), 0)
}
