package stages

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
)

// Prevents a request from being dropped, or from losing its retry, when the end of its first
// connection is noticed late.
func TestAbandonedRequestKeepsItsRetry(t *testing.T) {
	for _, lost := range []bool{false, true} {
		q := newQueue(nil, nil, nil, gather.Config{}, newMetrics(tally.NoopScope))
		first, second := make(chan outcome, 1), make(chan outcome, 1)
		q.waiters["1"] = second
		q.abandon("1", first, lost)
		require.Equal(t, second, q.waiters["1"])
		require.Empty(t, q.unclaimed)
		require.Empty(t, second)
	}
}

// Prevents a request from running again because its outcome arrived as the connection of its
// requester was lost.
func TestOutcomeIsKeptForTheRetry(t *testing.T) {
	q := newQueue(nil, nil, nil, gather.Config{}, newMetrics(tally.NoopScope))
	done := make(chan outcome, 1)
	done <- outcome{handles: []string{"h"}}
	q.abandon("1", done, true)
	require.Equal(t, []string{"h"}, q.earlyOutcomes["1"].handles)
	require.Contains(t, q.unclaimed, "1")
}
