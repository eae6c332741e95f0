package holder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStall guards against a holder that goes on with its queue after it stood still,
// and against one that gives it away since its time of day was set.
func TestStall(t *testing.T) {
	wall, boot := time.Unix(1000, 0), time.Unix(50, 0)
	var s StallDetector
	look := func(wallStep, bootStep time.Duration) bool {
		wall, boot = wall.Add(wallStep), boot.Add(bootStep)
		return s.Check(wall, func() time.Time { return boot })
	}
	const tick = 100 * time.Millisecond
	require.False(t, look(0, 0), "the first look")
	for range 50 {
		require.False(t, look(tick, tick))
	}
	require.True(t, look(4*time.Second, 4*time.Second), "suspended")
	require.False(t, look(tick, tick), "told once")
	require.False(t, look(2*time.Second, tick), "the time of day is set ahead")
	require.False(t, look(-2*time.Second, tick), "and back")
	require.False(t, look(tick, tick))
	require.True(t, look(1500*time.Millisecond, 1500*time.Millisecond))
}
