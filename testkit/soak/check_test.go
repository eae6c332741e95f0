package soak

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/platform/standin"
)

// TestBodyChecks prevents a check that accepts an incomplete or wrong body as complete.
func TestBodyChecks(t *testing.T) {
	const first = "id: 1\ndata: token 1\n\n"
	cases := map[string]struct {
		answer callResult
		broken bool
	}{
		"whole":                      {callResult{path: "/stream/a", complete: true, body: streamEvents(0)}, false},
		"whole, with a comment":      {callResult{path: "/stream/a", complete: true, body: first + ": no event yet\n\n" + streamEvents(1)}, false},
		"short":                      {callResult{path: "/stream/a", complete: true, body: first}, true},
		"empty":                      {callResult{path: "/stream/a", complete: true}, true},
		"failure at its end":         {callResult{path: "/stream/a", complete: true, body: first + "failed"}, true},
		"event twice":                {callResult{path: "/stream/a", complete: true, body: first + streamEvents(0)}, true},
		"second answer":              {callResult{path: "/stream/a", complete: true, body: streamEvents(0) + "HTTP/1.1 200 OK\r\n\r\n" + streamEvents(0)}, true},
		"cut":                        {callResult{path: "/stream/a", body: first}, false},
		"cut, event twice":           {callResult{path: "/stream/a", body: first + first}, true},
		"resumed":                    {callResult{path: "/stream-resume/a", resumedAfter: 1, complete: true, body: streamEvents(1)}, false},
		"resumed after the last":     {callResult{path: "/stream-resume/a", resumedAfter: 5, complete: true}, false},
		"resumed from the start":     {callResult{path: "/stream-resume/a", resumedAfter: 1, complete: true, body: streamEvents(0)}, true},
		"resumed, one missing":       {callResult{path: "/stream-resume/a", resumedAfter: 1, complete: true, body: streamEvents(2)}, true},
		"cut, not after the last":    {callResult{path: "/stream-resume/a", resumedAfter: 1, body: first}, true},
		"plain":                      {callResult{path: "/get/a", id: "1", complete: true, body: "answer to 1"}, false},
		"plain, another's":           {callResult{path: "/get/a", id: "1", complete: true, body: "answer to 2"}, true},
		"plain, with a comment":      {callResult{path: "/get/a", id: "1", complete: true, body: ": c\n\nanswer to 1"}, true},
		"plain, cut":                 {callResult{path: "/get/a", id: "1", body: "answer"}, false},
		"plain, cut, of another one": {callResult{path: "/get/a", id: "1", body: "wrong"}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tb := &testbed{injector: newFaultInjector(1)}
			c.answer.status = http.StatusOK
			tb.checkResult(c.answer, nil)
			require.Equal(t, c.broken, len(tb.violations) > 0, tb.violations)
		})
	}
}

// TestChecksResumePointOfTargets prevents a check that passes a target which is requested to
// resume before the last event of the caller.
func TestChecksResumePointOfTargets(t *testing.T) {
	for asked, broken := range map[int]bool{0: true, 1: true, 2: false, 3: false} {
		tb := &testbed{injector: newFaultInjector(1)}
		header := standin.Call{ID: "1", LastEvent: asked}.Header()
		header.Del("Authorization")
		header.Set("Tenant", "account-1")
		a := callResult{id: "1", path: "/stream-resume/a", resumedAfter: 2}
		arrival := standin.Arrival{ID: "1", Path: a.path, Body: "body of 1", Header: header}
		tb.checkArrivals("1", map[string]callResult{"1": a}, []standin.Arrival{arrival}, nil)
		require.Equal(t, broken, len(tb.violations) > 0, "%d: %v", asked, tb.violations)
	}
}

// TestCallerResumesAfterItsLastEvent prevents a caller that resumes a stream of which it has
// no event, or forgets the events of earlier responses.
func TestCallerResumesAfterItsLastEvent(t *testing.T) {
	const resumed = "/stream-resume/a"
	cases := map[string]struct {
		answer callResult
		after  int
		cut    bool
	}{
		"cut":                      {callResult{path: resumed, status: 200, body: "id: 1\ndata: token 1\n\nid: 2\nda"}, 1, true},
		"cut before any event":     {callResult{path: resumed, status: 200, body: ": no event yet\n\n"}, 0, false},
		"cut again before any":     {callResult{path: resumed, status: 200, resumedAfter: 3}, 3, true},
		"whole":                    {callResult{path: resumed, status: 200, complete: true, body: streamEvents(0)}, 0, false},
		"refused":                  {callResult{path: resumed, status: 503, resumedAfter: 3}, 0, false},
		"may not be sent again":    {callResult{path: "/stream/a", status: 200, body: "id: 1\n\n"}, 0, false},
		"cut after the last event": {callResult{path: resumed, status: 200, body: streamEvents(0)}, 5, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			after, cut := c.answer.resumePoint()
			require.Equal(t, c.cut, cut)
			if cut {
				require.Equal(t, c.after, after)
			}
		})
	}
}
