package soak

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/platform/standin"
)

// TestChecksOfBodies guards against a check that takes an answer for a whole one which isn't.
func TestChecksOfBodies(t *testing.T) {
	const first = "id: 1\ndata: token 1\n\n"
	cases := map[string]struct {
		answer answer
		broken bool
	}{
		"whole":                      {answer{path: "/stream/a", whole: true, body: events(0)}, false},
		"whole, with a comment":      {answer{path: "/stream/a", whole: true, body: first + ": no event yet\n\n" + events(1)}, false},
		"short":                      {answer{path: "/stream/a", whole: true, body: first}, true},
		"empty":                      {answer{path: "/stream/a", whole: true}, true},
		"failure at its end":         {answer{path: "/stream/a", whole: true, body: first + "failed"}, true},
		"event twice":                {answer{path: "/stream/a", whole: true, body: first + events(0)}, true},
		"second answer":              {answer{path: "/stream/a", whole: true, body: events(0) + "HTTP/1.1 200 OK\r\n\r\n" + events(0)}, true},
		"cut":                        {answer{path: "/stream/a", body: first}, false},
		"cut, event twice":           {answer{path: "/stream/a", body: first + first}, true},
		"the rest":                   {answer{path: "/stream-resume/a", after: 1, whole: true, body: events(1)}, false},
		"nothing left":               {answer{path: "/stream-resume/a", after: 5, whole: true}, false},
		"all instead of the rest":    {answer{path: "/stream-resume/a", after: 1, whole: true, body: events(0)}, true},
		"less than the rest":         {answer{path: "/stream-resume/a", after: 1, whole: true, body: events(2)}, true},
		"cut, not behind the last":   {answer{path: "/stream-resume/a", after: 1, body: first}, true},
		"plain":                      {answer{path: "/get/a", id: "1", whole: true, body: "answer to 1"}, false},
		"plain, another's":           {answer{path: "/get/a", id: "1", whole: true, body: "answer to 2"}, true},
		"plain, with a comment":      {answer{path: "/get/a", id: "1", whole: true, body: ": c\n\nanswer to 1"}, true},
		"plain, cut":                 {answer{path: "/get/a", id: "1", body: "answer"}, false},
		"plain, cut, of another one": {answer{path: "/get/a", id: "1", body: "wrong"}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := &world{conduct: newConduct(1)}
			c.answer.status = http.StatusOK
			w.checkAnswer(c.answer, nil)
			require.Equal(t, c.broken, len(w.broken) > 0, w.broken)
		})
	}
}

// TestChecksWhereAStreamGoesOn guards against a target that is told to go on before the
// last event of the caller.
func TestChecksWhereAStreamGoesOn(t *testing.T) {
	for asked, broken := range map[int]bool{0: true, 1: true, 2: false, 3: false} {
		w := &world{conduct: newConduct(1)}
		header := standin.Call{ID: "1", LastEvent: asked}.Header()
		header.Del("Authorization")
		header.Set("Tenant", "account-1")
		a := answer{id: "1", path: "/stream-resume/a", after: 2}
		arrival := standin.Arrival{ID: "1", Path: a.path, Body: "body of 1", Header: header}
		w.checkArrivals("1", map[string]answer{"1": a}, []standin.Arrival{arrival}, nil)
		require.Equal(t, broken, len(w.broken) > 0, "%d: %v", asked, w.broken)
	}
}

// TestCallerGoesOnBehindItsLastEvent guards against a caller that asks for the rest of
// nothing, or forgets what earlier answers brought.
func TestCallerGoesOnBehindItsLastEvent(t *testing.T) {
	const resumed = "/stream-resume/a"
	cases := map[string]struct {
		answer answer
		after  int
		cut    bool
	}{
		"cut":                       {answer{path: resumed, status: 200, body: "id: 1\ndata: token 1\n\nid: 2\nda"}, 1, true},
		"cut before any event":      {answer{path: resumed, status: 200, body: ": no event yet\n\n"}, 0, false},
		"cut again before any":      {answer{path: resumed, status: 200, after: 3}, 3, true},
		"whole":                     {answer{path: resumed, status: 200, whole: true, body: events(0)}, 0, false},
		"refused":                   {answer{path: resumed, status: 503, after: 3}, 0, false},
		"may not be sent again":     {answer{path: "/stream/a", status: 200, body: "id: 1\n\n"}, 0, false},
		"cut behind the last event": {answer{path: resumed, status: 200, body: events(0)}, 5, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			after, cut := c.answer.brokeOff()
			require.Equal(t, c.cut, cut)
			if cut {
				require.Equal(t, c.after, after)
			}
		})
	}
}
