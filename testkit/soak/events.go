package soak

import (
	"fmt"
	"strconv"
	"strings"
)

// events is a stream behind one of its events; 0 for all of it.
func events(after int) string {
	var text strings.Builder
	for i := after + 1; i <= eventsOfAStream; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", i, i)
	}
	return text.String()
}

// isPart tells whether a caller may have this much of a stream when it breaks off: its
// first events.
func isPart(got, stream string) bool { return strings.HasPrefix(stream, got) }

// lastEvent is the id of the last whole event; 0 if there is none with an id.
func lastEvent(body string) int {
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
