package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Guards against an ejection that ends by the response to a request that was sent before it: only a probe ends it.
func TestResponseAfterSilenceKeepsAnEarlierEjection(t *testing.T) {
	now := time.Now()
	table := New(Config{})
	table.SetTargets(now, Pool{Name: "p", Objective: catalog.ObjectiveAttainment}, []Target{
		{Incarnation: "a", Name: "a", Pool: "p", Slots: 4}, {Incarnation: "b", Name: "b", Pool: "p", Slots: 4}, {Incarnation: "c", Name: "c", Pool: "p", Slots: 4},
	})
	stream := table.Started(now, "a", 1)
	for range ejectAfterFailures {
		table.Started(now, "a", 1).Done(now, Result{Outcome: OutcomeFailed})
	}
	target := table.view.Load().byTarget["a"]
	require.Equal(t, ejectionActive, target.health.ejectionState(now.UnixNano()))
	stream.Silent(now)
	stream.Responded(now)
	require.Equal(t, ejectionActive, target.health.ejectionState(now.UnixNano()))
}

// Guards against a target that stays ejected for a pause that is over, and that one attempt's pause
// counts twice when the attempt then fails.
func TestResponseEndsAnEjectionForSilence(t *testing.T) {
	now := time.Now()
	table := New(Config{})
	table.SetTargets(now, Pool{Name: "p", Objective: catalog.ObjectiveAttainment}, []Target{
		{Incarnation: "a", Name: "a", Pool: "p", Slots: 4}, {Incarnation: "b", Name: "b", Pool: "p", Slots: 4}, {Incarnation: "c", Name: "c", Pool: "p", Slots: 4},
	})
	target := table.view.Load().byTarget["a"]
	first, second := table.Started(now, "a", 1), table.Started(now, "a", 1)
	first.Silent(now)
	first.Silent(now)
	require.Equal(t, notEjected, target.health.ejectionState(now.UnixNano()), "one attempt counts once")
	second.Silent(now)
	require.Equal(t, ejectionActive, target.health.ejectionState(now.UnixNano()))
	first.Responded(now)
	require.Equal(t, notEjected, target.health.ejectionState(now.UnixNano()))
	second.Done(now, Result{Outcome: OutcomeFailed})
	require.Equal(t, notEjected, target.health.ejectionState(now.UnixNano()))
	require.Zero(t, target.health.consecutiveFailures.Load())
}

// Guards against a target that stays ejected for a silence although its whole response came late.
func TestLateResponseEndsAnEjectionForSilence(t *testing.T) {
	now := time.Now()
	table := New(Config{})
	table.SetTargets(now, Pool{Name: "p", Objective: catalog.ObjectiveAttainment}, []Target{
		{Incarnation: "a", Name: "a", Pool: "p", Slots: 4}, {Incarnation: "b", Name: "b", Pool: "p", Slots: 4}, {Incarnation: "c", Name: "c", Pool: "p", Slots: 4},
	})
	target := table.view.Load().byTarget["a"]
	attempts := []*Attempt{table.Started(now, "a", 1), table.Started(now, "a", 1)}
	for _, a := range attempts {
		a.Silent(now)
	}
	require.Equal(t, ejectionActive, target.health.ejectionState(now.UnixNano()))
	attempts[0].Done(now, Result{Outcome: OutcomeOK})
	require.Equal(t, notEjected, target.health.ejectionState(now.UnixNano()))
}
