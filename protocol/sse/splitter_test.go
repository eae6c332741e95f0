package sse_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/protocol/sse"
)

// A stream may be split at any position. Complete events must be returned unchanged as
// soon as their last byte arrives, and a partial event must be retained.
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
				complete, err := s.Add([]byte(part))
				require.NoError(t, err)
				got.Write(complete)
			}
			require.Equal(t, stream, got.String())
			require.Equal(t, "2", s.LastID())
			require.Empty(t, s.Partial())
		}
	}
}

func TestSplitterRetainsPartialEvent(t *testing.T) {
	s := sse.NewSplitter(0, "")
	complete, err := s.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: to"))
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: a\n\n", string(complete))
	require.Equal(t, "1", s.LastID())
	require.Equal(t, "id: 2\ndata: to", string(s.Partial()))
}

func TestSplitterBoundsAnEvent(t *testing.T) {
	s := sse.NewSplitter(16, "")
	_, err := s.Add([]byte("data: " + strings.Repeat("x", 20)))
	require.ErrorIs(t, err, sse.ErrEventTooLarge)
}

// A stream that was resumed and contains no events must not restart from the beginning.
func TestSplitterKeepsResumeID(t *testing.T) {
	s := sse.NewSplitter(0, "7")
	_, err := s.Add([]byte(": comment\n\n"))
	require.NoError(t, err)
	require.Equal(t, "7", s.LastID())
}

// Duplicate events, events of two runs and the head of another response between events
// must be rejected.
func TestSplitterRejectsInvalidSuccessors(t *testing.T) {
	cases := map[string]struct {
		after, stream, complete string
		err                     error
	}{
		"ids increase":              {"", "id: 1\ndata: a\n\nid: 3\ndata: b\n\n", "id: 1\ndata: a\n\nid: 3\ndata: b\n\n", nil},
		"ids increase as numbers":   {"", "id: 9\n\nid: 10\n\n", "id: 9\n\nid: 10\n\n", nil},
		"duplicate id":              {"", "id: 1\n\nid: 1\n\n", "id: 1\n\n", sse.ErrOutOfOrder},
		"id decreases":              {"", "id: 2\n\nid: 1\n\nid: 3\n\n", "id: 2\n\n", sse.ErrOutOfOrder},
		"resumes after the id":      {"4", "id: 5\n\n", "id: 5\n\n", nil},
		"restarts from the first":   {"4", "id: 1\n\n", "", sse.ErrOutOfOrder},
		"repeats the last":          {"4", "id: 4\n\n", "", sse.ErrOutOfOrder},
		"text ids":                  {"", "id: b\n\nid: a\n\nid: a\n\n", "id: b\n\nid: a\n\n", sse.ErrOutOfOrder},
		"comments and empty lines":  {"1", ": c\n\n\nretry: 5\n\nid: 2\n\n", ": c\n\n\nretry: 5\n\nid: 2\n\n", nil},
		"unknown field of an event": {"", "version: 3\nid: 1\n\n", "version: 3\nid: 1\n\n", nil},
		"head of another response":  {"", "id: 1\n\nHTTP/1.1 200 OK\r\nRequest-Id: x\r\n\r\nid: 2\n\n", "id: 1\n\n", sse.ErrNotEvent},
		"text that is no event":     {"", "failed: badly\n\n", "", sse.ErrNotEvent},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := sse.NewSplitter(0, c.after)
			complete, err := s.Add([]byte(c.stream))
			require.ErrorIs(t, err, c.err)
			require.Equal(t, c.complete, string(complete))
		})
	}
}

// A stream must not be resumed after an event without an id: the event would be sent
// twice.
func TestSplitterReportsWhetherStreamIsResumable(t *testing.T) {
	s := sse.NewSplitter(0, "")
	for _, step := range []struct {
		text      string
		resumable bool
	}{
		{": comment\n\n", true}, {"id: 1\ndata: a\n\n", true}, {"data: b\n\n", false},
		{": comment\n\n", false}, {"id: 2\ndata: c\n\n", true},
	} {
		_, err := s.Add([]byte(step.text))
		require.NoError(t, err)
		require.Equal(t, step.resumable, s.Resumable(), step.text)
	}
}

// A stream that contains only comments must not be mistaken for a complete one.
func TestSplitterCountsEvents(t *testing.T) {
	for text, want := range map[string]int{
		"": 0, ": comment\n\n": 0, "retry: 5\n\n": 0, "id: 1\n\n": 1, "data: a\n\n": 1, "id: 1\ndata: a\n\n: c\n\nid: 2\n\n": 2, "id: 1": 0,
	} {
		s := sse.NewSplitter(0, "")
		_, err := s.Add([]byte(text))
		require.NoError(t, err)
		require.Equal(t, want, s.Events(), text)
	}
}
