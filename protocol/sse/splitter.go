package sse

import (
	"bytes"
	"strconv"
)

// Splitter splits a stream into complete events without changing their bytes. It
// is not safe for concurrent use.
type Splitter struct {
	pending []byte
	// scanned is the length of the prefix of pending that was searched for the end
	// of an event.
	scanned int
	// limit is the maximum size of an event, in bytes.
	limit  int
	lastID string
	events int
	// eventWithoutID is set if an event without an id followed the last event with
	// one.
	eventWithoutID bool
}

// NewSplitter returns a splitter for events of up to limit bytes; 0 means
// DefaultMaxEvent. The stream resumes after the event with the id after, which is
// empty for a stream from its start.
func NewSplitter(limit int, after string) *Splitter {
	if limit <= 0 {
		limit = DefaultMaxEvent
	}
	return &Splitter{limit: limit, lastID: after}
}

// Add appends bytes of the stream and returns the events that are now complete, up to
// the first invalid one. The slice is valid until the next call. Add returns
// ErrEventTooLarge for an event above the limit, ErrOutOfOrder for an event whose id
// may not follow the previous one, and ErrNotEvent for anything that is not an event;
// after any of these errors the stream cannot be read further.
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
	complete := s.pending[:end:end]
	s.pending = s.pending[end:]
	s.scanned = max(s.scanned-end, 0)
	return complete, fault
}

// eventEnd returns the end of the event that begins at from, or -1 if the event is
// not complete.
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

// acceptEvent checks an event against those before it and records its id.
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

// readFields returns the fields of an event that the splitter needs. Text that has lines
// but neither a comment nor an event field is not an event: for example the head of
// another HTTP response.
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

// mayFollow reports whether an event with the given id may follow the event with the id
// last. Two numeric ids must increase; otherwise they only have to differ.
func mayFollow(last, id string) bool {
	a, errA := strconv.ParseUint(last, 10, 64)
	b, errB := strconv.ParseUint(id, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return b > a
}

// LastID returns the id of the last complete event that had one, initially the id that
// the stream resumes after.
func (s *Splitter) LastID() string { return s.lastID }

// Resumable reports whether the stream can resume after LastID: no event without an id
// has followed it.
func (s *Splitter) Resumable() bool { return !s.eventWithoutID }

// Events returns the number of complete events so far, not counting comments.
func (s *Splitter) Events() int { return s.events }

// Partial returns the bytes of the event that is not complete.
func (s *Splitter) Partial() []byte { return s.pending }
