package holder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Prevents a holder from continuing with its queue after a stall, and from giving it up because
// the time of day was set.
func TestStallDetector(t *testing.T) {
	wall, boot := time.Unix(1000, 0), time.Unix(50, 0)
	var s StallDetector
	check := func(wallStep, bootStep time.Duration) bool {
		wall, boot = wall.Add(wallStep), boot.Add(bootStep)
		return s.Check(wall, func() time.Time { return boot })
	}
	const tick = 100 * time.Millisecond
	require.False(t, check(0, 0), "the first check")
	for range 50 {
		require.False(t, check(tick, tick))
	}
	require.True(t, check(4*time.Second, 4*time.Second), "suspended")
	require.False(t, check(tick, tick), "reported once")
	require.False(t, check(2*time.Second, tick), "the time of day is set ahead")
	require.False(t, check(-2*time.Second, tick), "and back")
	require.False(t, check(tick, tick))
	require.True(t, check(1500*time.Millisecond, 1500*time.Millisecond))
}
