package drain

import "time"

// Usual estimates how long answers of one kind of request take, as the mean and the
// mean deviation from it, both decaying (V. Jacobson, "Congestion Avoidance and
// Control", SIGCOMM 1988).
type Usual struct {
	mean, deviation time.Duration
	longest         time.Duration
	observed        int
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
	// enough answers show how long the longest are: their sizes are bounded, and one in
	// twenty comes near the bound.
	enough = 24
	// longestDecay is the share, as a divisor, that the longest loses with each answer.
	longestDecay = 256
)

// Observe takes in how long an answer took.
func (u *Usual) Observe(taken time.Duration) {
	u.observed++
	u.longest = max(taken, u.longest-u.longest/longestDecay)
	if u.observed == 1 {
		u.mean, u.deviation = taken, taken/2
		return
	}
	off := taken - u.mean
	u.mean += off / meanShare
	u.deviation += (off.Abs() - u.deviation) / deviationShare
}

// Time is how long an answer takes in most cases.
func (u *Usual) Time() time.Duration {
	if u.observed == 0 {
		return Unobserved
	}
	return u.mean + deviations*u.deviation
}

// Longest is how long an answer takes at most, with a quarter to spare; false while too
// few are known.
func (u *Usual) Longest() (time.Duration, bool) {
	return u.longest + u.longest/4, u.observed >= enough
}
