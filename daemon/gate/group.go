package gate

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/tiers"
)

// ReasonNoCapacity is the reason for refusing work for a pool without a known target.
const ReasonNoCapacity tiers.Reason = "no_capacity"

// Intervals and delays of a Group.
const (
	tickInterval         = 100 * time.Millisecond
	noCapacityRetryAfter = time.Second
)

// Group holds the gates of all pools of one instance. It is safe for concurrent use.
type Group struct {
	config GroupConfig
	clock  func() time.Time

	mu    sync.RWMutex
	gates map[string]*Gate
	// noCapacity counts the refusals for pools without a gate.
	noCapacity atomic.Uint64
}

// GroupConfig configures a Group. Fields that are zero or less take their defaults.
type GroupConfig struct {
	Tiers tiers.Config
	// OvercommitOrdered and OvercommitUnordered are how many requests are sent to a
	// pool's targets per slot: the former where the targets run the most urgent request
	// first, the latter where they don't.
	OvercommitOrdered, OvercommitUnordered float64
	// MaxHedgeUtilization is the utilization of a pool's slots below which hedges are sent.
	MaxHedgeUtilization float64
}

// Defaults of GroupConfig. Gates that sent exactly one request per slot would leave targets
// idle between two requests; docs/design/routing.md has the figures for other values.
const (
	DefaultOvercommitOrdered   = 2.0
	DefaultOvercommitUnordered = 1.5
	DefaultMaxHedgeUtilization = 0.7
)

// NewGroup returns a group without gates; SetCapacity adds them.
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

// SetCapacity sets the total number of slots of a pool's routable targets. With ordered,
// the targets run the most urgent request first themselves. The gate of a pool keeps the
// order that it was created with, but each call's value selects the overcommit.
func (g *Group) SetCapacity(pool string, slots int, ordered bool) {
	overcommit := g.config.OvercommitUnordered
	if ordered {
		overcommit = g.config.OvercommitOrdered
	}
	gate := g.findOrAdd(pool, ordered)
	gate.SetCapacity(int(math.Ceil(float64(slots) * overcommit)))
	gate.slots.Store(int64(slots))
}

// findOrAdd returns the gate of a pool. A gate that it adds has no slots yet.
func (g *Group) findOrAdd(pool string, ordered bool) *Gate {
	if gate := g.find(pool); gate != nil {
		return gate
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if gate := g.gates[pool]; gate != nil {
		return gate // added concurrently
	}
	c := g.config.Tiers
	c.PriorityScheduling = ordered
	gate := New(pool, c, 0, g.clock)
	g.gates[pool] = gate
	return gate
}

// Enter waits for a slot of the pool; see Gate.Acquire.
func (g *Group) Enter(ctx context.Context, pool string, r Request) (*Grant, error) {
	gate := g.find(pool)
	if gate == nil {
		g.noCapacity.Add(1)
		return nil, &RefusedError{Pool: pool, Reason: ReasonNoCapacity, RetryAfter: noCapacityRetryAfter}
	}
	return gate.Acquire(ctx, r)
}

// TryEnter acquires a slot for a hedge if one is free for the rank at once and the pool has
// spare capacity: a hedge that delays other requests makes more of them miss their deadlines
// than it saves.
func (g *Group) TryEnter(pool string, r Request) (*Grant, bool) {
	gate := g.find(pool)
	if gate == nil || gate.Stats().TotalInFlight >= g.config.MaxHedgeUtilization*float64(gate.slots.Load()) {
		return nil, false
	}
	return gate.TryAcquire(r)
}

// Wait returns how long work of the rank would queue at the pool if it arrived now.
func (g *Group) Wait(pool string, rank int) time.Duration {
	gate := g.find(pool)
	if gate == nil {
		return 0
	}
	return gate.Wait(rank)
}

// Open reports whether any target of the pool is known.
func (g *Group) Open(pool string) bool {
	gate := g.find(pool)
	return gate != nil && gate.Stats().Capacity > 0
}

// NoCapacity returns the number of requests that were refused since the start because no
// target of their pool was known.
func (g *Group) NoCapacity() uint64 { return g.noCapacity.Load() }

// Each calls f with every gate.
func (g *Group) Each(f func(pool string, gate *Gate)) {
	g.mu.RLock()
	gates := make(map[string]*Gate, len(g.gates))
	for pool, gate := range g.gates {
		gates[pool] = gate
	}
	g.mu.RUnlock()
	for pool, gate := range gates {
		f(pool, gate)
	}
}

// Run refuses work whose latest start has passed, until the context ends.
func (g *Group) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.Each(func(_ string, gate *Gate) { gate.Tick() })
		case <-ctx.Done():
			return nil
		}
	}
}

// find returns the gate of a pool, or nil if there is none.
func (g *Group) find(pool string) *Gate {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.gates[pool]
}
