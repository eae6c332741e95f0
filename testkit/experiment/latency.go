package experiment

import "time"

// latencyEstimator estimates the latency of an attempt: for each stage it keeps
// a moving average of the ratio of latency to idle time.
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

func (l *latencyEstimator) expected(stage int, idleTime time.Duration) time.Duration {
	return time.Duration(l.ratio[stage] * float64(idleTime))
}

func (l *latencyEstimator) observe(stage int, idleTime, latency time.Duration) {
	if idleTime <= 0 {
		return
	}
	ratio := min(float64(latency)/float64(idleTime), 20)
	l.ratio[stage] += smoothingFactor * (ratio - l.ratio[stage])
}
