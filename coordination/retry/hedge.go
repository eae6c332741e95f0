package retry

import "time"

// stuckFactor is how many times the 95th percentile an attempt takes before it
// appears stuck.
const stuckFactor = 4

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
		p95 *= stuckFactor
	}
	return max(min(p95, remaining/2), 0)
}

// NextHedgeDelay returns after which delay a hedge is tried again that could not be
// sent, for example because the budget was used up; previous is the delay before it.
// It returns false once a second attempt would hardly end in time.
//
// Without it, a target that stops responding while hedges against slow ones use up
// the budget would hold its requests until their deadlines.
func NextHedgeDelay(previous, p95, remaining time.Duration) (time.Duration, bool) {
	if remaining/2 < p95 {
		return 0, false
	}
	return max(min(2*previous, remaining/2), minHedgeDelay), true
}

// minHedgeDelay bounds the rate at which a hedge is tried again.
const minHedgeDelay = 5 * time.Millisecond

// Stuck reports whether an attempt has taken so long that its target probably won't
// respond. A second attempt then replaces a failed one, and may be paid for as a
// retry.
func Stuck(p95, elapsed time.Duration) bool { return elapsed >= stuckFactor*p95 }
