// Package sse reads and writes streams of text/event-stream as the HTML
// standard defines them, with bounds on what a peer can make the reader hold.
//
// The decoder is stricter than a browser in one point: a stream that ends
// inside an event is an error, so that an answer that was cut off is never
// taken for a whole one.
package sse

import "github.com/cockroachdb/errors"

// ContentType is the media type of an event stream.
const ContentType = "text/event-stream"

// Bounds used when Limits leaves one at 0, in bytes.
const (
	DefaultMaxLine  = 256 << 10
	DefaultMaxEvent = 1 << 20
)

// Errors of the decoder and the splitter. After any of them the stream can't be read further.
var (
	// ErrTruncated says that the stream ended inside an event.
	ErrTruncated = errors.New("sse: stream ended inside an event")
	// ErrLineTooLong says that a line is longer than Limits.Line.
	ErrLineTooLong = errors.New("sse: line too long")
	// ErrEventTooLarge says that an event holds more than Limits.Event.
	ErrEventTooLarge = errors.New("sse: event too large")
	// ErrOutOfOrder says that an event's id doesn't rise.
	ErrOutOfOrder = errors.New("sse: event out of order")
	// ErrNoEvent says that something else came where an event was due.
	ErrNotEvent = errors.New("sse: no event where one is due")
)

// Event is one event of a stream.
type Event struct {
	// Name is the event's type; empty means "message".
	Name string
	// ID is the id given with this very event; unlike a browser the decoder
	// does not carry it over to the next one.
	ID string
	// Data is the payload; several data lines are joined by line feeds.
	Data string
}

// Limits bounds what the decoder holds, in bytes; 0 means the default.
type Limits struct {
	Line  int
	Event int
}
