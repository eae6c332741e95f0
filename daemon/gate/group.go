package gate

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/tiers"
)

// ReasonNoCapacity refuses work for a pool without a known target.
const ReasonNoCapacity tiers.Reason = "no_capacity"

// Times of a Group.
const (
	tickInterval         = 100 * time.Millisecond
	noCapacityRetryAfter = time.Second
)

// Group holds the gates of all pools of one instance. It is safe for
// concurrent use.
type Group struct {
	config GroupConfig
	clock  func() time.Time

	mu    sync.RWMutex
	gates map[string]*Gate
	// noCapacity counts the refusals for want of a gate.
	noCapacity atomic.Uint64
}

// GroupConfig sets a Group. Zero values take the defaults.
type GroupConfig struct {
	Tiers tiers.Config
	// FillOrdered and FillPlain are how many requests are sent to a pool's
	// targets for each slot, where the targets run the most urgent first and
	// where they do not.
	OvercommitOrdered, OvercommitUnordered float64
	// HedgeBelow is the share of a pool's slots under which hedges may go.
	MaxHedgeUtilization float64
}

// Defaults of GroupConfig. Gates that fill exactly the slots leave targets idle
// between two requests; docs/design/routing.md has the figures of the others.
const (
	DefaultOvercommitOrdered   = 2.0
	DefaultOvercommitUnordered = 1.5
	DefaultMaxHedgeUtilization = 0.7
)

// NewGroup makes a group without gates; SetCapacity adds them.
func NewGroup(c GroupConfig, clock func() time.Time) *Group {
	if c.OvercommitOrdered <= 0 {
		c.OvercommitOrdered = DefaultOvercommitOrdered
	}
	if c.OvercommitUnordered <= 0 {
		c.OvercommitUnordered = DefaultOvercommitUnordered
	}
	if c.MaxHedgeUtilization <= 0 {
		c.MaxHedgeUtilization = DefaultMaxHedgeUtilization
	}
	return &Group{config: c, clock: clock, gates: make(map[string]*Gate)}
}

// SetCapacity tells how many slots a pool's routable targets have in all.
// Ordered tells that they run the most urgent request first themselves; it
// counts for a pool that is new.
func (g *Group) SetCapacity(pool string, slots int, ordered bool) {
	fill := g.config.OvercommitUnordered
	if ordered {
		fill = g.config.OvercommitOrdered
	}
	own := g.findOrAdd(pool, ordered)
	own.SetCapacity(int(math.Ceil(float64(slots) * fill)))
	own.slots.Store(int64(slots))
}

// findOrAdd returns the gate of a pool; a new one has no slots yet.
func (g *Group) findOrAdd(pool string, ordered bool) *Gate {
	if own := g.find(pool); own != nil {
		return own
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if own := g.gates[pool]; own != nil {
		return own // added since
	}
	c := g.config.Tiers
	c.PriorityScheduling = ordered
	own := New(pool, c, 0, g.clock)
	g.gates[pool] = own
	return own
}

// Enter waits for a slot of the pool; see Gate.Acquire.
func (g *Group) Enter(ctx context.Context, pool string, r Request) (*Grant, error) {
	own := g.find(pool)
	if own == nil {
		g.noCapacity.Add(1)
		return nil, &RefusedError{Pool: pool, Reason: ReasonNoCapacity, RetryAfter: noCapacityRetryAfter}
	}
	return own.Acquire(ctx, r)
}

// TryEnter takes a slot for a hedge, if one is free for the rank right now and
// the pool has room to spare: a hedge that makes others wait costs more answers
// than it saves.
func (g *Group) TryEnter(pool string, r Request) (*Grant, bool) {
	own := g.find(pool)
	if own == nil || own.Stats().TotalInFlight >= g.config.MaxHedgeUtilization*float64(own.slots.Load()) {
		return nil, false
	}
	return own.TryAcquire(r)
}

// Wait is how long work of the rank that came now would queue at the pool.
func (g *Group) Wait(pool string, rank int) time.Duration {
	own := g.find(pool)
	if own == nil {
		return 0
	}
	return own.Wait(rank)
}

// Open tells whether any target of the pool is known.
func (g *Group) Open(pool string) bool {
	own := g.find(pool)
	return own != nil && own.Stats().Capacity > 0
}

// NoCapacity returns how many requests were refused since the start because no
// target of their pool was known.
func (g *Group) NoCapacity() uint64 { return g.noCapacity.Load() }

// Each calls f with every gate.
func (g *Group) Each(f func(pool string, own *Gate)) {
	g.mu.RLock()
	gates := make(map[string]*Gate, len(g.gates))
	for pool, own := range g.gates {
		gates[pool] = own
	}
	g.mu.RUnlock()
	for pool, own := range gates {
		f(pool, own)
	}
}

// Run refuses what waited too long, until the context ends.
func (g *Group) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.Each(func(_ string, own *Gate) { own.Tick() })
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *Group) find(pool string) *Gate {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.gates[pool]
}
