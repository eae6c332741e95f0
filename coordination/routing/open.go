package routing

import (
	"sync/atomic"
	"time"
)

// openAttempts knows the mean age of the own attempts in flight. It shows a
// target that became slow before the first late answer comes: requests sent in
// the meantime would all miss their deadline.
type openAttempts struct {
	count  atomic.Int64
	starts atomic.Int64 // sum of the start times, in ms since base
	usual  atomic.Int64 // moving mean of the expected latency, in ns; 0 unknown
}

// openBase keeps the sums of start times small.
var openBase = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()

func openMillis(now int64) int64 {
	return now/int64(time.Millisecond) - openBase
}

func (o *openAttempts) began(now int64) int64 {
	start := openMillis(now)
	o.count.Add(1)
	o.starts.Add(start)
	return start
}

func (o *openAttempts) ended(start int64, expected time.Duration) {
	o.count.Add(-1)
	o.starts.Add(-start)
	if expected <= 0 {
		return
	}
	old := o.usual.Load()
	if old == 0 {
		old = int64(expected)
	}
	o.usual.Store(old + int64(sampleShare*float64(int64(expected)-old)))
}

// openThreshold is the age, in usual times, from which on the attempts in
// flight tell of a slow target. At a healthy one it is about a half.
const openThreshold = 2.0

// slow returns how many times the usual time, given the crowding, the attempts
// in flight are old on the mean; 1 while that could still be chance.
func (o *openAttempts) slow(now int64, crowding float64) float64 {
	count := o.count.Load()
	usual := float64(o.usual.Load()) / float64(time.Millisecond)
	if count <= 0 || usual <= 0 {
		return 1
	}
	age := float64(openMillis(now)) - float64(o.starts.Load())/float64(count)
	slowness := age / usual / max(1, crowding)
	if slowness < openThreshold {
		return 1
	}
	return slowness
}
