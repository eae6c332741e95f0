package sse_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/protocol/sse"
)

// A stream arrives cut at any place. Whole events come out byte for byte, as soon as
// their last byte is there, and an event that is torn stays behind.
func TestSplitterCutsAtEvents(t *testing.T) {
	streams := []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
		"version: 3\nid: 1\ndata: a\ndata: b\n\n:comment\n\nid: 2\ndata:\n\n",
	}
	for _, stream := range streams {
		for cut := range len(stream) {
			s := sse.NewSplitter(0, "")
			var got strings.Builder
			for _, part := range []string{stream[:cut], stream[cut:]} {
				whole, err := s.Add([]byte(part))
				require.NoError(t, err)
				got.Write(whole)
			}
			require.Equal(t, stream, got.String())
			require.Equal(t, "2", s.LastID())
			require.Empty(t, s.Torn())
		}
	}
}

func TestSplitterKeepsWhatIsTorn(t *testing.T) {
	s := sse.NewSplitter(0, "")
	whole, err := s.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: to"))
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: a\n\n", string(whole))
	require.Equal(t, "1", s.LastID())
	require.Equal(t, "id: 2\ndata: to", string(s.Torn()))
}

func TestSplitterBoundsAnEvent(t *testing.T) {
	s := sse.NewSplitter(16, "")
	_, err := s.Add([]byte("data: " + strings.Repeat("x", 20)))
	require.ErrorIs(t, err, sse.ErrEventTooLarge)
}

// TestSplitterKeepsTheIDToGoOnBehind guards against a stream that begins anew after a part
// without events.
func TestSplitterKeepsTheIDToGoOnBehind(t *testing.T) {
	s := sse.NewSplitter(0, "7")
	_, err := s.Add([]byte(": comment\n\n"))
	require.NoError(t, err)
	require.Equal(t, "7", s.LastID())
}
