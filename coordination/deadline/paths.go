package deadline

import (
	"math"
	"time"
)

// z95 is the 95th percentile of the standard normal distribution.
const z95 = 1.645

// minRemainingShare is the part of its median that a stage which ran past its
// usual time is still expected to take.
const minRemainingFraction = 0.1

// span is the time of a chain of stages: a random part with mean and variance,
// in ns and ns², and a constant wait in ns.
type chainTime struct {
	mean, variance, wait float64
}

func (s chainTime) total() float64 { return s.mean + s.wait }

func (s chainTime) plus(t chainTime) chainTime {
	return chainTime{s.mean + t.mean, s.variance + t.variance, s.wait + t.wait}
}

// logNormal returns the parameters of the log-normal distribution with the
// span's mean and variance. A sum of log-normal variables is close to one
// (Fenton: "The Sum of Log-Normal Probability Distributions in Scatter
// Transmission Systems", 1960).
func (s chainTime) logNormal() (mu, sigma float64) {
	sigma2 := math.Log1p(s.variance / (s.mean * s.mean))
	return math.Log(s.mean) - sigma2/2, math.Sqrt(sigma2)
}

// within is the probability that the span ends within left.
func (s chainTime) probabilityWithin(left time.Duration) float64 {
	room := float64(left) - s.wait
	if room <= 0 {
		return 0
	}
	mu, sigma := s.logNormal()
	if sigma == 0 {
		sigma = math.SmallestNonzeroFloat32
	}
	return 0.5 * math.Erfc((mu-math.Log(room))/(sigma*math.Sqrt2))
}

// p95 is the time within which the span ends 95 times in 100.
func (s chainTime) p95() time.Duration {
	mu, sigma := s.logNormal()
	return time.Duration(s.wait + math.Exp(mu+z95*sigma))
}

// spanOf is the time of one stage: log-normal with its median and 95th
// percentile, less what has elapsed.
func stageTime(r *RemainingStage) chainTime {
	p50 := float64(max(r.P50, 1))
	p95 := float64(max(r.P95, r.P50, 1))
	sigma := math.Log(p95/p50) / z95
	whole := p50 * math.Exp(sigma*sigma/2)
	return chainTime{
		mean:     max(whole-float64(r.Elapsed), minRemainingFraction*p50),
		variance: math.Expm1(sigma*sigma) * whole * whole,
		wait:     float64(r.Wait),
	}
}

// tails returns, for each stage, the longest chain by its mean from the stage
// to the end of the pipeline, the stage included.
func longestChainsFrom(stages []RemainingStage) []chainTime {
	out := make([]chainTime, len(stages))
	for i := len(stages) - 1; i >= 0; i-- {
		out[i] = stageTime(&stages[i]).plus(out[i])
		forEachPredecessor(stages, i, func(j int) {
			if out[i].total() > out[j].total() {
				out[j] = out[i]
			}
		})
	}
	return out
}

// longest returns the longest of the chains.
func longest(chains []chainTime) chainTime {
	var out chainTime
	for _, c := range chains {
		if c.total() > out.total() {
			out = c
		}
	}
	return out
}

// forEachPredecessor visits the positions of the remaining stages that stage i
// needs.
func forEachPredecessor(stages []RemainingStage, i int, visit func(j int)) {
	for _, index := range stages[i].After {
		for j := 0; j < i; j++ {
			if stages[j].Stage == index {
				visit(j)
			}
		}
	}
}
