package drain

import "time"

// Usual estimates how long answers of one kind of request take, as the mean and the
// mean deviation from it, both decaying (V. Jacobson, "Congestion Avoidance and
// Control", SIGCOMM 1988).
type Usual struct {
	mean, deviation time.Duration
	known           bool
}

const (
	// Shares of an observation in the mean and in the deviation, as in the paper.
	meanShare      = 8
	deviationShare = 4
	// deviations are added to the mean. Sizes of answers are skewed: two deviations
	// cover nine of ten streams whose lengths are spread as those of callers' are.
	deviations = 2
	// Unobserved is taken for a kind of request without an answer yet: what streams of
	// a few hundred tokens take.
	Unobserved = 3 * time.Second
)

// Observe takes in how long an answer took.
func (u *Usual) Observe(taken time.Duration) {
	if !u.known {
		u.mean, u.deviation, u.known = taken, taken/2, true
		return
	}
	off := taken - u.mean
	u.mean += off / meanShare
	u.deviation += (off.Abs() - u.deviation) / deviationShare
}

// Time is how long an answer takes in most cases.
func (u *Usual) Time() time.Duration {
	if !u.known {
		return Unobserved
	}
	return u.mean + deviations*u.deviation
}
