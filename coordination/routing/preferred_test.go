package routing

import (
	"testing"
	"time"

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

// A send was granted to one target. No other may get it, not even a probe of an ejected one, and
// an ejected target gets it only as a probe that is due.
func TestGrantedTargetOnly(t *testing.T) {
	table := newTable(Config{}, testTargets(4))
	pick := func(at time.Time, q Query) (Choice, error) {
		q.Pool = testPool.Name
		return table.Pick(at, newRNG(), q)
	}
	table.fail(start, "t2", 50)
	var none *NoTargetError
	for _, only := range []string{"t0", "t1", "t3"} {
		choice, err := pick(start.Add(time.Hour), Query{Only: only, HomeKey: "subject"})
		require.NoError(t, err)
		require.Equal(t, only, choice.Target.Incarnation)
	}
	for name, q := range map[string]Query{
		"ejected": {Only: "t2"}, "excluded": {Only: "t1", Exclude: []string{"t1"}}, "unknown": {Only: "gone"},
	} {
		_, err := pick(start, q)
		require.ErrorAs(t, err, &none, name)
	}
	choice, err := pick(start.Add(time.Hour), Query{Only: "t2", Rank: 1})
	require.NoError(t, err)
	require.Equal(t, ReasonProbe, choice.Reason)
	_, err = pick(start.Add(time.Hour), Query{Only: "t2", Rank: 1})
	require.ErrorAs(t, err, &none, "one probe at a time")
}
