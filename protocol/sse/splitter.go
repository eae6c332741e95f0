package sse

import (
	"bytes"
	"strconv"
)

// Splitter cuts a stream at the ends of its events and leaves their bytes as
// they are. It is not safe for concurrent use.
type Splitter struct {
	pending []byte
	// scanned is how far pending was searched for the end of an event.
	scanned int
	// limit bounds an event, in bytes.
	limit  int
	lastID string
	events int
	// unnumbered tells that an event without an id came after the last one that had one.
	eventWithoutID bool
}

// NewSplitter returns a splitter for events up to limit bytes; 0 is
// DefaultMaxEvent. The stream goes on behind the event of the id after; empty for a
// stream from its begin.
func NewSplitter(limit int, after string) *Splitter {
	if limit <= 0 {
		limit = DefaultMaxEvent
	}
	return &Splitter{limit: limit, lastID: after}
}

// Add takes in bytes and returns the whole events that there are now, up to the first
// that is at fault. The slice is valid until the next call. ErrEventTooLarge tells of an
// event over the limit, ErrOutOfOrder of one whose id doesn't rise, and ErrNoEvent of
// something else in its place; after any of them the stream can't be read further.
func (s *Splitter) Add(p []byte) ([]byte, error) {
	s.pending = append(s.pending, p...)
	end := 0
	var fault error
	for fault == nil {
		n := s.eventEnd(end)
		if n < 0 {
			break
		}
		if fault = s.acceptEvent(s.pending[end:n]); fault == nil {
			end = n
		}
	}
	if fault == nil && len(s.pending)-end > s.limit {
		fault = ErrEventTooLarge
	}
	whole := s.pending[:end:end]
	s.pending = s.pending[end:]
	s.scanned = max(s.scanned-end, 0)
	return whole, fault
}

// eventEnd returns where the event that begins at from ends, -1 if it has not
// come whole.
func (s *Splitter) eventEnd(from int) int {
	for i := max(from, s.scanned); i < len(s.pending); i++ {
		if s.pending[i] != '\n' {
			continue
		}
		line := s.pending[from:i]
		blank := len(line) == 0 || bytes.HasSuffix(line, []byte("\n")) || bytes.HasSuffix(line, []byte("\n\r"))
		if blank || bytes.Equal(line, []byte("\r")) {
			s.scanned = i + 1
			return i + 1
		}
	}
	s.scanned = len(s.pending)
	return -1
}

// note checks an event against those before it and remembers its id.
func (s *Splitter) acceptEvent(event []byte) error {
	id, hasData, isEvent := readFields(event)
	switch {
	case !isEvent:
		return ErrNotEvent
	case id == "" && !hasData:
		return nil
	case id == "":
		s.eventWithoutID = true
		s.events++
		return nil
	case s.lastID != "" && !mayFollow(s.lastID, id):
		return ErrOutOfOrder
	}
	s.lastID, s.eventWithoutID = id, false
	s.events++
	return nil
}

// readFields reads the fields of an event that matter here. What has lines, but neither a
// comment nor a field of any event, is none: the head of another answer, say.
func readFields(event []byte) (id string, hasData, isEvent bool) {
	isEvent = len(bytes.TrimSpace(event)) == 0
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		name, value, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(":"))
		switch string(name) {
		case "id":
			id = string(bytes.TrimSpace(value))
		case "data":
			hasData = true
		case "event", "retry":
		case "":
			if len(line) == 0 || line[0] != ':' {
				continue
			}
		default:
			continue
		}
		isEvent = true
	}
	return id, hasData, isEvent
}

// rises tells whether an id may follow another. Ids that are no numbers only have to
// differ.
func mayFollow(last, id string) bool {
	a, errA := strconv.ParseUint(last, 10, 64)
	b, errB := strconv.ParseUint(id, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return b > a
}

// LastID returns the id of the last whole event that had one, before any the one that the
// stream goes on behind.
func (s *Splitter) LastID() string { return s.lastID }

// Resumable tells whether the stream can go on behind LastID: no event without an id has
// come since.
func (s *Splitter) Resumable() bool { return !s.eventWithoutID }

// Events returns the number of whole events so far; comments are none.
func (s *Splitter) Events() int { return s.events }

// Torn returns the bytes of an event that has not come whole.
func (s *Splitter) Partial() []byte { return s.pending }
