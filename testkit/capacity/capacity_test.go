package capacity

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFit(t *testing.T) {
	cases := map[string]struct {
		points         []Point
		slope, at, off float64
	}{
		"line":       {[]Point{{1, 12}, {2, 14}, {4, 18}}, 2, 30, 0},
		"horizontal": {[]Point{{1, 5}, {2, 5}, {4, 5}}, 0, 5, 0},
		"one point":  {[]Point{{8, 7}}, 0, 7, 0},
		"not linear": {[]Point{{0, 0}, {1, 3}, {2, 0}}, 0, 1, 2. / 3},
		"no points":  {nil, 0, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := Series{DesignSize: 10, Points: c.points}
			fit := s.Fit()
			require.InDelta(t, c.slope, fit.Slope, 1e-9)
			require.InDelta(t, c.off, fit.Residual, 1e-9)
			value, measured := s.AtDesignSize()
			require.InDelta(t, c.at, value, 1e-9)
			require.False(t, measured)
		})
	}
}

// Prevents an extrapolated value from being read as a measured one, and a value
// over its budget from being overlooked.
func TestTableMarksExtrapolatedAndOverBudget(t *testing.T) {
	all := []Series{
		{Quantity: "a", DesignSize: 4, Budget: 10, Points: []Point{{1, 3}, {4, 12}}},
		{Quantity: "b", DesignSize: 8, Budget: 10, Points: []Point{{1, 1}, {4, 4}}},
	}
	var out strings.Builder
	require.NoError(t, WriteTable(&out, all))
	lines := strings.Split(out.String(), "\n")
	require.Contains(t, lines[0], "12 measured")
	require.Contains(t, lines[0], "OVER")
	require.Contains(t, lines[1], "8 EXTRAPOLATED")
	require.NotContains(t, lines[1], "OVER")
}

// Guards against changes that make each instance communicate with all others, or
// maintain something for each pair of a node and a target or account. This doesn't
// show with eight instances, but exceeds the control plane's budget with hundreds.
// The traffic is simulated in virtual time and is the same on every run.
func TestTrafficPerInstanceIsBounded(t *testing.T) {
	perNode := func(n int) float64 {
		f := newFleet(n)
		_, ok := f.converge(convergenceTimeout)
		require.True(t, ok, "%d instances did not find one another", n)
		f.run(time.Minute)
		f.sent = traffic{}
		f.runWithChanges(fleetLength)
		return float64(f.sent.bytes()) / float64(n) / fleetLength.Seconds()
	}
	small, large := perNode(12), perNode(48)
	require.Less(t, large, sendBudget*0.6)
	require.Less(t, large, 1.3*small)
}
