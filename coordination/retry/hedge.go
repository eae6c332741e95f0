package retry

import "time"

// costHedgeFactor is how many times the 95th percentile an attempt may take in a
// pool with the cost objective before it is hedged.
const costHedgeFactor = 4

// HedgeDelay returns how long the first attempt runs before it is hedged. A pool
// with the attainment objective hedges the slowest 5 % of the attempts. One with
// the cost objective hedges only attempts that appear stuck: an unresponsive
// target would otherwise hold the request until its deadline. At least half of
// remaining, the time to the deadline, is left for the second attempt.
//
// For hedging against tail latency see Dean and Barroso, "The Tail at Scale"
// (2013).
func HedgeDelay(p95, remaining time.Duration, attainmentFirst bool) time.Duration {
	if !attainmentFirst {
		p95 *= costHedgeFactor
	}
	return max(min(p95, remaining/2), 0)
}
