package sse

import (
	"bufio"
	"bytes"
	"io"
	"strings"
)

const (
	readBuffer = 4 << 10
	utf8BOM    = "\xef\xbb\xbf"
)

// Decoder reads the events of one stream. It is not safe for concurrent use.
type Decoder struct {
	r      *bufio.Reader
	limits Limits
	line   []byte
	// skipLF is set after a carriage return: a line feed that follows belongs to
	// the same line ending, and waiting for it would delay the event.
	skipLF     bool
	bomChecked bool
	err        error
}

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader, limits Limits) *Decoder {
	if limits.Line <= 0 {
		limits.Line = DefaultMaxLine
	}
	if limits.Event <= 0 {
		limits.Event = DefaultMaxEvent
	}
	return &Decoder{r: bufio.NewReaderSize(r, readBuffer), limits: limits}
}

// partialEvent is an event whose blank line has not been read yet.
type partialEvent struct {
	name, id string
	data     strings.Builder
	hasData  bool
	size     int
	// hasField is set once any field of the event was read.
	hasField bool
}

// Next returns the next event with data. It returns io.EOF if the stream ends
// between two events and ErrTruncated if it ends inside one.
func (d *Decoder) Next() (Event, error) {
	if d.err != nil {
		return Event{}, d.err
	}
	event, err := d.next()
	d.err = err
	return event, err
}

func (d *Decoder) next() (Event, error) {
	var p partialEvent
	for {
		line, err := d.readLine()
		if err == io.EOF && (p.hasField || len(line) > 0) {
			// A peer that fails during a write leaves a prefix of an event,
			// which may be well-formed. Only the blank line proves that the
			// event is complete, so an event without it is discarded.
			return Event{}, ErrTruncated
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) > 0 {
			if err := d.field(&p, line); err != nil {
				return Event{}, err
			}
			continue
		}
		if p.hasData {
			return Event{Name: p.name, ID: p.id, Data: p.data.String()}, nil
		}
		p = partialEvent{}
	}
}

// field adds a non-blank line to the event.
func (d *Decoder) field(p *partialEvent, line []byte) error {
	if line[0] == ':' {
		return nil
	}
	p.hasField = true
	p.size += len(line)
	if p.size > d.limits.Event {
		return ErrEventTooLarge
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "event":
		p.name = string(value)
	case "data":
		if p.hasData {
			p.data.WriteByte('\n')
		}
		p.hasData = true
		p.data.Write(value)
	case "id":
		if !bytes.ContainsRune(value, 0) {
			p.id = string(value)
		}
	}
	return nil
}

// readLine returns the next line without its line ending. The line is valid until
// the next call. With io.EOF it returns the bytes after the last line ending.
func (d *Decoder) readLine() ([]byte, error) {
	d.line = d.line[:0]
	for {
		c, err := d.r.ReadByte()
		if err != nil {
			return d.stripBOM(), err
		}
		if c == '\n' && d.skipLF {
			d.skipLF = false
			continue
		}
		d.skipLF = c == '\r'
		if c == '\n' || c == '\r' {
			return d.stripBOM(), nil
		}
		if len(d.line) == d.limits.Line {
			return nil, ErrLineTooLong
		}
		d.line = append(d.line, c)
	}
}

// stripBOM removes the byte order mark at the start of a stream, if any.
func (d *Decoder) stripBOM() []byte {
	if d.bomChecked {
		return d.line
	}
	d.bomChecked = true
	return bytes.TrimPrefix(d.line, []byte(utf8BOM))
}
