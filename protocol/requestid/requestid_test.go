package requestid

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNextNamesInstanceAndIncarnation(t *testing.T) {
	s := NewGenerator("entry-1", 42)
	a, b := s.Next(), s.Next()
	require.NotEqual(t, a, b)
	id, err := Parse(a)
	require.NoError(t, err)
	require.Equal(t, "entry-1", id.Instance)
	require.EqualValues(t, 42, id.Incarnation)
}

// An operator names an instance "entry-1.kochi-a", as the settings allow. Its
// callers then find no status under the ids that it gave them, and other
// instances can't pass the question on: the name's dot was read as the end of
// the name.
func TestParseOfNameWithDots(t *testing.T) {
	for _, name := range []string{"entry-1.kochi-a", "a.b.c", "a.1.b"} {
		id, err := Parse(NewGenerator(name, 42).Next())
		require.NoError(t, err, name)
		require.Equal(t, name, id.Instance)
		require.EqualValues(t, 42, id.Incarnation)
	}
}

// A caller asks for an id of its own making: it must be told that there is no such
// request, and no other instance be asked for it.
func TestParseRefusesWhatIsNotOurs(t *testing.T) {
	for _, bad := range []string{"", "a", "a.b", "a.!.c", ".1.c", "a.1.", "a.1.!.c", "a.1.b.", strings.Repeat("x", 500)} {
		_, err := Parse(bad)
		require.ErrorIs(t, err, ErrMalformed, bad)
	}
}
