package drain

import "time"

// Usual estimates how long answers of one kind of request take, as the mean and the
// mean deviation from it, both decaying (V. Jacobson, "Congestion Avoidance and
// Control", SIGCOMM 1988).
type DurationEstimate struct {
	mean, deviation time.Duration
	observed        bool
}

const (
	// Shares of an observation in the mean and in the deviation, as in the paper.
	meanDivisor      = 8
	deviationDivisor = 4
	// deviations are added to the mean. Sizes of answers are skewed: two deviations
	// cover nine of ten streams whose lengths are spread as those of callers' are.
	deviationFactor = 2
	// Unobserved is taken for a kind of request without an answer yet: what streams of
	// a few hundred tokens take.
	DefaultDuration = 3 * time.Second
)

// Observe takes in how long an answer took.
func (u *DurationEstimate) Observe(taken time.Duration) {
	if !u.observed {
		u.mean, u.deviation, u.observed = taken, taken/2, true
		return
	}
	off := taken - u.mean
	u.mean += off / meanDivisor
	u.deviation += (off.Abs() - u.deviation) / deviationDivisor
}

// Time is how long an answer takes in most cases.
func (u *DurationEstimate) Value() time.Duration {
	if !u.observed {
		return DefaultDuration
	}
	return u.mean + deviationFactor*u.deviation
}
