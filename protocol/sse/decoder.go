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
	// skipLF is set after a carriage return: a line feed that follows belongs
	// to the same line end, and waiting for it would delay the event.
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

// pending is the event whose blank line has not come yet.
type partialEvent struct {
	name, id string
	data     strings.Builder
	hasData  bool
	size     int
	// open is set once any field of the event was read.
	hasField bool
}

// Next returns the next event with data. It returns io.EOF when the stream
// ended between two events and ErrTruncated when it ended inside one.
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
			// A peer that dies while it writes leaves a prefix of an event,
			// which may parse well. Only the blank line proves that the
			// event is whole, so what came without it is dropped.
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

// field adds one line that is not blank to the event.
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

// readLine returns the next line without its end. The line is valid until the
// next call. With io.EOF it returns what came after the last line end.
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

// stripBOM removes the byte order mark that may open a stream.
func (d *Decoder) stripBOM() []byte {
	if d.bomChecked {
		return d.line
	}
	d.bomChecked = true
	return bytes.TrimPrefix(d.line, []byte(utf8BOM))
}
