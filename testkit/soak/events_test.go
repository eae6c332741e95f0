package soak

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPartsOfAStream guards against a check that passes over events that come twice or are
// missing where an answer broke off.
func TestPartsOfAStream(t *testing.T) {
	const one, two, three = "id: 1\ndata: token 1\n\n", "id: 2\ndata: token 2\n\n", "id: 3\ndata: token 3\n\n"
	cases := map[string]struct {
		got  string
		part bool
		last int
	}{
		"nothing":            {"", true, 0},
		"first events":       {one + two, true, 2},
		"torn":               {one + "id: 2\ndata", true, 1},
		"twice":              {one + one, false, 0},
		"missing":            {one + three, false, 0},
		"not from the first": {two, false, 0},
		"another answer":     {one + "failed", false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.part, isPart(c.got, events(0)))
			if c.part {
				require.Equal(t, c.last, lastEvent(c.got))
			}
		})
	}
}
