package deadline

import (
	"math"
	"time"
)

// Remaining is what is known of one stage that has not finished.
type Remaining struct {
	// Stage is the index of the stage in its pipeline.
	Stage int
	// After lists the stages whose outputs it needs; those not among the
	// remaining ones count as finished.
	After []int
	// P50 and P95 are quantiles of its time without waiting.
	P50, P95 time.Duration
	// Wait is how long it is expected to queue before it starts.
	Wait time.Duration
	// Elapsed is how long it has been running already.
	Elapsed time.Duration
}

// Share is one stage's part of what is left of a deadline.
type Share struct {
	Stage int
	// Budget is the time the stage may take, waiting included.
	Budget time.Duration
	// Due is when the stage should have finished.
	Due time.Time
	// LatestStart is the last moment at which starting the stage is of use:
	// later, even typical times of it and of what follows end past the
	// deadline.
	LatestStart time.Time
}

// Plan splits what is left until deadline over the remaining stages, which are
// in an order where each stands behind those it needs. A stage gets what is
// left in proportion to its weight on the longest path through it, so no path's
// shares exceed what is left, and a stage beside the critical path gets the
// slack of its own path. It is called again after each stage.
func Plan(now, deadline time.Time, stages []Remaining) []Share {
	paths := measure(stages, weightP95)
	typical := measure(stages, weightP50)
	left := max(deadline.Sub(now), 0)
	shares := make([]Share, len(stages))
	for i, s := range stages {
		through := paths.before[i] + paths.from[i]
		budget := time.Duration(float64(left) * float64(weightP95(s)) / float64(through))
		start := now
		for _, j := range predecessors(stages, i) {
			start = later(start, shares[j].Due)
		}
		shares[i] = Share{
			Stage:       s.Stage,
			Budget:      budget,
			Due:         start.Add(budget),
			LatestStart: deadline.Add(-(typical.from[i] - s.Wait)),
		}
	}
	return shares
}

// LatestStart returns the last moment at which starting the pipeline's
// remaining stages is of use, typical times and waits assumed.
func LatestStart(deadline time.Time, stages []Remaining) time.Time {
	return deadline.Add(-measure(stages, weightP50).longest())
}

// minConfidence is the least confidence that still counts as "can make it":
// work is refused only when it is almost sure to be late, since a refusal of
// what would have made it costs as much as a late answer.
const minConfidence = 0.05

// CanMake tells whether the remaining stages can end by the deadline, and the
// confidence, 0 to 1, that they do. The times along the longest path are summed
// as log-normal variables (Fenton, "The Sum of Log-Normal Probability
// Distributions in Scatter Transmission Systems", 1960), the waits as constants.
func CanMake(now, deadline time.Time, stages []Remaining) (ok bool, confidence float64) {
	confidence = Confidence(deadline.Sub(now), stages)
	return confidence >= minConfidence, confidence
}

// Confidence is the probability, 0 to 1, that the remaining stages end within
// left.
func Confidence(left time.Duration, stages []Remaining) float64 {
	if len(stages) == 0 {
		return 1
	}
	var mean, variance, wait float64
	for _, i := range measure(stages, weightP50).critical(stages) {
		m, v := moments(stages[i])
		mean += m
		variance += v
		wait += float64(stages[i].Wait)
	}
	room := float64(left) - wait
	if room <= 0 {
		return 0
	}
	if variance == 0 {
		return boolToFloat(room >= mean)
	}
	sigma2 := math.Log1p(variance / (mean * mean))
	mu := math.Log(mean) - sigma2/2
	z := (math.Log(room) - mu) / math.Sqrt(sigma2)
	return 0.5 * math.Erfc(-z/math.Sqrt2)
}

// z95 is the 95th percentile of the standard normal distribution.
const z95 = 1.645

// minRemainingShare is the part of its median that a stage which ran past its
// median is still expected to take.
const minRemainingShare = 0.1

// moments returns mean and variance, in ns and ns², of a log-normal time with
// the stage's median and 95th percentile, less what has elapsed.
func moments(s Remaining) (mean, variance float64) {
	p50 := float64(max(s.P50, 1))
	p95 := float64(max(s.P95, s.P50, 1))
	sigma := math.Log(p95/p50) / z95
	whole := p50 * math.Exp(sigma*sigma/2)
	variance = math.Expm1(sigma*sigma) * whole * whole
	mean = max(whole-float64(s.Elapsed), minRemainingShare*p50)
	return mean, variance
}

func weightP50(s Remaining) time.Duration { return weight(s, s.P50) }

func weightP95(s Remaining) time.Duration { return weight(s, max(s.P95, s.P50)) }

func weight(s Remaining, quantile time.Duration) time.Duration {
	rest := max(quantile-s.Elapsed, time.Duration(minRemainingShare*float64(s.P50)), 1)
	return s.Wait + rest
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
