package requestid

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNextContainsInstanceAndIncarnation(t *testing.T) {
	g := NewGenerator("entry-1", 42)
	a, b := g.Next(), g.Next()
	require.NotEqual(t, a, b)
	id, err := Parse(a)
	require.NoError(t, err)
	require.Equal(t, "entry-1", id.Instance)
	require.EqualValues(t, 42, id.Incarnation)
}

// The settings allow dots in the name of an instance, such as "entry-1.kochi-a". If
// Parse took the dot for the end of the name, callers would find no status under
// the ids of that instance, and other instances could not forward the query.
func TestParseNameWithDots(t *testing.T) {
	for _, name := range []string{"entry-1.kochi-a", "a.b.c", "a.1.b"} {
		id, err := Parse(NewGenerator(name, 42).Next())
		require.NoError(t, err, name)
		require.Equal(t, name, id.Instance)
		require.EqualValues(t, 42, id.Incarnation)
	}
}

// A query for an id that no instance generated must be reported as an unknown
// request, and must not be forwarded to another instance.
func TestParseRejectsForeignIDs(t *testing.T) {
	for _, bad := range []string{"", "a", "a.b", "a.!.c", ".1.c", "a.1.", "a.1.!.c", "a.1.b.", strings.Repeat("x", 500)} {
		_, err := Parse(bad)
		require.ErrorIs(t, err, ErrMalformed, bad)
	}
}
