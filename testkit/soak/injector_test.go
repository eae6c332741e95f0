package soak

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/platform/standin"
)

// TestEveryPairOfFaultsIsSampled prevents a soak in which no stream meets one fault at its
// first target and another at its second.
func TestEveryPairOfFaultsIsSampled(t *testing.T) {
	c := newFaultInjector(1)
	c.setRate(minFaultOneIn)
	sampled := map[[2]standin.Fault]bool{}
	for i := range 20000 {
		a := standin.Arrival{ID: fmt.Sprintf("%010x", i)}
		first := c.nextFault("engine-1", a)
		sampled[[2]standin.Fault{first, c.nextFault("engine-2", a)}] = true
	}
	for _, first := range streamFaults {
		for _, second := range append([]standin.Fault{standin.NoFault}, streamFaults...) {
			require.True(t, sampled[[2]standin.Fault{first, second}], "%v, %v", first, second)
		}
	}
}

// TestAllTargetFaultsAreSampled prevents a target fault that the soak never injects.
func TestAllTargetFaultsAreSampled(t *testing.T) {
	for fault := standin.Full; fault <= standin.CommentsThenTruncates; fault++ {
		require.Contains(t, streamFaults, fault)
	}
}

// TestRefusalsAreRepeated prevents a soak in which no target repeats a refusal on the connection that carried it.
func TestRefusalsAreRepeated(t *testing.T) {
	for _, refusal := range []standin.Fault{standin.Full, standin.InputsMissing} {
		c := newFaultInjector(1)
		next := func(connection string) standin.Fault {
			return c.nextFaultOnConnection("engine-1", standin.Arrival{ID: "1", Connection: connection})
		}
		end := c.injectAt("engine-1", func() standin.Fault { return refusal })
		require.Equal(t, refusal, next("a"))
		end()
		require.Equal(t, standin.NoFault, next("b"))
		require.Equal(t, standin.RepeatsRefusal, next("a"))
		require.Equal(t, standin.NoFault, next("a"))
	}
}

// TestFaultsDependOnSeedAndRequestOnly prevents a seed whose requests meet other faults
// whenever they arrive in another order.
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

// TestNoEmptyFaultForResumedStreams prevents a false violation: after an event, an empty
// response is the valid one of a target that has no events left.
func TestNoEmptyFaultForResumedStreams(t *testing.T) {
	c := newFaultInjector(1)
	c.setRate(1)
	for i := range 1000 {
		a := standin.Arrival{ID: fmt.Sprintf("%010x", i), Header: http.Header{}}
		a.Header = standin.Call{ID: a.ID, LastEvent: 1}.Header()
		require.NotEqual(t, standin.EmptyStream, c.nextFault("engine-1", a))
	}
}

// TestFaultsAreLimitedToTheirTargets prevents stream faults at targets of other services, and
// faults of all engines outside their periods.
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
