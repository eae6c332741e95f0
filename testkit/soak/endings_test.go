package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/platform/standin"
)

// Guards against an excuse for responses that end for the silence of their targets: each case fails
// unless a target, its path or the end of an instance accounts for the end.
func TestEndingsThatTargetsDontAccountFor(t *testing.T) {
	began := time.Now()
	at := func(d time.Duration) time.Time { return began.Add(d) }
	cut := callResult{path: "/stream/a", status: http.StatusOK, ended: at(2 * time.Second)}
	bad := callResult{path: "/get/a", status: http.StatusBadGateway, ended: at(time.Second)}
	with := func(a callResult, change func(a *callResult)) callResult { change(&a); return a }
	period := func(target string, from, to time.Duration) []targetPeriod {
		return []targetPeriod{{target, span{at(from), at(to)}}}
	}
	process := func(h *processHistory) *processHistory {
		h.launchedAt, h.grace = at(-time.Minute), grace
		return h
	}
	cases := map[string]struct {
		result   callResult
		faults   []standin.Fault
		breaks   []targetPeriod
		process  *processHistory
		violated bool
	}{
		"stream that began":                    {result: cut, violated: true},
		"failure":                              {result: bad, violated: true},
		"early timeout":                        {result: with(bad, func(a *callResult) { a.status = http.StatusGatewayTimeout }), violated: true},
		"closed connection":                    {result: with(bad, func(a *callResult) { a.status = 0 }), violated: true},
		"complete response":                    {result: with(cut, func(a *callResult) { a.complete = true })},
		"refusal":                              {result: with(bad, func(a *callResult) { a.status = http.StatusServiceUnavailable })},
		"caller left":                          {result: with(cut, func(a *callResult) { a.left = true })},
		"its own time":                         {result: with(cut, func(a *callResult) { a.ended = at(requestDeadline) })},
		"shortly before its time":              {result: with(cut, func(a *callResult) { a.ended = at(requestDeadline - 2*earlyTolerance) }), violated: true},
		"target truncated":                     {result: cut, faults: []standin.Fault{standin.NoFault, standin.Truncates}},
		"targets silent or full":               {result: cut, faults: []standin.Fault{standin.Silent, standin.Full}, violated: true},
		"path broke":                           {result: cut, breaks: period("engine-1", time.Second, 2*time.Second)},
		"path broke before":                    {result: cut, breaks: period("engine-1", -2*time.Second, -time.Second), violated: true},
		"path of another target broke":         {result: cut, breaks: period("engine-2", time.Second, 2*time.Second), violated: true},
		"path of a possible target broke":      {result: bad, breaks: period("plain-2", time.Second/2, time.Second)},
		"path of another service broke":        {result: bad, breaks: period("engine-1", time.Second/2, time.Second), violated: true},
		"instance killed":                      {result: cut, process: process(&processHistory{killed: true, killedAt: at(time.Second), exitedAt: at(time.Second)})},
		"instance killed before":               {result: cut, process: process(&processHistory{killed: true, killedAt: at(-time.Second), exitedAt: at(-time.Second)}), violated: true},
		"instance killed afterwards":           {result: cut, process: process(&processHistory{killed: true, killedAt: at(3 * time.Second), exitedAt: at(3 * time.Second)}), violated: true},
		"instance in the middle of its stop":   {result: cut, process: process(&processHistory{stopBeganAt: at(time.Second)}), violated: true},
		"instance at the end of its stop":      {result: cut, process: process(&processHistory{stopBeganAt: at(2*time.Second - grace + exitMargin)})},
		"instance that had stopped beforehand": {result: cut, process: process(&processHistory{stopBeganAt: at(-10 * time.Second), exitedAt: at(-5 * time.Second)}), violated: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := c.result
			a.id, a.began = "1", began
			tb := &testbed{injector: newFaultInjector(1), instances: []*instance{{}}}
			tb.injector.injected["1"] = c.faults
			tb.breaks.periods = c.breaks
			if c.process != nil {
				tb.instances[0].histories = []*processHistory{c.process}
			}
			arrivals := map[string][]standin.Arrival{"1": {{ID: "1", Target: "engine-1", Header: http.Header{}}}}
			tb.checkEndings([]callResult{a}, targetLog{arrivals: arrivals})
			require.Equal(t, c.violated, len(tb.violations) > 0, "%v", tb.violations)
		})
	}
}
