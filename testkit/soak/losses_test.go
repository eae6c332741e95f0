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
func stopped() *life {
	paused := stopBegan.Add(time.Second)
	return &life{
		instance: "instance-1", grace: grace, stopped: stopBegan,
		pauses: []span{{paused, paused.Add(200 * time.Millisecond)}},
	}
}

// sent is a request on a kept connection whose first byte was sent so long after the
// stop began, and that ended so much later.
func sent(after, took time.Duration) exchange {
	first := stopBegan.Add(after)
	return exchange{
		answer: answer{id: "1", path: "/once/a", once: true, ended: first.Add(took)},
		life:   stopped(), wait: requestWait, kept: 1, sent: true, first: first, last: first,
	}
}

func closedAfter(after, took time.Duration, err error) exchange {
	x := sent(after, took)
	x.closed, x.err = x.ended, err
	return x
}

func answered(after, took time.Duration, status int, retryAfter string) exchange {
	x := sent(after, took)
	x.status, x.whole, x.retryAfter = status, true, retryAfter
	return x
}

// A caller's request is lost in a way that the check takes for another: a request that
// lay in a socket for one that crossed the close, a refusal of what ran for a true one.
// The soak would pass over the fault that it is for.
func TestChecksOfPlannedWork(t *testing.T) {
	const tick = time.Millisecond
	unaccepted := closedAfter(600*tick, tick, io.EOF)
	unaccepted.kept = 0
	accepted := closedAfter(400*tick, 50*tick, io.EOF)
	accepted.kept = 0
	half := closedAfter(0, 100*tick, io.EOF)
	half.sent = false
	cut := answered(0, time.Second, http.StatusOK, "")
	cut.whole = false
	overdue := answered(0, requestWait, http.StatusOK, "")
	overdue.whole = false
	ran := seen{arrived: map[string][]standin.Arrival{"1": {{ID: "1", Executed: true}}}}
	turnedAway := seen{arrived: map[string][]standin.Arrival{"1": {{ID: "1"}}}}
	made := seen{pieces: map[string]int{"1": 1}}
	cases := map[string]struct {
		x      exchange
		seen   seen
		losses Losses
		broken bool
	}{
		"served":                        {answered(0, tick, http.StatusOK, ""), ran, Losses{}, false},
		"refused":                       {answered(0, tick, http.StatusServiceUnavailable, "0.5"), seen{}, Losses{Refused: 1}, false},
		"refused by a target too":       {answered(0, tick, http.StatusServiceUnavailable, "0.5"), turnedAway, Losses{Refused: 1}, false},
		"refused and ran":               {answered(0, tick, http.StatusServiceUnavailable, "0.5"), ran, Losses{Refused: 1}, true},
		"refused without a time":        {answered(0, tick, http.StatusServiceUnavailable, ""), seen{}, Losses{Refused: 1}, true},
		"refused at the grace's end":    {answered(0, 3400*tick, http.StatusServiceUnavailable, "1"), seen{}, Losses{Refused: 1}, true},
		"late, and refused at once":     {answered(3400*tick, tick, http.StatusServiceUnavailable, "1"), seen{}, Losses{Refused: 1}, false},
		"another status":                {answered(0, tick, http.StatusBadGateway, ""), ran, Losses{}, true},
		"given up in time":              {answered(0, time.Second, http.StatusGatewayTimeout, ""), ran, Losses{}, true},
		"given up when overdue":         {answered(0, requestWait, http.StatusGatewayTimeout, ""), ran, Losses{Overdue: 1}, false},
		"cut":                           {cut, ran, Losses{}, true},
		"cut when overdue":              {overdue, ran, Losses{Overdue: 1}, false},
		"crossed":                       {closedAfter(0, tick, io.EOF), seen{}, Losses{Crossed: 1}, false},
		"crossed, but ran":              {closedAfter(0, tick, io.EOF), ran, Losses{}, true},
		"crossed, but reached a target": {closedAfter(0, tick, io.EOF), turnedAway, Losses{}, true},
		"crossed, but had pieces made":  {closedAfter(0, tick, io.EOF), made, Losses{}, true},
		"lay there":                     {closedAfter(0, 50*tick, io.EOF), seen{}, Losses{}, true},
		"lay there during a pause":      {closedAfter(1195*tick, 6*tick, io.EOF), seen{}, Losses{}, true},
		"sent by half":                  {half, seen{}, Losses{}, true},
		"no answer":                     {closedAfter(0, plannedWait, os.ErrDeadlineExceeded), seen{}, Losses{}, true},
		"connected too late":            {unaccepted, seen{}, Losses{Unaccepted: 1}, false},
		"connected in time":             {accepted, seen{}, Losses{}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := &world{options: Options{Planned: true}}
			others := make([]exchange, 3)
			for i := range others {
				others[i] = answered(0, 0, http.StatusOK, "")
			}
			require.Equal(t, c.losses, w.checkPlanned(append(others, c.x), c.seen))
			require.Equal(t, c.broken, len(w.broken) > 0, w.broken)
		})
	}
}

// Each close of a connection alone can be one that was crossed; many can't.
func TestCrossedClosesAreBounded(t *testing.T) {
	var all []exchange
	for range 1000 {
		all = append(all, answered(0, 0, http.StatusOK, ""))
	}
	w := &world{}
	for range crossedFew + 3 {
		all = append(all, closedAfter(0, time.Millisecond, io.EOF))
	}
	w.checkPlanned(all, seen{})
	require.Empty(t, w.broken)
	w.checkPlanned(append(all, closedAfter(0, time.Millisecond, io.EOF)), seen{})
	require.Len(t, w.broken, 1)
}

// A short run that never draws a form of stop would pass over what that form shows.
func TestEachFormComesBeforeAnyComesAgain(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var d deck
	drawn := map[form]int{}
	for range 3 * int(forms) {
		drawn[d.draw(random)]++
	}
	for f := range forms {
		require.Equal(t, 3, drawn[f])
	}
}
