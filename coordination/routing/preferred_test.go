package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The holder of the stage queue may name an engine that this instance has ejected, that
// already failed the request, or that is unknown here. The request then goes to another
// engine.
func TestPreferredTargetIsUsedUnlessItCantServe(t *testing.T) {
	table := newTable(Config{}, testTargets(4))
	pick := func(q Query) Choice {
		q.Pool = testPool.Name
		choice, err := table.Pick(start, newRNG(), q)
		require.NoError(t, err)
		return choice
	}
	got := pick(Query{Preferred: "t2", HomeKey: "subject"})
	require.Equal(t, "t2", got.Target.Incarnation)
	require.Equal(t, ReasonPreferred, got.Reason)
	require.NotEqual(t, "t2", pick(Query{Preferred: "t2", Exclude: []string{"t2"}}).Target.Incarnation)
	require.NotEqual(t, ReasonPreferred, pick(Query{Preferred: "gone", HomeKey: "subject"}).Reason)
	table.fail(start, "t2", 50)
	require.NotEqual(t, "t2", pick(Query{Preferred: "t2"}).Target.Incarnation)
	require.Equal(t, "t2", pick(Query{Preferred: "t2", Exclude: []string{"t0", "t1", "t3"}}).Target.Incarnation)
}
