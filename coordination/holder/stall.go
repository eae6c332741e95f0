package holder

import "time"

// stallThreshold is the silence after which instances that wait for a holder turn to another.
const stallThreshold = time.Second

// StallDetector detects that the instance was stalled, for example while its machine was
// suspended. Check must be called more often than once per stallThreshold.
type StallDetector struct {
	lastCheck time.Time
	// bootOffset is how far the clock since the machine's boot is ahead of the time of day.
	bootOffset time.Duration
}

// Check reports whether the instance was stalled since the previous call. If the time of day
// suggests so, the clock since the machine's boot decides, since the time of day may have been
// set.
func (s *StallDetector) Check(wall time.Time, boot func() time.Time) bool {
	wall = wall.Round(0)
	previous := s.lastCheck
	s.lastCheck = wall
	if elapsed := wall.Sub(previous); !previous.IsZero() && elapsed >= 0 && elapsed < stallThreshold {
		return false
	}
	now := boot()
	stalled := !previous.IsZero() && now.Sub(previous.Add(s.bootOffset)) >= stallThreshold
	s.bootOffset = now.Sub(wall)
	return stalled
}
