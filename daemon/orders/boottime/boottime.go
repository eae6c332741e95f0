// Package boottime provides a clock that keeps running while the process is paused and
// while the machine is suspended.
//
// time.Now measures with CLOCK_MONOTONIC, which stops during a suspend, so that a lease
// would appear valid for too long after one. CLOCK_BOOTTIME keeps running and, unlike the
// wall clock, never jumps.
package boottime

import "time"

// Clock returns the time of a clock that never stops and never jumps: the wall time of the
// process's start plus the time elapsed since then.
type Clock func() time.Time

// Now is the clock of this process. It is time.Now where the boot time can't be read.
var Now Clock = newClock()

func newClock() Clock {
	start := time.Now().Round(0) // without the monotonic reading
	origin, err := sinceBoot()
	if err != nil {
		return time.Now
	}
	return func() time.Time {
		elapsed, err := sinceBoot()
		if err != nil {
			return time.Now()
		}
		return start.Add(elapsed - origin)
	}
}
