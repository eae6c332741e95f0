// Package sse reads and writes text/event-stream streams as defined by the HTML
// standard, with limits on the memory that a peer can make the reader use.
//
// The decoder is stricter than a browser in one respect: a stream that ends
// inside an event is an error, so that a truncated response is never mistaken
// for a complete one.
package sse

import "github.com/cockroachdb/errors"

// ContentType is the media type of an event stream.
const ContentType = "text/event-stream"

// Default limits, in bytes.
const (
	DefaultMaxLine  = 256 << 10
	DefaultMaxEvent = 1 << 20
)

// Errors of Decoder and Splitter. After any of them the stream cannot be read
// further.
var (
	// ErrTruncated means that the stream ended inside an event.
	ErrTruncated = errors.New("sse: stream ended inside an event")
	// ErrLineTooLong means that a line is longer than Limits.Line.
	ErrLineTooLong = errors.New("sse: line too long")
	// ErrEventTooLarge means that an event exceeds Limits.Event, or the limit of the
	// Splitter.
	ErrEventTooLarge = errors.New("sse: event too large")
	// ErrOutOfOrder means that the id of an event does not increase or, if one of the
	// two ids is not numeric, equals the previous id.
	ErrOutOfOrder = errors.New("sse: event out of order")
	// ErrNotEvent means that the stream contains something other than an event.
	ErrNotEvent = errors.New("sse: no event where one is due")
)

// Event is one event of a stream.
type Event struct {
	// Name is the event type; empty means "message".
	Name string
	// ID is the id field of this event. Unlike a browser, the decoder does not
	// carry it over to the next event.
	ID string
	// Data is the payload; several data lines are joined by line feeds.
	Data string
}

// Limits bounds the memory of a Decoder, in bytes; 0 means the default.
type Limits struct {
	Line  int
	Event int
}
