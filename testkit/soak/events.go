package soak

import (
	"fmt"
	"strconv"
	"strings"
)

// unnumbered is the event without an id that a target may send before it breaks off.
const unnumberedEvent = "data: token 1\n\n"

// events is a stream behind one of its events; 0 for all of it.
func streamEvents(after int) string {
	var text strings.Builder
	for i := after + 1; i <= eventsPerStream; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", i, i)
	}
	return text.String()
}

// withoutComments leaves out the comment lines of a stream, and the blank line behind
// those that are no part of an event. All else stays as it is.
func withoutComments(body string) string {
	var text, block strings.Builder
	comments := false
	for line := range strings.SplitAfterSeq(body, "\n") {
		switch {
		case strings.HasPrefix(line, ":") && strings.HasSuffix(line, "\n"):
			comments = true
		case line == "\n":
			if block.Len() > 0 || !comments {
				text.WriteString(block.String() + line)
			}
			block.Reset()
			comments = false
		default:
			block.WriteString(line)
		}
	}
	return text.String() + block.String()
}

// isPart tells whether a caller may have this much of a stream when it breaks off: its
// first events, and behind them one that its target sent without an id.
func isPartial(got, stream string) bool {
	if strings.HasPrefix(stream, got) {
		return true
	}
	numbered, ok := strings.CutSuffix(got, unnumberedEvent)
	return ok && strings.HasPrefix(stream, numbered) && (numbered == "" || strings.HasSuffix(numbered, "\n\n"))
}

// lastEvent is the id of the last whole event; 0 if there is none with an id.
func lastEventID(body string) int {
	last := 0
	blocks := strings.Split(body, "\n\n")
	for _, block := range blocks[:len(blocks)-1] {
		for line := range strings.SplitSeq(block, "\n") {
			if id, ok := strings.CutPrefix(line, "id: "); ok {
				last, _ = strconv.Atoi(id) // another id is found by the check
			}
		}
	}
	return last
}
