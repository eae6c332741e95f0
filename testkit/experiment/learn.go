package experiment

import "time"

// learner keeps the usual ratio of an attempt's latency to the idle time of its
// size, by stage: what an instance learns of its stages' times.
type learner struct {
	ratio []float64
}

const learnShare = 0.02

func newLearner(stages int) *learner {
	l := &learner{ratio: make([]float64, stages)}
	for i := range l.ratio {
		l.ratio[i] = 1
	}
	return l
}

func (l *learner) expected(stage int, units time.Duration) time.Duration {
	return time.Duration(l.ratio[stage] * float64(units))
}

func (l *learner) observe(stage int, units, latency time.Duration) {
	if units <= 0 {
		return
	}
	ratio := min(float64(latency)/float64(units), 20)
	l.ratio[stage] += learnShare * (ratio - l.ratio[stage])
}
