package soak

import (
	"fmt"
	"strconv"
	"strings"
)

// unnumberedEvent is the event without an id that a target may send before it breaks off.
const unnumberedEvent = "data: token 1\n\n"

// streamEvents returns the events of a stream that follow the given one; 0 for all of them.
func streamEvents(after int) string {
	var text strings.Builder
	for i := after + 1; i <= eventsPerStream; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", i, i)
	}
	return text.String()
}

// withoutComments removes the comment lines of a stream, and the blank line after those that
// belong to no event. Everything else is unchanged.
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

// isPartial reports whether got is a valid part of a stream that broke off: its first events,
// optionally followed by one that the target sent without an id.
func isPartial(got, stream string) bool {
	if strings.HasPrefix(stream, got) {
		return true
	}
	numbered, ok := strings.CutSuffix(got, unnumberedEvent)
	return ok && strings.HasPrefix(stream, numbered) && (numbered == "" || strings.HasSuffix(numbered, "\n\n"))
}

// lastEventID returns the id of the last complete event; 0 if none has an id.
func lastEventID(body string) int {
	last := 0
	blocks := strings.Split(body, "\n\n")
	for _, block := range blocks[:len(blocks)-1] {
		for line := range strings.SplitSeq(block, "\n") {
			if id, ok := strings.CutPrefix(line, "id: "); ok {
				last, _ = strconv.Atoi(id) // the body check finds an invalid id
			}
		}
	}
	return last
}
