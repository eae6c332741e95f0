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
func TestEveryPairOfFaultsIsDrawn(t *testing.T) {
	c := newConduct(1)
	c.trouble(faultyLeast)
	drawn := map[[2]standin.Fault]bool{}
	for i := range 20000 {
		a := standin.Arrival{ID: fmt.Sprintf("%010x", i)}
		first := c.fault("engine-1", a)
		drawn[[2]standin.Fault{first, c.fault("engine-2", a)}] = true
	}
	for _, first := range streamFaults {
		for _, second := range append([]standin.Fault{standin.NoFault}, streamFaults...) {
			require.True(t, drawn[[2]standin.Fault{first, second}], "%v, %v", first, second)
		}
	}
}

// TestAllFaultsOfTargetsAreDrawn guards against a fault of targets that the soak doesn't play.
func TestAllFaultsOfTargetsAreDrawn(t *testing.T) {
	for fault := standin.Full; fault <= standin.CommentsThenTruncates; fault++ {
		require.Contains(t, streamFaults, fault)
	}
}

// TestFaultsOfARequestAreItsOwn guards against a seed whose requests meet other faults
// whenever they come in another order.
func TestFaultsOfARequestAreItsOwn(t *testing.T) {
	one, other := newConduct(1), newConduct(1)
	one.trouble(faultyLeast)
	other.trouble(faultyLeast)
	const requests = 200
	faults := map[string]standin.Fault{}
	for i := range requests {
		id := fmt.Sprintf("%010x", i)
		faults[id] = one.fault("engine-1", standin.Arrival{ID: id})
	}
	for i := range requests {
		id := fmt.Sprintf("%010x", requests-1-i)
		require.Equal(t, faults[id], other.fault("engine-2", standin.Arrival{ID: id}))
	}
}

// TestNoRestOfAStreamIsEmpty guards against a target that is blamed on the instance: behind
// an event an empty answer is that of a target which has nothing left.
func TestNoRestOfAStreamIsEmpty(t *testing.T) {
	c := newConduct(1)
	c.trouble(1)
	for i := range 1000 {
		a := standin.Arrival{ID: fmt.Sprintf("%010x", i), Header: http.Header{}}
		a.Header = standin.Call{ID: a.ID, LastEvent: 1}.Header()
		require.NotEqual(t, standin.EmptyStream, c.fault("engine-1", a))
	}
}

// TestOtherTargetsServeWell guards against faults of streams at targets of other services,
// and of all targets at once outside their spans.
func TestOtherTargetsServeWell(t *testing.T) {
	c := newConduct(1)
	for i := range 1000 {
		require.Equal(t, standin.NoFault, c.fault("engine-1", standin.Arrival{ID: fmt.Sprintf("%010x", i)}))
	}
	c.trouble(1)
	require.Equal(t, standin.NoFault, c.fault("plain-1", standin.Arrival{ID: "1"}))
	end := c.misbehave("plain-1", func() standin.Fault { return standin.Truncates })
	require.Equal(t, standin.Truncates, c.fault("plain-1", standin.Arrival{ID: "1"}))
	require.Equal(t, standin.NoFault, c.fault("plain-2", standin.Arrival{ID: "1"}))
	end()
	require.Equal(t, standin.NoFault, c.fault("plain-1", standin.Arrival{ID: "1"}))
}
