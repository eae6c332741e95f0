package sse_test

import (
	"fmt"
	"strings"

	"github.com/ivyhollow/ivyhollow/protocol/sse"
)

func Example() {
	var stream strings.Builder
	encoder := sse.NewEncoder(&stream)
	_ = encoder.Encode(sse.Event{Name: "token", ID: "0", Data: "two\nlines"})
	stream.WriteString("event: done\ndata: cut o") // the peer fails here

	decoder := sse.NewDecoder(strings.NewReader(stream.String()), sse.Limits{})
	for {
		event, err := decoder.Next()
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Printf("%s %s %q\n", event.Name, event.ID, event.Data)
	}
	// Output:
	// token 0 "two\nlines"
	// sse: stream ended inside an event
}
