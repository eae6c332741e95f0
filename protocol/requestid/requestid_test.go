package requestid

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNextNamesInstanceAndIncarnation(t *testing.T) {
	s := NewSource("entry-1", 42)
	a, b := s.Next(), s.Next()
	require.NotEqual(t, a, b)
	id, err := Parse(a)
	require.NoError(t, err)
	require.Equal(t, "entry-1", id.Instance)
	require.EqualValues(t, 42, id.Incarnation)
}

func TestParseRefusesWhatIsNotOurs(t *testing.T) {
	for _, bad := range []string{"", "a", "a.b", "a.!.c", ".1.c", "a.1.", "a.1.b.c", strings.Repeat("x", 500)} {
		_, err := Parse(bad)
		require.ErrorIs(t, err, ErrMalformed, bad)
	}
}
