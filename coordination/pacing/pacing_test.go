package pacing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// maxInOneSecond returns the largest number of times within any span of a second.
func maxInOneSecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// A cold target must not get more than its limit in any second, whatever two holders are asked
// for, and however late within their validity the grants are used.
func TestTwoHoldersStayBelowTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(2, 400).Draw(t, "limit")
		pace := ForLimit(limit)
		var holders [2]Holder
		now := time.Unix(0, 0)
		var sent []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			holder := &holders[rapid.IntRange(0, 1).Draw(t, "holder")]
			for range rapid.IntRange(1, 30).Draw(t, "at once") {
				late := time.Duration(rapid.Int64Range(0, int64(GrantValidity)).Draw(t, "late"))
				sent = append(sent, now.Add(holder.Grant(now, "t", pace)+late))
			}
		}
		require.LessOrEqual(t, float64(maxInOneSecond(sent)), limit)
	})
}

// A request that needn't wait must not, and one that has to wait must be told the same as it is
// granted.
func TestWaits(t *testing.T) {
	pace := ForLimit(17.6)
	now := time.Unix(0, 0)
	holder := &Holder{}
	for range 8 {
		require.Zero(t, holder.Wait(now, "t", pace))
		require.Zero(t, holder.Grant(now, "t", pace))
	}
	wait := holder.Wait(now, "t", pace)
	require.Positive(t, wait)
	require.Equal(t, wait, holder.Grant(now, "t", pace))
	require.Equal(t, wait, holder.Wait(now, "t", pace), "eight may be sent then")
	for range 7 {
		holder.Grant(now, "t", pace)
	}
	require.Equal(t, 2*wait, holder.Wait(now, "t", pace))
	require.Zero(t, holder.Wait(now.Add(2*wait), "t", pace))
}

func TestNoLimitMeansNoWait(t *testing.T) {
	var holder Holder
	pace := ForLimit(Limits{Overage: 1.5, Slack: 5}.Limit(0))
	require.True(t, pace.Unlimited())
	for range 1000 {
		require.Zero(t, holder.Grant(time.Unix(0, 0), "t", pace))
	}
	require.InDelta(t, 17.6, Limits{Overage: 1.5, Slack: 5}.Limit(8.4), 1e-9)
}

// What is remembered of grants must not grow with them, nor with the targets that come and go.
func TestGrantsAreBounded(t *testing.T) {
	var holder Holder
	pace := ForLimit(1e6)
	now := time.Unix(0, 0)
	for range 10 * maxLogged {
		now = now.Add(time.Millisecond)
		holder.Grant(now, "t", pace)
		require.LessOrEqual(t, len(holder.targets["t"].granted), maxLogged)
	}
	for i := range 100 {
		now = now.Add(100 * time.Millisecond)
		holder.Grant(now, fmt.Sprint("t", i), pace)
		holder.Prune(now)
		require.LessOrEqual(t, len(holder.targets), 13)
	}
}
