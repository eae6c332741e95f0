package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A holder whose renewals succeed immediately waits for RenewInterval between two
// writes. Without that wait it would write continuously and use up the store's
// write capacity that claims need.
func TestHolderRenewsAtTheRenewInterval(t *testing.T) {
	const length = time.Minute
	now := time.Unix(1000, 0)
	l := New("one", DefaultTiming)
	writes, revision := 0, uint64(0)
	for end := now.Add(length); now.Before(end); {
		switch a := l.Next(now).(type) {
		case Read:
			l.ObservedAbsent(now)
		case Write:
			writes++
			revision++
			l.Written(now, revision)
		case Wait:
			now = a.Until
		}
		require.LessOrEqual(t, writes, int(length/DefaultTiming.RenewInterval))
	}
	_, held := l.Held(now.Add(-time.Second))
	require.True(t, held)
}
