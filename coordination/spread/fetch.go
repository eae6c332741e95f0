package spread

import "slices"

// maxFetchSources bounds the offers that wait while a record is fetched.
const maxFetchSources = 4

// fetch is a record that is being fetched from a peer.
type fetch struct {
	from string
	// waiting are the offers of other peers, the latest last. They serve if the fetch
	// fails or its record is outdated at its end.
	waiting []Fetch
}

// mustOffer reports whether a record is too large to be sent in a message.
func mustOffer(r Record, maxInline int) bool { return RecordSize(r) > maxInline }

// transferSize returns an upper bound of the encoded bytes of a record, or of its offer
// if the record must be offered.
func transferSize(r Record, maxInline int) int {
	if mustOffer(r, maxInline) {
		return RecordSize(Record{Kind: r.Kind, Name: r.Name})
	}
	return RecordSize(r)
}

// holds reports whether the revision of an offer or a later one is held.
func (s *Gossip) holds(o Offer) bool {
	r, ok := s.records.Get(o.Kind, o.Name)
	return ok && r.Revision >= o.Revision
}

// handleOffer fetches the record of an offer unless it is held. One fetch of a record
// runs at a time. It is not given up for a later revision: changes in quick succession
// would otherwise keep an instance from ever completing one.
func (s *Gossip) handleOffer(from string, o Offer) {
	if o.Size > MaxRecordBytes || s.holds(o) {
		return
	}
	key := recordKey{o.Kind, o.Name}
	f, running := s.fetches[key]
	if !running {
		s.startFetch(key, Fetch{From: from, Offer: o})
		return
	}
	f.waiting = slices.DeleteFunc(f.waiting, func(w Fetch) bool { return w.From == from })
	if len(f.waiting) == maxFetchSources {
		f.waiting = f.waiting[1:]
	}
	f.waiting = append(f.waiting, Fetch{From: from, Offer: o})
}

// startFetch emits a Fetch and keeps the offers that wait.
func (s *Gossip) startFetch(key recordKey, next Fetch) {
	f := s.fetches[key]
	if f == nil {
		f = &fetch{}
		s.fetches[key] = f
	}
	f.from = next.From
	s.actions = append(s.actions, next)
}

// Fetched reports the end of a Fetch, with the record unless it failed. The record is
// gossiped further, and the newest of the offers that wait is fetched if it is newer than
// what is now held. If all sources have failed, the next comparison finds others.
func (s *Gossip) Fetched(done Fetch, record Record, ok bool) []Action {
	key := recordKey{done.Offer.Kind, done.Offer.Name}
	f := s.fetches[key]
	if f == nil || f.from != done.From {
		return nil
	}
	if ok {
		s.accept(record, true)
	}
	waiting := slices.DeleteFunc(f.waiting, func(w Fetch) bool {
		return s.holds(w.Offer) || (!ok && w.From == done.From)
	})
	if len(waiting) == 0 {
		delete(s.fetches, key)
		return s.flush()
	}
	next := newestOffer(waiting)
	f.waiting = slices.DeleteFunc(waiting, func(w Fetch) bool { return w == next })
	s.startFetch(key, next)
	return s.flush()
}

// newestOffer returns the offer of the highest revision, the latest of several.
func newestOffer(waiting []Fetch) Fetch {
	newest := waiting[0]
	for _, w := range waiting[1:] {
		if w.Offer.Revision >= newest.Offer.Revision {
			newest = w
		}
	}
	return newest
}
