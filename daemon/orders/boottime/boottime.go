// Package boottime reads a clock that goes on while the process is paused and
// while the machine is suspended.
//
// time.Now measures with CLOCK_MONOTONIC, which stands still during a suspend,
// so a lease would look young after one. CLOCK_BOOTTIME goes on, and unlike
// the wall clock it never jumps.
package boottime

import "time"

// Clock returns the time on a clock that never stops and never jumps. The
// value is the wall time of the process's start plus the time since then.
type Clock func() time.Time

// Now is the process's clock.
var Now Clock = newClock()

func newClock() Clock {
	start := time.Now().Round(0)
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
