package sse_test

import (
	"bytes"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ivyhollow/ivyhollow/protocol/sse"
)

var small = sse.Limits{Line: 32, Event: 48}

// decode reads a stream to its end, one byte at a time as from a slow peer.
func decode(input string, limits sse.Limits) ([]sse.Event, error) {
	decoder := sse.NewDecoder(iotest.OneByteReader(strings.NewReader(input)), limits)
	var events []sse.Event
	for {
		event, err := decoder.Next()
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

func TestDecode(t *testing.T) {
	x := []sse.Event{{Data: "x"}}
	cases := map[string]struct {
		input string
		want  []sse.Event
		err   error
	}{
		"empty":                        {"", nil, io.EOF},
		"all fields":                   {"event: e\nid: 1\ndata: x\n\n", []sse.Event{{Name: "e", ID: "1", Data: "x"}}, io.EOF},
		"no space after the colon":     {"data:x\n\n", x, io.EOF},
		"one space only is dropped":    {"data:  x\n\n", []sse.Event{{Data: " x"}}, io.EOF},
		"several data lines":           {"data: x\ndata: y\n\n", []sse.Event{{Data: "x\ny"}}, io.EOF},
		"data without a colon":         {"data\n\n", []sse.Event{{}}, io.EOF},
		"carriage returns":             {"data: x\r\rdata: x\r\n\r\n", []sse.Event{{Data: "x"}, {Data: "x"}}, io.EOF},
		"byte order mark":              {"\xef\xbb\xbfdata: x\n\n", x, io.EOF},
		"comment":                      {": c\n\ndata: x\n: c\n\n", x, io.EOF},
		"unknown field":                {"retry: 1\ndata: x\n\n", x, io.EOF},
		"id is not carried over":       {"id: 1\ndata: x\n\ndata: x\n\n", []sse.Event{{ID: "1", Data: "x"}, {Data: "x"}}, io.EOF},
		"id with a NUL":                {"id: a\x00\ndata: x\n\n", x, io.EOF},
		"event without data":           {"event: e\n\ndata: x\n\n", x, io.EOF},
		"truncated before blank line":  {"data: x\n\ndata: y\n", x, sse.ErrTruncated},
		"truncated in a line":          {"data: x\n\ndata: y", x, sse.ErrTruncated},
		"truncated after the name":     {"event: done\n", nil, sse.ErrTruncated},
		"line at the limit":            {"data: " + strings.Repeat("x", 26) + "\n\n", []sse.Event{{Data: strings.Repeat("x", 26)}}, io.EOF},
		"line over the limit":          {"data: " + strings.Repeat("x", 27) + "\n\n", nil, sse.ErrLineTooLong},
		"event over the limit":         {strings.Repeat("data: x\n", 7) + "\n", nil, sse.ErrEventTooLarge},
		"unknown fields have no limit": {strings.Repeat("f: x\n\n", 100), nil, io.EOF},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			events, err := decode(c.input, small)
			require.ErrorIs(t, err, c.err)
			require.Equal(t, c.want, events)
		})
	}
}

// If the line feed of a CR LF pair has not arrived yet, the event is complete, and
// waiting for the line feed would delay a token until the next one.
func TestEventIsNotDelayedForLineFeed(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	go func() { _, _ = writer.Write([]byte("data: x\r\n\r")) }()
	event, err := sse.NewDecoder(reader, small).Next()
	require.NoError(t, err)
	require.Equal(t, "x", event.Data)
}

// If a token of a model contains line endings or the text of a field, an encoder
// without escaping would emit events that the target never sent.
func TestEventsRoundTrip(t *testing.T) {
	text := rapid.StringOf(rapid.SampledFrom([]rune("ab: \r\n\x00é")))
	rapid.Check(t, func(t *rapid.T) {
		var stream bytes.Buffer
		encoder := sse.NewEncoder(&stream)
		var want []sse.Event
		for range rapid.IntRange(0, 5).Draw(t, "events") {
			event := sse.Event{Name: text.Draw(t, "name"), ID: text.Draw(t, "id"), Data: text.Draw(t, "data")}
			if strings.ContainsAny(event.Name+event.ID, "\r\n\x00") {
				require.ErrorIs(t, encoder.Encode(event), sse.ErrBadField)
				continue
			}
			require.NoError(t, encoder.Encode(event))
			require.NoError(t, encoder.Comment("c"))
			event.Data = strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(event.Data)
			want = append(want, event)
		}
		require.ErrorIs(t, encoder.Comment("a\nb"), sse.ErrBadField)
		events, err := decode(stream.String(), sse.Limits{})
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, want, events)
	})
}

// FuzzDecode checks that no input makes the decoder exceed its limits, that decoded
// events survive a round trip, and that a truncated stream yields a prefix of the
// events and never a different event.
func FuzzDecode(f *testing.F) {
	f.Add("event: token\nid: 0\ndata: {}\n\n", 9)
	f.Add("data: x\r\rdata: y\r\n\r\n: c\n\n", 8)
	f.Add("\xef\xbb\xbfdata\n\nid: \x00\ndata:", 3)
	f.Fuzz(func(t *testing.T, input string, cut int) {
		events, err := decode(input, small)
		require.Error(t, err)
		var again bytes.Buffer
		encoder := sse.NewEncoder(&again)
		for _, event := range events {
			require.LessOrEqual(t, len(event.Name)+len(event.ID)+len(event.Data), small.Event)
			if !strings.ContainsAny(event.Name, "\x00") {
				require.NoError(t, encoder.Encode(event))
			}
		}
		if !strings.Contains(input, "\x00") {
			back, err := decode(again.String(), sse.Limits{})
			require.ErrorIs(t, err, io.EOF)
			require.Equal(t, events, back)
		}
		cut = max(0, min(cut, len(input)))
		prefix, _ := decode(input[:cut], small)
		require.LessOrEqual(t, len(prefix), len(events))
		require.True(t, slices.Equal(events[:len(prefix)], prefix))
	})
}
