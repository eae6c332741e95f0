package sse

import "bytes"

// Splitter cuts a stream at the ends of its events and leaves their bytes as
// they are. It is not safe for concurrent use.
type Splitter struct {
	pending []byte
	// scanned is how far pending was searched for the end of an event.
	scanned int
	// limit bounds an event, in bytes.
	limit  int
	lastID string
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

// Add takes in bytes and returns the whole events that there are now. The slice
// is valid until the next call. ErrEventTooLarge tells of an event over the limit.
func (s *Splitter) Add(p []byte) ([]byte, error) {
	s.pending = append(s.pending, p...)
	end := 0
	for {
		n := s.eventEnd(end)
		if n < 0 {
			break
		}
		s.note(s.pending[end:n])
		end = n
	}
	if len(s.pending)-end > s.limit {
		return nil, ErrEventTooLarge
	}
	whole := s.pending[:end:end]
	s.pending = s.pending[end:]
	s.scanned = max(s.scanned-end, 0)
	return whole, nil
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

// note remembers the id of an event.
func (s *Splitter) note(event []byte) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// LastID returns the id of the last whole event that had one, before any the one that the
// stream goes on behind.
func (s *Splitter) LastID() string { return s.lastID }

// Torn returns the bytes of an event that has not come whole.
func (s *Splitter) Torn() []byte { return s.pending }
