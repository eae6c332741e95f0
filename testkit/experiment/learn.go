package experiment

import "time"

// learner keeps the usual ratio of an attempt's latency to the idle time of its
// size, by stage: what an instance learns of its stages' times.
type latencyEstimator struct {
	ratio []float64
}

const smoothingFactor = 0.02

func newLatencyEstimator(stages int) *latencyEstimator {
	l := &latencyEstimator{ratio: make([]float64, stages)}
	for i := range l.ratio {
		l.ratio[i] = 1
	}
	return l
}

func (l *latencyEstimator) expected(stage int, units time.Duration) time.Duration {
	return time.Duration(l.ratio[stage] * float64(units))
}

func (l *latencyEstimator) observe(stage int, units, latency time.Duration) {
	if units <= 0 {
		return
	}
	ratio := min(float64(latency)/float64(units), 20)
	l.ratio[stage] += smoothingFactor * (ratio - l.ratio[stage])
}
