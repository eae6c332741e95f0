package routing

import (
	"sync/atomic"
	"time"
)

// openAttempts knows the mean age of the own attempts in flight. It shows a
// target that became slow before the first late answer comes: requests sent in
// the meantime would all miss their deadline.
type attemptAges struct {
	count           atomic.Int64
	startSum        atomic.Int64 // sum of the start times, in ms since base
	expectedLatency atomic.Int64 // moving mean of the expected latency, in ns; 0 unknown
}

// openBase keeps the sums of start times small.
var startBase = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()

func millisSinceBase(now int64) int64 {
	return now/int64(time.Millisecond) - startBase
}

func (o *attemptAges) start(now int64) int64 {
	start := millisSinceBase(now)
	o.count.Add(1)
	o.startSum.Add(start)
	return start
}

func (o *attemptAges) finish(start int64, expected time.Duration) {
	o.count.Add(-1)
	o.startSum.Add(-start)
	if expected <= 0 {
		return
	}
	old := o.expectedLatency.Load()
	if old == 0 {
		old = int64(expected)
	}
	o.expectedLatency.Store(old + int64(averageWeight*float64(int64(expected)-old)))
}

// openThreshold is the age, in usual times, from which on the attempts in
// flight tell of a slow target. At a healthy one it is about a half.
const ageThreshold = 2.0

// slow returns how many times the usual time, given the crowding, the attempts
// in flight are old on the mean; 1 while that could still be chance.
func (o *attemptAges) slowdown(now int64, crowding float64) float64 {
	count := o.count.Load()
	usual := float64(o.expectedLatency.Load()) / float64(time.Millisecond)
	if count <= 0 || usual <= 0 {
		return 1
	}
	age := float64(millisSinceBase(now)) - float64(o.startSum.Load())/float64(count)
	slowness := age / usual / max(1, crowding)
	if slowness < ageThreshold {
		return 1
	}
	return slowness
}
