package spread

import (
	"cmp"
	"slices"
	"time"
)

// loadOverhead bounds the encoded bytes of a LoadDigest without its origin and
// body.
const loadOverhead = 32

// loadTable keeps the latest digest of each origin.
type loadTable struct {
	self     string
	byOrigin map[string]*loadEntry
}

// loadEntry is the digest of one origin as it was received.
type loadEntry struct {
	LoadDigest
	received time.Time
	// relays counts how often the digest was sent in a relayed batch.
	relays int
}

func newLoadTable() loadTable {
	return loadTable{byOrigin: make(map[string]*loadEntry)}
}

// age returns the time since the origin produced the digest.
func (l *loadEntry) age(now time.Time) time.Duration {
	return time.Duration(l.AgeMillis)*time.Millisecond + now.Sub(l.received)
}

// put stores a digest if it is newer than the stored one and younger than
// LoadTTL.
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

// newer reports whether a is newer than b, a digest of the same origin.
func newer(a, b LoadDigest) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Seq, b.Seq)) > 0
}

// expire removes digests older than the TTL. This also frees the entries of
// instances that failed or left.
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

// Load is the load digest of one origin with its age.
type Load struct {
	Origin string
	Age    time.Duration
	Body   []byte
}

// Loads returns the digests of all origins, including this instance's own,
// sorted by origin.
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

// sendLoads sends load digests within MaxLoadBytes. If this instance's own digest
// fits for all other instances, each of them gets it, which gives the lowest age.
// Otherwise one peer gets this digest and those of others, so that the bytes stay
// the same and the age of the digests grows with the cluster's size.
func (s *Gossip) sendLoads(now time.Time, peers []string, size int) {
	own := s.loads.byOrigin[s.loads.self]
	fullMesh := len(peers) == size-1
	if own != nil && fullMesh && own.sizeBound()*len(peers) <= s.cfg.MaxLoadBytes {
		for _, to := range peers {
			s.send(to, &Loads{Digests: []LoadDigest{own.withCurrentAge(now)}})
		}
		return
	}
	if msg := s.relayBatch(now); len(msg.Digests) > 0 {
		s.send(peers[s.rng.IntN(len(peers))], msg)
	}
}

// relayBatch returns this instance's own digest, then those that were relayed
// least often, the youngest first.
func (s *Gossip) relayBatch(now time.Time) *Loads {
	msg := &Loads{}
	capacity := s.cfg.MaxLoadBytes
	for _, l := range s.loads.relayOrder(now) {
		capacity -= l.sizeBound()
		if capacity < 0 {
			break
		}
		l.relays++
		msg.Digests = append(msg.Digests, l.withCurrentAge(now))
	}
	return msg
}

// relayOrder returns the digests in the order in which they are to be relayed.
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

// withCurrentAge returns the digest with its age updated to now.
func (l *loadEntry) withCurrentAge(now time.Time) LoadDigest {
	d := l.LoadDigest
	d.AgeMillis = uint32(l.age(now).Milliseconds())
	return d
}

// sizeBound returns an upper bound of the encoded bytes of the digest.
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
