package pacing

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// maxInRateWindow returns the largest number of times within any rateWindow.
func maxInRateWindow(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= rateWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against two holders that together grant more sends than a target that names a limit
// tolerates, however late within their validity the grants are used.
func TestTwoHoldersStayBelowTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.OneOf(rapid.Float64Range(0, 3), rapid.Float64Range(0, 100)).Draw(t, "limit")
		pace := ForRate(limit)
		var holders [2]Holder
		now := time.Unix(0, 0)
		var sent []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			for i := range holders {
				if holders[i].Wait(now, "t", pace) <= time.Second {
					late := time.Duration(rapid.Int64Range(0, int64(GrantValidity)).Draw(t, "late"))
					sent = append(sent, now.Add(holders[i].Grant(now, "t", pace)+late))
				}
			}
		}
		require.LessOrEqual(t, float64(maxInRateWindow(sent)), rateOverage*limit*rateWindow.Seconds()+rateSlack)
	})
}

// Guards against holders that follow one another, as in a series of planned stops, and together grant
// more sends than a target that names a limit tolerates.
func TestHoldersInSeriesStayBelowTheRate(t *testing.T) {
	const holders = 4
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.OneOf(rapid.Float64Range(0, 3), rapid.Float64Range(0, 100)).Draw(t, "limit")
		pace := ForRate(limit)
		now := time.Unix(1000, 0)
		h := establishedHolder(now, pace)
		var sent []time.Time
		for i := range holders {
			held := time.Duration(rapid.Int64Range(int64(300*time.Millisecond), int64(rateWindow)).Draw(t, "held"))
			for end := now.Add(held); now.Before(end); now = now.Add(50 * time.Millisecond) {
				for h.Wait(now, "t", pace) <= GrantHorizon(0) {
					late := time.Duration(rapid.Int64Range(0, int64(GrantValidity)).Draw(t, "late"))
					sent = append(sent, now.Add(h.Grant(now, "t", pace)+late))
				}
			}
			if i < holders-1 {
				h = &Holder{}
			}
		}
		require.LessOrEqual(t, float64(maxInRateWindow(sent)), rateOverage*limit*rateWindow.Seconds()+rateSlack)
	})
}

// Guards against a pace that keeps a target far below the limit that it names, or above it.
func TestRateIsUsed(t *testing.T) {
	for _, limit := range []float64{0.5, 1, 1.1, 3, 10, 60} {
		pace := ForRate(limit)
		now := time.Unix(1000, 0)
		h := establishedHolder(now, pace)
		sent := 0
		for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(time.Millisecond) {
			if h.Wait(now, "t", pace) == 0 {
				h.Grant(now, "t", pace)
				sent++
			}
		}
		require.GreaterOrEqual(t, float64(sent), 0.7*20*limit, limit)
		require.LessOrEqual(t, float64(sent), 20*limit+1, limit)
	}
}

// Guards against a target that names a limit of zero and is never asked again, so that nobody learns
// when it accepts requests.
func TestRateOfZeroIsProbed(t *testing.T) {
	require.Equal(t, maxRateInterval, ForRate(0).span)
	require.Equal(t, maxRateInterval, ForRate(1e-9).span)
	require.False(t, ForRate(0).Unlimited())
}

// Guards against the pace of the service or that of the target's own limit being ignored where both
// apply.
func TestAllPacesOfATargetApply(t *testing.T) {
	cold, named := ForLimit(17.6), ForRate(1)
	now := time.Unix(1000, 0)
	h := establishedHolder(now, cold)
	require.Zero(t, h.Grant(now, "t", cold, named))
	require.Equal(t, time.Second, h.Wait(now, "t", cold, named))
	require.Zero(t, h.Wait(now, "t", cold))
	require.Zero(t, h.Wait(now, "other target", cold, named))
}

// Guards against less urgent requests that use up the grants of the next seconds.
func TestLessUrgentRequestsGetGrantsOfTheNearFutureOnly(t *testing.T) {
	require.Equal(t, maxGrantAhead, GrantHorizon(0))
	for priority := range 9 {
		require.Less(t, GrantHorizon(priority+1), GrantHorizon(priority))
	}
	require.Equal(t, maxGrantAhead, GrantHorizon(-1))
}
