package spread

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Config holds the intervals and limits. Zero values take the defaults.
type Config struct {
	// PushInterval is the time between two rounds of rumours.
	PushInterval time.Duration
	// Fanout is the number of peers that receive rumours in one round.
	Fanout int
	// ExtraCopies, added to the natural logarithm of the cluster's size, is
	// how many copies of a record an instance sends.
	ExtraCopies int
	// PushBytesPerSecond bounds rumours, on average.
	PushBytesPerSecond int
	// MaxPushBytes bounds the records of one message. A larger record is offered,
	// and fetched by the peers that lack it.
	MaxPushBytes int
	// PullInterval is the time between two comparisons with a random peer.
	PullInterval time.Duration
	// RecoveryBytesPerSecond bounds, on average, what is sent to find and
	// repair differences. Nothing of it is used while instances agree.
	RecoveryBytesPerSecond int
	// LoadInterval is the time between two transmissions of load digests.
	LoadInterval time.Duration
	// MaxLoadBytes bounds the digests that are sent per LoadInterval.
	MaxLoadBytes int
	// LoadTTL is the age at which a digest expires.
	LoadTTL time.Duration
	// MaxLoadBodyBytes bounds the body of a digest.
	MaxLoadBodyBytes int
	// MaxOrigins bounds the origins whose digests are stored.
	MaxOrigins int
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		PushInterval:           100 * time.Millisecond,
		Fanout:                 2,
		ExtraCopies:            2,
		PushBytesPerSecond:     2000,
		MaxPushBytes:           16 << 10,
		PullInterval:           500 * time.Millisecond,
		RecoveryBytesPerSecond: 64 << 10,
		LoadInterval:           time.Second,
		MaxLoadBytes:           600,
		LoadTTL:                15 * time.Second,
		MaxLoadBodyBytes:       128,
		MaxOrigins:             1024,
	}
}

// withDefaults returns the configuration with zero fields set to their defaults.
func (c Config) withDefaults() Config {
	d := DefaultConfig()
	c.PushInterval = cmp.Or(c.PushInterval, d.PushInterval)
	c.Fanout = cmp.Or(c.Fanout, d.Fanout)
	c.ExtraCopies = cmp.Or(c.ExtraCopies, d.ExtraCopies)
	c.PushBytesPerSecond = cmp.Or(c.PushBytesPerSecond, d.PushBytesPerSecond)
	c.MaxPushBytes = cmp.Or(c.MaxPushBytes, d.MaxPushBytes)
	c.PullInterval = cmp.Or(c.PullInterval, d.PullInterval)
	c.RecoveryBytesPerSecond = cmp.Or(c.RecoveryBytesPerSecond, d.RecoveryBytesPerSecond)
	c.LoadInterval = cmp.Or(c.LoadInterval, d.LoadInterval)
	c.MaxLoadBytes = cmp.Or(c.MaxLoadBytes, d.MaxLoadBytes)
	c.LoadTTL = cmp.Or(c.LoadTTL, d.LoadTTL)
	c.MaxLoadBodyBytes = cmp.Or(c.MaxLoadBodyBytes, d.MaxLoadBodyBytes)
	c.MaxOrigins = cmp.Or(c.MaxOrigins, d.MaxOrigins)
	return c
}

const (
	// maxRumours bounds the records that are being gossiped; records beyond it
	// reach peers by comparison.
	maxRumours = 1024
	// burstSeconds is the burst of a budget, in seconds of its rate.
	burstSeconds = 4
)

// Gossip is the gossip state machine of one instance.
type Gossip struct {
	cfg       Config
	rng       *rand.Rand
	records   RecordSet
	rumours   map[recordKey]*rumour
	fetches   map[recordKey]*fetch
	lastOrder uint64
	push      budget
	recovery  budget
	loads     loadTable
	nextPush  time.Time
	nextPull  time.Time
	nextLoad  time.Time
	actions   []Action
}

// rumour is a record that is being gossiped, with the number of copies sent.
type rumour struct {
	record Record
	copies int
	order  uint64
}

// New returns the state machine of an instance that holds the given records.
func New(cfg Config, records RecordSet, rng *rand.Rand) *Gossip {
	cfg = cfg.withDefaults()
	return &Gossip{
		cfg:      cfg,
		rng:      rng,
		records:  records,
		rumours:  make(map[recordKey]*rumour),
		fetches:  make(map[recordKey]*fetch),
		push:     budget{rate: float64(cfg.PushBytesPerSecond)},
		recovery: budget{rate: float64(cfg.RecoveryBytesPerSecond)},
		loads:    newLoadTable(),
	}
}

// Put adds a record that this instance received from another source, such as a
// watch of the store, and gossips it. It returns an Accepted if the record is newer
// than the one held.
func (s *Gossip) Put(r Record) []Action {
	s.accept(r, true)
	return s.flush()
}

// Record returns a record that is held.
func (s *Gossip) Record(kind, name string) (Record, bool) { return s.records.Get(kind, name) }

