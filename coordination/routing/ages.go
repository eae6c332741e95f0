package routing

import (
	"sync/atomic"
	"time"
)

// attemptAges tracks the mean age of this instance's attempts in flight at a target. It
// detects a slow target before the first slow response arrives; requests sent until
// then would all miss their deadline.
type attemptAges struct {
	count           atomic.Int64
	startSum        atomic.Int64 // sum of the start times, in ms since startBase
	expectedLatency atomic.Int64 // moving average, in ns; 0 if unknown
}

// startBase keeps the sums of start times small.
var startBase = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()

func millisSinceBase(now int64) int64 {
	return now/int64(time.Millisecond) - startBase
}

func (a *attemptAges) start(now int64) int64 {
	start := millisSinceBase(now)
	a.count.Add(1)
	a.startSum.Add(start)
	return start
}

func (a *attemptAges) finish(start int64, expected time.Duration) {
	a.count.Add(-1)
	a.startSum.Add(-start)
	if expected <= 0 {
		return
	}
	old := a.expectedLatency.Load()
	if old == 0 {
		old = int64(expected)
	}
	a.expectedLatency.Store(old + int64(averageWeight*float64(int64(expected)-old)))
}

// ageThreshold is the mean age of the attempts in flight, relative to the expected
// latency, from which on a target counts as slow; less may be chance. At a healthy target
// it is about 0.5.
const ageThreshold = 2.0

// slowdown returns the ratio of the attempts' mean age to the expected latency at the
// given utilization, or 1 while the ratio is below ageThreshold.
func (a *attemptAges) slowdown(now int64, utilization float64) float64 {
	count := a.count.Load()
	expected := float64(a.expectedLatency.Load()) / float64(time.Millisecond)
	if count <= 0 || expected <= 0 {
		return 1
	}
	age := float64(millisSinceBase(now)) - float64(a.startSum.Load())/float64(count)
	slowness := age / expected / max(1, utilization)
	if slowness < ageThreshold {
		return 1
	}
	return slowness
}
