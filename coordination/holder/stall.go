package holder

import "time"

// stalledFor is the time without a sign after which those who wait for a holder ask
// another one.
const stallThreshold = time.Second

// Stall finds out that an instance stood still, as while its machine was suspended. It
// must be asked more often than once in stalledFor while the instance runs.
type StallDetector struct {
	lastCheck time.Time
	// ahead is how far the clock since the machine's boot is ahead of the time of day.
	bootOffset time.Duration
}

// Look tells whether the instance stood still since the last look: by the time of day,
// and by the clock since the machine's boot where the time of day says so, since that
// may have been set.
func (s *StallDetector) Check(wall time.Time, boot func() time.Time) bool {
	wall = wall.Round(0)
	before := s.lastCheck
	s.lastCheck = wall
	if elapsed := wall.Sub(before); !before.IsZero() && elapsed >= 0 && elapsed < stallThreshold {
		return false
	}
	now := boot()
	stalled := !before.IsZero() && now.Sub(before.Add(s.bootOffset)) >= stallThreshold
	s.bootOffset = now.Sub(wall)
	return stalled
}
