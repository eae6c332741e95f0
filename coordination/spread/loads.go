package spread

import (
	"cmp"
	"slices"
	"time"
)

// loadOverhead bounds the encoded bytes of a LoadDigest besides its texts.
const loadOverhead = 32

// loadTable keeps the latest digest of each origin.
type loadTable struct {
	self     string
	byOrigin map[string]*loadEntry
}

// load is one origin's digest as it was received.
type loadEntry struct {
	LoadDigest
	received time.Time
	relays   int
}

func newLoadTable() loadTable {
	return loadTable{byOrigin: make(map[string]*loadEntry)}
}

// age is the time since the origin made the digest.
func (l *loadEntry) age(now time.Time) time.Duration {
	return time.Duration(l.AgeMillis)*time.Millisecond + now.Sub(l.received)
}

// put keeps a digest if it is newer than the held one and not too old.
func (t *loadTable) put(now time.Time, d LoadDigest, cfg *Config) {
	if d.Origin == "" || d.Origin == t.self || len(d.Body) > cfg.MaxLoadBodyBytes {
		return
	}
	if time.Duration(d.AgeMillis)*time.Millisecond >= cfg.LoadTTL {
		return
	}
	old := t.byOrigin[d.Origin]
	if old == nil && len(t.byOrigin) >= cfg.MaxOrigins {
		return
	}
	if old != nil && !newer(d, old.LoadDigest) {
		return
	}
	t.byOrigin[d.Origin] = &loadEntry{LoadDigest: d, received: now}
}

// newer orders the digests of one origin.
func newer(a, b LoadDigest) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Seq, b.Seq)) > 0
}

// expire drops digests that are too old to be of use. It also bounds the table
// after instances have gone.
func (t *loadTable) expire(now time.Time, ttl time.Duration) {
	for origin, l := range t.byOrigin {
		if l.age(now) >= ttl {
			delete(t.byOrigin, origin)
		}
	}
}

// SetLoad replaces this instance's own digest.
func (s *Gossip) SetLoad(now time.Time, d LoadDigest) {
	if len(d.Body) > s.cfg.MaxLoadBodyBytes {
		return
	}
	s.loads.self = d.Origin
	s.loads.byOrigin[d.Origin] = &loadEntry{LoadDigest: d, received: now}
}

// Load is a digest and its age.
type Load struct {
	Origin string
	Age    time.Duration
	Body   []byte
}

// Loads returns the digests of all origins, this instance's own included, in
// the order of their names.
func (s *Gossip) Loads(now time.Time) []Load {
	out := make([]Load, 0, len(s.loads.byOrigin))
	for _, l := range s.loads.byOrigin {
		if age := l.age(now); age < s.cfg.LoadTTL {
			out = append(out, Load{Origin: l.Origin, Age: age, Body: l.Body})
		}
	}
	slices.SortFunc(out, func(a, b Load) int { return cmp.Compare(a.Origin, b.Origin) })
	return out
}

// sendLoads sends load digests within the bound of bytes: this instance's own
// to everyone while that fits, which is the freshest; else its own and those
// of others to one peer, so that the bytes stay the same and the digests grow
// older with the cluster's size.
func (s *Gossip) sendLoads(now time.Time, peers []string, size int) {
	own := s.loads.byOrigin[s.loads.self]
	everyone := len(peers) == size-1
	if own != nil && everyone && own.sizeBound()*len(peers) <= s.cfg.MaxLoadBytes {
		for _, to := range peers {
			s.send(to, &Loads{Digests: []LoadDigest{own.withCurrentAge(now)}})
		}
		return
	}
	if msg := s.relayBatch(now); len(msg.Digests) > 0 {
		s.send(peers[s.rng.IntN(len(peers))], msg)
	}
}

// relayed returns this instance's own digest and those that were sent the
// least, the youngest first.
func (s *Gossip) relayBatch(now time.Time) *Loads {
	msg := &Loads{}
	room := s.cfg.MaxLoadBytes
	for _, l := range s.loads.relayOrder(now) {
		room -= l.sizeBound()
		if room < 0 {
			break
		}
		l.relays++
		msg.Digests = append(msg.Digests, l.withCurrentAge(now))
	}
	return msg
}

// bySent returns the digests in the order in which they are to be relayed.
func (t *loadTable) relayOrder(now time.Time) []*loadEntry {
	list := make([]*loadEntry, 0, len(t.byOrigin))
	for _, l := range t.byOrigin {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b *loadEntry) int {
		return cmp.Or(
			compareBool(b.Origin == t.self, a.Origin == t.self),
			cmp.Compare(a.relays, b.relays),
			cmp.Compare(a.age(now), b.age(now)),
			cmp.Compare(a.Origin, b.Origin),
		)
	})
	return list
}

// aged returns the digest with its present age.
func (l *loadEntry) withCurrentAge(now time.Time) LoadDigest {
	d := l.LoadDigest
	d.AgeMillis = uint32(l.age(now).Milliseconds())
	return d
}

// size bounds the encoded bytes of the digest.
func (l *loadEntry) sizeBound() int { return loadOverhead + len(l.Origin) + len(l.Body) }

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
