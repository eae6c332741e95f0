package deadline

import (
	"math"
	"time"
)

// z95 is the 95th percentile of the standard normal distribution.
const z95 = 1.645

// minRemainingFraction is the fraction of its median time that a stage is expected to
// still take, however long it has been running.
const minRemainingFraction = 0.1

// chainTime is the estimated time of a chain of stages: a random part with its mean in ns
// and variance in ns², and a constant wait in ns.
type chainTime struct {
	mean, variance, wait float64
}

func (c chainTime) total() float64 { return c.mean + c.wait }

func (c chainTime) plus(other chainTime) chainTime {
	return chainTime{c.mean + other.mean, c.variance + other.variance, c.wait + other.wait}
}

// logNormal returns the parameters of the log-normal distribution with the mean and
// variance of the random part. A sum of log-normal variables is close to log-normal
// (Fenton: "The Sum of Log-Normal Probability Distributions in Scatter Transmission
// Systems", 1960).
func (c chainTime) logNormal() (mu, sigma float64) {
	sigma2 := math.Log1p(c.variance / (c.mean * c.mean))
	return math.Log(c.mean) - sigma2/2, math.Sqrt(sigma2)
}

// probabilityWithin returns the probability that the chain ends within remaining.
func (c chainTime) probabilityWithin(remaining time.Duration) float64 {
	available := float64(remaining) - c.wait
	if available <= 0 {
		return 0
	}
	mu, sigma := c.logNormal()
	if sigma == 0 {
		sigma = math.SmallestNonzeroFloat32
	}
	return 0.5 * math.Erfc((mu-math.Log(available))/(sigma*math.Sqrt2))
}

// p95 returns the time within which the chain ends with a probability of 95%.
func (c chainTime) p95() time.Duration {
	mu, sigma := c.logNormal()
	return time.Duration(c.wait + math.Exp(mu+z95*sigma))
}

// stageTime returns the remaining time of one stage: log-normal with the given median and
// 95th percentile, less the elapsed time.
func stageTime(r *RemainingStage) chainTime {
	p50 := float64(max(r.P50, 1))
	p95 := float64(max(r.P95, r.P50, 1))
	sigma := math.Log(p95/p50) / z95
	mean := p50 * math.Exp(sigma*sigma/2)
	return chainTime{
		mean:     max(mean-float64(r.Elapsed), minRemainingFraction*p50),
		variance: math.Expm1(sigma*sigma) * mean * mean,
		wait:     float64(r.Wait),
	}
}

// longestChainsFrom returns, for each stage, the time of the longest chain, by mean, from
// the stage to the end of the pipeline, including the stage.
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

// longest returns the chain with the greatest mean total.
func longest(chains []chainTime) chainTime {
	var out chainTime
	for _, c := range chains {
		if c.total() > out.total() {
			out = c
		}
	}
	return out
}

// forEachPredecessor calls visit with the position of each remaining stage whose output
// stage i needs.
func forEachPredecessor(stages []RemainingStage, i int, visit func(j int)) {
	for _, index := range stages[i].After {
		for j := 0; j < i; j++ {
			if stages[j].Stage == index {
				visit(j)
			}
		}
	}
}
