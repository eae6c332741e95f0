package soak

import (
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/platform/standin"
)

// stopBegan is when the stop of the tests' instance begins.
var stopBegan = time.Unix(1000, 0)

// stopped is a process whose stop began, and which was paused after a second for 200 ms.
func stoppedProcess() *processHistory {
	paused := stopBegan.Add(time.Second)
	return &processHistory{
		instance: "instance-1", grace: grace, stopBeganAt: stopBegan,
		pauses: []span{{paused, paused.Add(200 * time.Millisecond)}},
	}
}

// sent is a request on a kept connection whose first byte was sent so long after the
// stop began, and that ended so much later.
func sent(after, took time.Duration) exchange {
	first := stopBegan.Add(after)
	return exchange{
		callResult: callResult{id: "1", path: "/once/a", once: true, ended: first.Add(took)},
		history:    stoppedProcess(), deadline: requestDeadline, answersBefore: 1, fullySent: true, firstByte: first, lastByte: first,
	}
}

func closedAfter(after, took time.Duration, err error) exchange {
	x := sent(after, took)
	x.closeSeen, x.err = x.ended, err
	return x
}

func answered(after, took time.Duration, status int, retryAfter string) exchange {
	x := sent(after, took)
	x.status, x.complete, x.retryAfter = status, true, retryAfter
	return x
}

// A caller's request is lost in a way that the check takes for another: a request that
// lay in a socket for one that crossed the close, a refusal of what ran for a true one.
// The soak would pass over the fault that it is for.
func TestPlannedWorkChecks(t *testing.T) {
	const tick = time.Millisecond
	unaccepted := closedAfter(600*tick, tick, io.EOF)
	unaccepted.answersBefore = 0
	accepted := closedAfter(400*tick, 50*tick, io.EOF)
	accepted.answersBefore = 0
	half := closedAfter(0, 100*tick, io.EOF)
	half.fullySent = false
	cut := answered(0, time.Second, http.StatusOK, "")
	cut.complete = false
	overdue := answered(0, requestDeadline, http.StatusOK, "")
	overdue.complete = false
	ran := targetLog{arrivals: map[string][]standin.Arrival{"1": {{ID: "1", Executed: true}}}}
	turnedAway := targetLog{arrivals: map[string][]standin.Arrival{"1": {{ID: "1"}}}}
	made := targetLog{pieceCounts: map[string]int{"1": 1}}
	cases := map[string]struct {
		x      exchange
		seen   targetLog
		losses Losses
		broken bool
	}{
		"served":                        {answered(0, tick, http.StatusOK, ""), ran, Losses{}, false},
		"refused":                       {answered(0, tick, http.StatusServiceUnavailable, "0.5"), targetLog{}, Losses{Refused: 1}, false},
		"refused by a target too":       {answered(0, tick, http.StatusServiceUnavailable, "0.5"), turnedAway, Losses{Refused: 1}, false},
		"refused and ran":               {answered(0, tick, http.StatusServiceUnavailable, "0.5"), ran, Losses{Refused: 1}, true},
		"refused without a time":        {answered(0, tick, http.StatusServiceUnavailable, ""), targetLog{}, Losses{Refused: 1}, true},
		"refused at the grace's end":    {answered(0, 3400*tick, http.StatusServiceUnavailable, "1"), targetLog{}, Losses{Refused: 1}, true},
		"late, and refused at once":     {answered(3400*tick, tick, http.StatusServiceUnavailable, "1"), targetLog{}, Losses{Refused: 1}, false},
		"another status":                {answered(0, tick, http.StatusBadGateway, ""), ran, Losses{}, true},
		"given up in time":              {answered(0, time.Second, http.StatusGatewayTimeout, ""), ran, Losses{}, true},
		"given up when overdue":         {answered(0, requestDeadline, http.StatusGatewayTimeout, ""), ran, Losses{Overdue: 1}, false},
		"cut":                           {cut, ran, Losses{}, true},
		"cut when overdue":              {overdue, ran, Losses{Overdue: 1}, false},
		"crossed":                       {closedAfter(0, tick, io.EOF), targetLog{}, Losses{Crossed: 1}, false},
		"crossed, but ran":              {closedAfter(0, tick, io.EOF), ran, Losses{}, true},
		"crossed, but reached a target": {closedAfter(0, tick, io.EOF), turnedAway, Losses{}, true},
		"crossed, but had pieces made":  {closedAfter(0, tick, io.EOF), made, Losses{}, true},
		"lay there":                     {closedAfter(0, 50*tick, io.EOF), targetLog{}, Losses{}, true},
		"lay there during a pause":      {closedAfter(1195*tick, 6*tick, io.EOF), targetLog{}, Losses{}, true},
		"sent by half":                  {half, targetLog{}, Losses{}, true},
		"no answer":                     {closedAfter(0, plannedCallerTimeout, os.ErrDeadlineExceeded), targetLog{}, Losses{}, true},
		"connected too late":            {unaccepted, targetLog{}, Losses{Unaccepted: 1}, false},
		"connected in time":             {accepted, targetLog{}, Losses{}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := &testbed{options: Options{Planned: true}}
			others := make([]exchange, 3)
			for i := range others {
				others[i] = answered(0, 0, http.StatusOK, "")
			}
			require.Equal(t, c.losses, w.checkPlanned(append(others, c.x), c.seen))
			require.Equal(t, c.broken, len(w.violations) > 0, w.violations)
		})
	}
}

// Each close of a connection alone can be one that was crossed; many can't.
func TestCrossedClosesAreBounded(t *testing.T) {
	var all []exchange
	for range 1000 {
		all = append(all, answered(0, 0, http.StatusOK, ""))
	}
	w := &testbed{}
	for range crossedAllowance + 3 {
		all = append(all, closedAfter(0, time.Millisecond, io.EOF))
	}
	w.checkPlanned(all, targetLog{})
	require.Empty(t, w.violations)
	w.checkPlanned(append(all, closedAfter(0, time.Millisecond, io.EOF)), targetLog{})
	require.Len(t, w.violations, 1)
}

// A short run that never draws a form of stop would pass over what that form shows.
func TestEachStopVariantComesBeforeAnyRepeats(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var d variantDeck
	drawn := map[stopVariant]int{}
	for range 3 * int(stopVariants) {
		drawn[d.next(random)]++
	}
	for f := range stopVariants {
		require.Equal(t, 3, drawn[f])
	}
}