// Tick runs the periodic work that is due. Peers are the addresses of the
// neighbours, which are all others in a small cluster; size is the number of live
// instances, including this one.
func (s *Gossip) Tick(now time.Time, peers []string, size int) []Action {
	s.push.refill(now)
	s.recovery.refill(now)
	s.loads.expire(now, s.cfg.LoadTTL)
	if len(peers) == 0 {
		return s.flush()
	}
	if due(now, &s.nextPush, s.cfg.PushInterval) {
		s.pushRumours(peers, size)
	}
	if due(now, &s.nextPull, s.cfg.PullInterval) {
		s.send(peers[s.rng.IntN(len(peers))], s.rootComparison())
	}
	if due(now, &s.nextLoad, s.cfg.LoadInterval) {
		s.sendLoads(now, peers, size)
	}
	return s.flush()
}

// due reports whether periodic work is due and, if so, schedules it again.
func due(now time.Time, next *time.Time, every time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(every)
	return true
}

// Receive handles a message from an address.
func (s *Gossip) Receive(now time.Time, from string, msg Message) []Action {
	s.recovery.refill(now)
	switch msg := msg.(type) {
	case *Push:
		for _, r := range msg.Records {
			s.accept(r, !msg.Recovered)
		}
	case *Offers:
		for _, o := range msg.Offers {
			s.handleOffer(from, o)
		}
	case *Pull:
		s.handlePull(from, msg)
	case *PullResponse:
		s.handlePullResponse(from, msg)
	case *Loads:
		for _, d := range msg.Digests {
			s.loads.put(now, d, &s.cfg)
		}
	}
	return s.flush()
}

// accept stores a record if it is newer than the one held, and gossips it if
// requested.
func (s *Gossip) accept(r Record, gossip bool) {
	if len(r.Body) > MaxRecordBytes {
		s.actions = append(s.actions, Oversized{Record: r})
		return
	}
	if !s.records.Apply(r) {
		return
	}
	s.actions = append(s.actions, Accepted{Record: r})
	key := recordKey{r.Kind, r.Name}
	if !gossip {
		// A rumour of the older revision is obsolete.
		delete(s.rumours, key)
		return
	}
	if _, ok := s.rumours[key]; !ok && len(s.rumours) >= maxRumours {
		return
	}
	s.lastOrder++
	s.rumours[key] = &rumour{record: r, order: s.lastOrder}
}

// pushRumours sends a few random peers the records that have copies left to send.
func (s *Gossip) pushRumours(peers []string, size int) {
	if len(s.rumours) == 0 {
		return
	}
	copies := int(math.Ceil(math.Log(float64(size)))) + s.cfg.ExtraCopies
	for _, to := range s.samplePeers(peers, s.cfg.Fanout) {
		if !s.push.available() {
			return
		}
		s.sendRecords(to, s.batch(copies), false)
	}
}

// batch returns the records for one message, those with the fewest copies sent
// first.
func (s *Gossip) batch(copies int) []Record {
	list := make([]*rumour, 0, len(s.rumours))
	for _, r := range s.rumours {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *rumour) int {
		return cmp.Or(cmp.Compare(a.copies, b.copies), cmp.Compare(a.order, b.order))
	})
	var out []Record
	size := 0
	for _, r := range list {
		n := transferSize(r.record, s.cfg.MaxPushBytes)
		if len(out) > 0 && size+n > s.cfg.MaxPushBytes || !s.push.available() {
			break
		}
		size += n
		s.push.spend(n)
		out = append(out, r.record)
		r.copies++
		if r.copies >= copies {
			delete(s.rumours, recordKey{r.record.Kind, r.record.Name})
		}
	}
	return out
}

// sendRecords pushes records to a peer, and offers those that are too large.
func (s *Gossip) sendRecords(to string, records []Record, recovered bool) {
	push, offers := &Push{Recovered: recovered}, &Offers{}
	for _, r := range records {
		if mustOffer(r, s.cfg.MaxPushBytes) {
			offers.Offers = append(offers.Offers, Offer{Kind: r.Kind, Name: r.Name, Revision: r.Revision, Size: uint32(len(r.Body))})
		} else {
			push.Records = append(push.Records, r)
		}
	}
	if len(push.Records) > 0 {
		s.send(to, push)
	}
	if len(offers.Offers) > 0 {
		s.send(to, offers)
	}
}

// samplePeers returns up to n distinct random peers.
func (s *Gossip) samplePeers(peers []string, n int) []string {
	n = min(n, len(peers))
	chosen := make([]string, 0, n)
	for len(chosen) < n {
		p := peers[s.rng.IntN(len(peers))]
		if !slices.Contains(chosen, p) {
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// send adds a message to the actions.
func (s *Gossip) send(to string, m Message) {
	s.actions = append(s.actions, Send{To: to, Message: m})
}

// flush returns the pending actions.
func (s *Gossip) flush() []Action {
	out := s.actions
	s.actions = nil
	return out
}

// budget is a token bucket of bytes. One message may overdraw it, so that a message
// larger than the burst can be sent; nothing more is sent until the debt is paid.
type budget struct {
	rate   float64
	tokens float64
	last   time.Time
}

// refill adds the tokens earned since the last call, up to the burst.
func (b *budget) refill(now time.Time) {
	if b.last.IsZero() {
		b.tokens = b.rate * burstSeconds
	} else if elapsed := now.Sub(b.last); elapsed > 0 {
		b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), b.rate*burstSeconds)
	}
	b.last = now
}

func (b *budget) available() bool { return b.tokens > 0 }
func (b *budget) spend(n int)     { b.tokens -= float64(n) }
