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

// A holder and its successor end within a second, and a third one grants sends to a target that
// both have used up. The target must not get more than its limit in any second: a cold one crashes.
func TestThreeHoldersInSuccessionStayBelowTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(4, 400).Draw(t, "limit")
		pace := ForLimit(limit)
		var holders [3]Holder
		now := time.Unix(0, 0)
		var sent []time.Time
		for i := range holders {
			lasts := time.Duration(rapid.IntRange(0, 1100).Draw(t, "lasts")) * time.Millisecond
			if i == 0 {
				lasts += 2 * newHolderPeriod
			}
			for end := now.Add(lasts); now.Before(end); now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond) {
				for range rapid.IntRange(1, 30).Draw(t, "at once") {
					// A request whose turn is far ahead goes to another target.
					if holders[i].Wait(now, "t", pace) <= time.Second {
						late := time.Duration(rapid.Int64Range(0, int64(GrantValidity)).Draw(t, "late"))
						sent = append(sent, now.Add(holders[i].Grant(now, "t", pace)+late))
					}
				}
			}
		}
		require.LessOrEqual(t, float64(maxInOneSecond(sent)), limit)
	})
}

// establishedHolder returns a holder that is not new at a time, with no recent grant to any target
// but "other".
func establishedHolder(now time.Time, pace Pace) *Holder {
	h := &Holder{}
	for at := now.Add(-2 * newHolderPeriod); !at.After(now); at = at.Add(newHolderPeriod / 2) {
		h.Grant(at, "other", pace)
	}
	return h
}

// A request that needn't wait must not, and one that has to wait must be told the same as it is
// granted.
func TestWaits(t *testing.T) {
	pace := ForLimit(17.6)
	now := time.Unix(0, 0)
	holder := establishedHolder(now, pace)
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

// A holder that has just begun uses half of its share, and is as fast as others afterwards. Without
// an end of that time the fleet would serve half of what cold targets bear.
func TestNewHolderIsSlowerForAWhile(t *testing.T) {
	pace := ForLimit(17.6)
	now := time.Unix(0, 0)
	holder := &Holder{}
	grantedWithin := func(d time.Duration) (n int) {
		for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
			if holder.Wait(now, "t", pace) == 0 {
				holder.Grant(now, "t", pace)
				n++
			}
		}
		return n
	}
	require.Equal(t, 4, grantedWithin(time.Second))
	grantedWithin(newHolderPeriod)
	require.GreaterOrEqual(t, grantedWithin(time.Second+GrantValidity), 7)
	now = now.Add(2 * newHolderPeriod)
	require.Equal(t, 4, grantedWithin(time.Second), "another may have held meanwhile")
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
