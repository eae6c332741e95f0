package soak

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/platform/standin"
)

// TestEveryPairOfFaultsIsDrawn guards against a soak in which no stream meets one fault at
// its first target and another at its second.
func TestEveryPairOfFaultsIsSampled(t *testing.T) {
	c := newFaultInjector(1)
	c.setRate(minFaultOneIn)
	drawn := map[[2]standin.Fault]bool{}
	for i := range 20000 {
		a := standin.Arrival{ID: fmt.Sprintf("%010x", i)}
		first := c.nextFault("engine-1", a)
		drawn[[2]standin.Fault{first, c.nextFault("engine-2", a)}] = true
	}
	for _, first := range streamFaults {
		for _, second := range append([]standin.Fault{standin.NoFault}, streamFaults...) {
			require.True(t, drawn[[2]standin.Fault{first, second}], "%v, %v", first, second)
		}
	}
}

// TestAllFaultsOfTargetsAreDrawn guards against a fault of targets that the soak doesn't play.
func TestAllTargetFaultsAreSampled(t *testing.T) {
	for fault := standin.Full; fault <= standin.CommentsThenTruncates; fault++ {
		require.Contains(t, streamFaults, fault)
	}
}

// TestFaultsOfARequestAreItsOwn guards against a seed whose requests meet other faults
// whenever they come in another order.
func TestFaultsDependOnSeedAndRequestOnly(t *testing.T) {
	one, other := newFaultInjector(1), newFaultInjector(1)
	one.setRate(minFaultOneIn)
	other.setRate(minFaultOneIn)
	const requests = 200
	faults := map[string]standin.Fault{}
	for i := range requests {
		id := fmt.Sprintf("%010x", i)
		faults[id] = one.nextFault("engine-1", standin.Arrival{ID: id})
	}
	for i := range requests {
		id := fmt.Sprintf("%010x", requests-1-i)
		require.Equal(t, faults[id], other.nextFault("engine-2", standin.Arrival{ID: id}))
	}
}

// TestNoRestOfAStreamIsEmpty guards against a target that is blamed on the instance: behind
// an event an empty answer is that of a target which has nothing left.
func TestNoEmptyFaultForResumedStreams(t *testing.T) {
	c := newFaultInjector(1)
	c.setRate(1)
	for i := range 1000 {
		a := standin.Arrival{ID: fmt.Sprintf("%010x", i), Header: http.Header{}}
		a.Header = standin.Call{ID: a.ID, LastEvent: 1}.Header()
		require.NotEqual(t, standin.EmptyStream, c.nextFault("engine-1", a))
	}
}

// TestOtherTargetsServeWell guards against faults of streams at targets of other services,
// and of all targets at once outside their spans.
func TestFaultsAreLimitedToTheirTargets(t *testing.T) {
	c := newFaultInjector(1)
	for i := range 1000 {
		require.Equal(t, standin.NoFault, c.nextFault("engine-1", standin.Arrival{ID: fmt.Sprintf("%010x", i)}))
	}
	c.setRate(1)
	require.Equal(t, standin.NoFault, c.nextFault("plain-1", standin.Arrival{ID: "1"}))
	end := c.injectAt("plain-1", func() standin.Fault { return standin.Truncates })
	require.Equal(t, standin.Truncates, c.nextFault("plain-1", standin.Arrival{ID: "1"}))
	require.Equal(t, standin.NoFault, c.nextFault("plain-2", standin.Arrival{ID: "1"}))
	end()
	require.Equal(t, standin.NoFault, c.nextFault("plain-1", standin.Arrival{ID: "1"}))
}
