package tiers

import (
	"container/heap"
	"time"
)

// Defaults of Config.
const (
	DefaultMaxQueued      = 256
	DefaultDemandWindow   = 300 * time.Millisecond
	DefaultMinRunTime     = 500 * time.Millisecond
	DefaultMaxPreemptions = 2
)

// Config configures the gate of a pool. Zero values select the defaults.
type Config struct {
	// MaxQueued bounds the number of queued items over all ranks.
	MaxQueued int
	// DemandWindow is the time constant of the moving average of demand.
	DemandWindow time.Duration
	// PriorityScheduling means that the targets run the most urgent requests
	// first, by the priority that is passed to them, as model engines do.
	PriorityScheduling bool
	// Preempt allows resumable work to be cancelled for a higher rank.
	Preempt bool
	// MinRunTime is the least time that an item runs before it may be preempted.
	MinRunTime time.Duration
	// MaxPreemptions bounds how often one item is preempted.
	MaxPreemptions int
}

func (c Config) withDefaults() Config {
	if c.MaxQueued <= 0 {
		c.MaxQueued = DefaultMaxQueued
	}
	if c.DemandWindow <= 0 {
		c.DemandWindow = DefaultDemandWindow
	}
	if c.MinRunTime <= 0 {
		c.MinRunTime = DefaultMinRunTime
	}
	if c.MaxPreemptions <= 0 {
		c.MaxPreemptions = DefaultMaxPreemptions
	}
	return c
}

// running is an item that was dispatched and has not finished.
type running struct {
	Item
	startedAt  time.Time
	preempting bool
}

// Gate queues the items of one instance for the targets of one pool and decides
// when they are dispatched.
type Gate struct {
	config   Config
	capacity int
	peers    PeerLoad
	// lastDigest and previousDigest are the last two digests returned by Digest.
	lastDigest, previousDigest Digest
	queues                     [MaxRanks]rankQueue
	waiting                    map[uint64]*queued
	running                    map[uint64]*running
	inFlight                   [MaxRanks]int
	demandAverages             [MaxRanks]demandAverage
	holdTime                   slotHoldTime
	seq                        uint64
}

// NewGate returns a gate for a pool whose targets have capacity slots in total.
func NewGate(c Config, capacity int) *Gate {
	return &Gate{
		config:   c.withDefaults(),
		capacity: max(capacity, 0),
		peers:    PeerLoad{Instances: 1},
		waiting:  make(map[uint64]*queued),
		running:  make(map[uint64]*running),
	}
}

// Enqueue queues an item. If the queue is full, it refuses the newest item of the
// lowest queued rank that is below the item's, or else the item itself.
func (g *Gate) Enqueue(now time.Time, item Item) []Action {
	item.Rank = clampRank(item.Rank)
	var out []Action
	if len(g.waiting) >= g.config.MaxQueued {
		victim := g.displacementVictim(item.Rank)
		if victim == nil {
			return []Action{g.refusal(now, item, ReasonQueueFull)}
		}
		g.dequeue(now, victim)
		out = append(out, g.refusal(now, victim.Item, ReasonDisplaced))
	}
	g.seq++
	it := &queued{Item: item, seq: g.seq, enqueuedAt: now}
	heap.Push(&g.queues[item.Rank], it)
	g.waiting[item.ID] = it
	g.demandAverages[item.Rank].add(now, g.config.DemandWindow, 1)
	return g.dispatch(now, out)
}

// Finished frees the slot of a dispatched item that completed, failed, was
// cancelled or was preempted.
func (g *Gate) Finished(now time.Time, id uint64) []Action {
	r, ok := g.running[id]
	if !ok {
		return nil
	}
	delete(g.running, id)
	g.inFlight[r.Rank]--
	g.demandAverages[r.Rank].add(now, g.config.DemandWindow, -1)
	g.holdTime.add(now.Sub(r.startedAt))
	return g.dispatch(now, nil)
}

// Abandon removes a queued item whose caller gave up. It ignores an item that
// was dispatched, which ends by Finished.
func (g *Gate) Abandon(now time.Time, id uint64) []Action {
	it, ok := g.waiting[id]
	if !ok {
		return nil
	}
	g.dequeue(now, it)
	return g.dispatch(now, nil)
}

// Tick refuses the items past their LatestStart and dispatches those that may
// start because the peers' load or the time changed. Call it about ten times a
// second.
func (g *Gate) Tick(now time.Time) []Action {
	return g.dispatch(now, nil)
}

// SetCapacity sets the total number of slots of the pool's routable targets.
func (g *Gate) SetCapacity(now time.Time, slots int) []Action {
	g.capacity = max(slots, 0)
	return g.dispatch(now, nil)
}

// SetPeers sets the sum of the peers' latest digests.
func (g *Gate) SetPeers(now time.Time, load PeerLoad) []Action {
	load.Instances = max(load.Instances, 1)
	g.peers = load
	return g.dispatch(now, nil)
}

// Digest returns the load of this instance for its peers. The caller must send
// it to them, since the gate computes its limits from the digests it returned.
func (g *Gate) Digest(now time.Time) Digest {
	var d Digest
	for r := range d.Ranks {
		g.demandAverages[r].advance(now, g.config.DemandWindow)
		d.Ranks[r].InFlight = float32(g.inFlight[r])
		d.Ranks[r].Demand = float32(g.demandAverages[r].mean)
	}
	g.previousDigest, g.lastDigest = g.lastDigest, d
	return d
}

// Stats returns the figures that are exported as metrics.
func (g *Gate) Stats() Stats {
	s := Stats{Capacity: g.capacity, InFlight: g.inFlight, TotalInFlight: g.totalInFlight()}
	if len(g.running) > 0 {
		s.CompletionRate = g.holdTime.completionRate(float64(len(g.running)))
	}
	for r := range s.Queued {
		s.Queued[r] = len(g.queues[r])
	}
	return s
}

// EstimatedWait returns how long an item of the rank would be queued if it
// arrived now: the number of queued items of the same and higher ranks, divided
// by the completion rate of the dispatched items of these ranks.
func (g *Gate) EstimatedWait(_ time.Time, rank int) time.Duration {
	queued, inFlight := 0, 0
	for r := 0; r <= clampRank(rank); r++ {
		queued += len(g.queues[r])
		inFlight += g.inFlight[r]
	}
	if queued == 0 {
		return 0
	}
	rate := g.holdTime.completionRate(float64(max(inFlight, 1)))
	return time.Duration(float64(queued) / rate * float64(time.Second))
}

// Bounds of Action.RetryAfter.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

func (g *Gate) refusal(now time.Time, item Item, reason Reason) Action {
	wait := g.EstimatedWait(now, item.Rank)
	return Action{
		Kind:       Refuse,
		ID:         item.ID,
		Reason:     reason,
		RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter),
	}
}

// displacementVictim returns the newest item of the lowest queued rank if that
// rank is below the given one, or nil.
func (g *Gate) displacementVictim(rank int) *queued {
	for r := MaxRanks - 1; r > rank; r-- {
		if it := g.queues[r].latestArrival(); it != nil {
			return it
		}
	}
	return nil
}

func (g *Gate) dequeue(now time.Time, it *queued) {
	g.queues[it.Rank].remove(it)
	delete(g.waiting, it.ID)
	g.demandAverages[it.Rank].add(now, g.config.DemandWindow, -1)
}
