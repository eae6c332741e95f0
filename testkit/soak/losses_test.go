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

// stopBegan is when the stop of the test's instance begins.
var stopBegan = time.Unix(1000, 0)

// stoppedProcess returns the history of a process whose stop began, and which was paused for
// 200 ms one second later.
func stoppedProcess() *processHistory {
	paused := stopBegan.Add(time.Second)
	return &processHistory{
		instance: "instance-1", grace: grace, stopBeganAt: stopBegan,
		pauses: []span{{paused, paused.Add(200 * time.Millisecond)}},
	}
}

// sent returns an exchange on a reused connection whose first byte was sent the given time
// after the stop began, and which took the given time.
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

// Prevents checks that misclassify a loss, for example that take a request that waited in a
// socket for one sent during the close of an idle connection, or accept a refusal of a request
// that ran: the soak would miss the faults that it looks for.
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
	produced := targetLog{pieceCounts: map[string]int{"1": 1}}
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
		"refused without Retry-After":   {answered(0, tick, http.StatusServiceUnavailable, ""), targetLog{}, Losses{Refused: 1}, true},
		"refused at the end of grace":   {answered(0, 3400*tick, http.StatusServiceUnavailable, "1"), targetLog{}, Losses{Refused: 1}, true},
		"late, and refused at once":     {answered(3400*tick, tick, http.StatusServiceUnavailable, "1"), targetLog{}, Losses{Refused: 1}, false},
		"another status":                {answered(0, tick, http.StatusBadGateway, ""), ran, Losses{}, true},
		"given up before its deadline":  {answered(0, time.Second, http.StatusGatewayTimeout, ""), ran, Losses{}, true},
		"given up at its deadline":      {answered(0, requestDeadline, http.StatusGatewayTimeout, ""), ran, Losses{Overdue: 1}, false},
		"cut":                           {cut, ran, Losses{}, true},
		"cut at its deadline":           {overdue, ran, Losses{Overdue: 1}, false},
		"crossed":                       {closedAfter(0, tick, io.EOF), targetLog{}, Losses{Crossed: 1}, false},
		"crossed, but ran":              {closedAfter(0, tick, io.EOF), ran, Losses{}, true},
		"crossed, but reached a target": {closedAfter(0, tick, io.EOF), turnedAway, Losses{}, true},
		"crossed, but pieces produced":  {closedAfter(0, tick, io.EOF), produced, Losses{}, true},
		"waited in the socket":          {closedAfter(0, 50*tick, io.EOF), targetLog{}, Losses{}, true},
		"waited during a pause":         {closedAfter(1195*tick, 6*tick, io.EOF), targetLog{}, Losses{}, true},
		"sent in part":                  {half, targetLog{}, Losses{}, true},
		"no answer":                     {closedAfter(0, plannedCallerTimeout, os.ErrDeadlineExceeded), targetLog{}, Losses{}, true},
		"connected too late":            {unaccepted, targetLog{}, Losses{Unaccepted: 1}, false},
		"connected early":               {accepted, targetLog{}, Losses{}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tb := &testbed{options: Options{Planned: true}}
			others := make([]exchange, 3)
			for i := range others {
				others[i] = answered(0, 0, http.StatusOK, "")
			}
			require.Equal(t, c.losses, tb.checkPlanned(append(others, c.x), c.seen))
			require.Equal(t, c.broken, len(tb.violations) > 0, tb.violations)
		})
	}
}

// Guards against an end of a stop that excuses requests which no paused target held up, or which ended
// before it.
func TestOnlyPausedTargetsLetAStopEndRequests(t *testing.T) {
	ends := grace - exitMargin
	cut := answered(ends-time.Second, time.Second, http.StatusOK, "")
	cut.complete = false
	early := answered(ends-2*time.Second, time.Second, http.StatusOK, "")
	early.complete = false
	timedOut := answered(ends-time.Second, time.Second, http.StatusGatewayTimeout, "")
	failed := answered(ends-time.Second, time.Second, http.StatusBadGateway, "")
	during := span{stopBegan.Add(ends - time.Second), stopBegan.Add(ends)}
	before := span{stopBegan, stopBegan.Add(time.Second)}
	cases := map[string]struct {
		x      exchange
		target string
		paused span
		broken bool
	}{
		"cut":                              {cut, "plain-1", during, false},
		"timed out":                        {timedOut, "plain-1", during, false},
		"failed":                           {failed, "plain-1", during, true},
		"cut before the end":               {early, "plain-1", span{before.from, during.to}, true},
		"target of another service paused": {cut, "engine-1", during, true},
		"target paused before":             {cut, "plain-1", before, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tb := &testbed{options: Options{Planned: true}}
			tb.pauses.periods = []targetPeriod{{c.target, c.paused}}
			losses := tb.checkPlanned([]exchange{answered(0, 0, http.StatusOK, ""), c.x}, targetLog{})
			require.Equal(t, c.broken, len(tb.violations) > 0, tb.violations)
			require.Equal(t, !c.broken, losses.StopEnded == 1)
		})
	}
}

// A single closed connection may be a crossed close; many can't be.
func TestCrossedClosesAreBounded(t *testing.T) {
	var all []exchange
	for range 1000 {
		all = append(all, answered(0, 0, http.StatusOK, ""))
	}
	tb := &testbed{}
	for range crossedAllowance + 3 {
		all = append(all, closedAfter(0, time.Millisecond, io.EOF))
	}
	tb.checkPlanned(all, targetLog{})
	require.Empty(t, tb.violations)
	tb.checkPlanned(append(all, closedAfter(0, time.Millisecond, io.EOF)), targetLog{})
	require.Len(t, tb.violations, 1)
}

// Prevents short runs that never sample one of the stop variants and miss what it would show.
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
