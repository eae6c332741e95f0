package requests

import (
	"hash/maphash"
	"math/bits"
	"time"
)

// NoAttempt is the number of an attempt that is not recorded; EndAttempt accepts
// it and does nothing.
const NoAttempt = -1

const (
	maxShards        = 32
	requestsPerShard = 64
	maxStripes       = 8
	defaultAccounts  = 4096
)

// Options bounds a Table.
type Options struct {
	// MaxRequests bounds the number of requests kept, including running ones.
	MaxRequests int
	// MaxBytes bounds the memory of the requests kept; 0 allows 2 KiB per request.
	// Free slots retain at most the same amount again for the next requests.
	MaxBytes int64
	// Retention is the maximum time for which a finished request is kept.
	Retention time.Duration
	// MaxAccounts bounds the counters that are kept per client account between
	// two drains; 0 means 4096. Beyond it the least busy accounts are combined.
	MaxAccounts int
}

// Table holds the status of requests, sharded by request id. Locks are acquired
// in the order shard, aggregates; neither is held during I/O.
type Table struct {
	shards []shard
	seed   maphash.Seed
	// stripes are selected by the request's shard and not by its account: with
	// one busy account all cores would otherwise contend for one lock.
	stripes []*aggregates
}

// defaultBytesPerRequest is enough for a request of four stages with their
// attempts.
const defaultBytesPerRequest = 2 << 10

// New returns an empty table.
func New(o Options) *Table {
	o.MaxRequests = max(o.MaxRequests, 1)
	if o.MaxBytes <= 0 {
		o.MaxBytes = int64(o.MaxRequests) * defaultBytesPerRequest
	}
	if o.MaxAccounts <= 0 {
		o.MaxAccounts = defaultAccounts
	}
	n := shardCount(o.MaxRequests)
	t := &Table{
		shards:  make([]shard, n),
		seed:    maphash.MakeSeed(),
		stripes: make([]*aggregates, min(n, maxStripes)),
	}
	for i := range t.stripes {
		t.stripes[i] = newAggregates(o.MaxAccounts / len(t.stripes))
	}
	for i := range t.shards {
		s := &t.shards[i]
		s.index = map[string]int32{}
		s.free, s.running, s.finished = newSlotList(), newSlotList(), newSlotList()
		s.maxRequests = (o.MaxRequests + n - 1) / n
		s.maxBytes = o.MaxBytes / int64(n)
		s.retention = o.Retention
	}
	return t
}

// shardCount returns a number of shards so small that uneven hashing does not
// fill one shard while others are empty.
func shardCount(requests int) int {
	n := min(max(requests/requestsPerShard, 1), maxShards)
	return 1 << (bits.Len(uint(n)) - 1)
}

func (t *Table) shardOf(id string) uint32 {
	return uint32(maphash.String(t.seed, id)) & uint32(len(t.shards)-1)
}

func (t *Table) stripeOf(ref Ref) *aggregates {
	return t.stripes[int(ref.shard)%len(t.stripes)]
}

// Begin records a request. It returns the zero Ref if the id is in use or running
// requests fill the table; the request is then served without a status.
func (t *Table) Begin(info Info) Ref {
	i := t.shardOf(info.ID)
	slot, generation := t.shards[i].begin(info)
	if slot == noSlot {
		return Ref{}
	}
	return Ref{shard: i, slot: slot, generation: generation}
}

// StartAttempt records an attempt and returns its number for EndAttempt.
func (t *Table) StartAttempt(ref Ref, a AttemptStart) int {
	if !ref.Recorded() {
		return NoAttempt
	}
	return t.shards[ref.shard].addAttempt(ref, a)
}

// EndAttempt records how an attempt ended, also after the end of its request,
// since the work of a hedge whose response was not used still counts. Only the
// first call for an attempt has an effect.
func (t *Table) EndAttempt(ref Ref, attempt int, e AttemptEnd) {
	if !ref.Recorded() {
		return
	}
	s := &t.shards[ref.shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.find(ref)
	if r == nil || attempt < 0 || attempt >= len(r.attempts) {
		return
	}
	a := &r.attempts[attempt]
	if a.Result != ResultRunning || e.Result == ResultRunning {
		return
	}
	a.Result = e.Result
	a.Elapsed = e.At.Sub(r.info.StartedAt) - a.StartOffset
	a.Work = e.Work
	a.Tokens = e.Tokens
	a.PrefillTokens = e.PrefillTokens
	text := truncateError(e.Error)
	if s.reserveBytesKeeping(ref.slot, int64(len(text))) {
		a.Error = text
		s.charge(r, int64(len(text)))
	}
	t.stripeOf(ref).add(r.attemptKey(a.Stage), attemptCounters(a, r))
}

// Finish records the end of a request. Only the first call has an effect.
func (t *Table) Finish(ref Ref, e End) {
	if !ref.Recorded() || e.State == StateRunning {
		return
	}
	s := &t.shards[ref.shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.find(ref)
	if r == nil || r.state != StateRunning {
		return
	}
	r.state, r.outcome, r.endedAt = e.State, e.Outcome, e.At
	r.elapsed = e.At.Sub(r.info.StartedAt)
	s.running.remove(s.slots, ref.slot)
	s.finished.pushBack(s.slots, ref.slot)
	t.stripeOf(ref).addRequest(r)
}

// Get returns a copy of the status of a request. It returns false if the request
// is unknown or past its retention.
func (t *Table) Get(id string, now time.Time) (Status, bool) {
	s := &t.shards[t.shardOf(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	slot, ok := s.index[id]
	if !ok || s.expired(slot, now) {
		return Status{}, false
	}
	return s.slots[slot].status(now), true
}

// Expire removes the requests past their retention. Begin does so too, but only
// on an instance that receives requests.
func (t *Table) Expire(now time.Time) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		s.expire(now, len(s.slots))
		s.mu.Unlock()
	}
}

// Attainment returns, by tier, how many requests ended since the process started
// and how many of them were answered within their deadline.
func (t *Table) Attainment() map[string]Attainment {
	sum := make(map[string]Attainment)
	for _, agg := range t.stripes {
		agg.mu.Lock()
		for tier, own := range agg.byTier {
			total := sum[tier]
			total.Ended += own.Ended
			total.Attained += own.Attained
			sum[tier] = total
		}
		agg.mu.Unlock()
	}
	return sum
}

// Stats describes the size of a table.
type Stats struct {
	// Requests counts the records, running and finished.
	Requests int
	// Bytes is the memory charged to them.
	Bytes int64
	// Unrecorded counts the requests since the process started that could not be
	// recorded.
	Unrecorded uint64
}

// Stats returns the sum over the shards. It locks them one at a time, so the
// figures of different shards are of slightly different times.
func (t *Table) Stats() Stats {
	var sum Stats
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		sum.Requests += len(s.index)
		sum.Bytes += s.bytes
		sum.Unrecorded += s.unrecorded
		s.mu.Unlock()
	}
	return sum
}
