package sse

import (
	"bytes"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrBadField means that a name, an id or a comment contains a line ending or a
// NUL, which would let its text inject other events into the stream.
var ErrBadField = errors.New("sse: line end or NUL in a field")

const unsafeInField = "\r\n\x00"

// Encoder writes the events of one stream. It is not safe for concurrent use.
type Encoder struct {
	w   io.Writer
	buf bytes.Buffer
}

// NewEncoder returns an encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{w: w}
}

// Encode writes the event with a single Write. Line endings of any kind within the
// data reach the reader as line feeds.
func (e *Encoder) Encode(event Event) error {
	if strings.ContainsAny(event.Name+event.ID, unsafeInField) {
		return ErrBadField
	}
	e.buf.Reset()
	e.field("event", event.Name)
	e.field("id", event.ID)
	e.data(event.Data)
	e.buf.WriteByte('\n')
	_, err := e.w.Write(e.buf.Bytes())
	return err
}

// Comment writes a comment, which readers skip. It serves as a keep-alive.
func (e *Encoder) Comment(text string) error {
	if strings.ContainsAny(text, unsafeInField) {
		return ErrBadField
	}
	_, err := io.WriteString(e.w, ": "+text+"\n\n")
	return err
}

func (e *Encoder) field(name, value string) {
	if value == "" {
		return
	}
	e.buf.WriteString(name)
	e.buf.WriteString(": ")
	e.buf.WriteString(value)
	e.buf.WriteByte('\n')
}

func (e *Encoder) data(data string) {
	for {
		end := strings.IndexAny(data, "\r\n")
		if end < 0 {
			break
		}
		e.dataLine(data[:end])
		if strings.HasPrefix(data[end:], "\r\n") {
			end++
		}
		data = data[end+1:]
	}
	e.dataLine(data)
}

func (e *Encoder) dataLine(line string) {
	e.buf.WriteString("data: ")
	e.buf.WriteString(line)
	e.buf.WriteByte('\n')
}
