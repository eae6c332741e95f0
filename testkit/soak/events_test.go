package soak

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOnlyCommentsAreRemoved prevents a check that overlooks missing or additional bytes in a
// stream.
func TestOnlyCommentsAreRemoved(t *testing.T) {
	const one, two = "id: 1\ndata: token 1\n\n", "id: 2\ndata: token 2\n\n"
	for body, want := range map[string]string{
		"":                                    "",
		one + two:                             one + two,
		one + ": c\n\n" + two:                 one + two,
		": c\n: d\n\n" + one:                  one,
		"id: 1\n: c\ndata: token 1\n\n":       one,
		one + "\n" + two:                      one + "\n" + two,
		one + " : c\n\n":                      one + " : c\n\n",
		one + ": torn":                        one + ": torn",
		one + "failed":                        one + "failed",
		one + "HTTP/1.1 200 OK\r\n\r\n" + two: one + "HTTP/1.1 200 OK\r\n\r\n" + two,
	} {
		require.Equal(t, want, withoutComments(body), "%q", body)
	}
}

// TestPartialStreams prevents a check that overlooks duplicate or missing events in a response
// that broke off.
func TestPartialStreams(t *testing.T) {
	const one, two, three = "id: 1\ndata: token 1\n\n", "id: 2\ndata: token 2\n\n", "id: 3\ndata: token 3\n\n"
	cases := map[string]struct {
		got  string
		part bool
		last int
	}{
		"nothing":               {"", true, 0},
		"first events":          {one + two, true, 2},
		"torn":                  {one + "id: 2\ndata", true, 1},
		"after no id":           {one + unnumberedEvent, true, 1},
		"no id alone":           {unnumberedEvent, true, 0},
		"no id within an event": {one + "id: 2\n" + unnumberedEvent, false, 0},
		"no id twice":           {unnumberedEvent + unnumberedEvent, false, 0},
		"more after no id":      {unnumberedEvent + one, false, 0},
		"twice":                 {one + one, false, 0},
		"missing":               {one + three, false, 0},
		"not from the first":    {two, false, 0},
		"another answer":        {one + "failed", false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.part, isPartial(c.got, streamEvents(0)))
			if c.part {
				require.Equal(t, c.last, lastEventID(c.got))
			}
		})
	}
}
