package stages

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// TestFirstAskEndsWithoutTheSecond guards against a request that is dropped, or loses its
// second ask, as the end of its first connection is noticed late.
func TestAbandonedRequestKeepsItsRetry(t *testing.T) {
	for _, lost := range []bool{false, true} {
		o := newQueue(nil, nil, nil, newMetrics(tally.NoopScope))
		first, second := make(chan outcome, 1), make(chan outcome, 1)
		o.waiters["1"] = second
		o.abandon("1", first, lost)
		require.Equal(t, second, o.waiters["1"])
		require.Empty(t, o.unclaimed)
		require.Empty(t, second)
	}
}

// TestEndIsKeptForTheNextAsk guards against a request that is made once more since its end
// came as its asker's connection was lost.
func TestOutcomeIsKeptForTheRetry(t *testing.T) {
	o := newQueue(nil, nil, nil, newMetrics(tally.NoopScope))
	done := make(chan outcome, 1)
	done <- outcome{handles: []string{"h"}}
	o.abandon("1", done, true)
	require.Equal(t, []string{"h"}, o.earlyOutcomes["1"].handles)
	require.Contains(t, o.unclaimed, "1")
}
