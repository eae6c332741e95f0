package drain

import "time"

// DurationEstimate estimates how long responses of one kind of request take, from the decaying
// mean and mean deviation (V. Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988).
type DurationEstimate struct {
	mean, deviation time.Duration
	observed        bool
}

const (
	// Inverse weights of an observation in the mean and in the deviation, as in the paper.
	meanDivisor      = 8
	deviationDivisor = 4
	// deviationFactor is the number of deviations that are added to the mean. Response lengths
	// are skewed: for the distribution of lengths in callers' streams, two deviations cover
	// nine of ten streams.
	deviationFactor = 2
	// DefaultDuration applies to a kind of request without a response yet. It is the duration
	// of streams of a few hundred tokens.
	DefaultDuration = 3 * time.Second
)

// Observe adds the duration of a response.
func (e *DurationEstimate) Observe(duration time.Duration) {
	if !e.observed {
		e.mean, e.deviation, e.observed = duration, duration/2, true
		return
	}
	off := duration - e.mean
	e.mean += off / meanDivisor
	e.deviation += (off.Abs() - e.deviation) / deviationDivisor
}

// Value returns a duration that most responses don't exceed.
func (e *DurationEstimate) Value() time.Duration {
	if !e.observed {
		return DefaultDuration
	}
	return e.mean + deviationFactor*e.deviation
}
