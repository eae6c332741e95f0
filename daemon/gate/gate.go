// Package gate lets goroutines wait at the tier gates of pools. Each gate drives the state
// machine of coordination/tiers under a lock, which is never held while a goroutine waits or
// while a target is called.
package gate

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/tiers"
)

// RefusedError is the error of work that the gate refused and that was not started.
type RefusedError struct {
	// Pool is the pool whose gate refused.
	Pool   string
	Reason tiers.Reason
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("pool %s: refused: %s, retry after %v", e.Pool, e.Reason, e.RetryAfter)
}

// Request describes work that needs a slot.
type Request struct {
	// Rank is the rank of the tier; 0 is the highest.
	Rank int
	// LatestStart is the latest time at which starting is useful.
	LatestStart time.Time
	// Resumable work may be preempted.
	Resumable bool
	// Preemptions is how often this work has been preempted.
	Preemptions int
}

// Gate is the gate of one pool in one instance.
type Gate struct {
	pool  string
	clock func() time.Time
	// slots is the number of slots of the pool's targets. The machine's capacity is a
	// multiple of it.
	slots atomic.Int64

	mu      sync.Mutex
	machine *tiers.Gate
	nextID  uint64
	grants  map[uint64]*Grant
	// refused counts the refusals since the start, by reason.
	refused map[tiers.Reason]uint64
}

// Grant is the permission to use a slot until Release. It is pending until the gate sends to
// ready: nil for a slot, or a *RefusedError.
type Grant struct {
	gate      *Gate
	id        uint64
	ready     chan error
	preempted chan struct{}
}

// New returns the gate of a pool with the given slots; clock returns the current time.
func New(pool string, c tiers.Config, slots int, clock func() time.Time) *Gate {
	return &Gate{
		pool:    pool,
		clock:   clock,
		machine: tiers.NewGate(c, slots),
		grants:  make(map[uint64]*Grant),
		refused: make(map[tiers.Reason]uint64),
	}
}

// Acquire waits for a slot. It returns the context's error if the context ends first, and a
// *RefusedError if the gate refuses the work. The caller must call Release on the grant once
// the target is done or the attempt is cancelled.
func (g *Gate) Acquire(ctx context.Context, r Request) (*Grant, error) {
	grant := g.enqueue(r)
	select {
	case err := <-grant.ready:
		if err != nil {
			return nil, err
		}
		return grant, nil
	case <-ctx.Done():
		g.abandon(grant)
		return nil, ctx.Err()
	}
}

// TryAcquire acquires a slot if the gate grants one at once, and otherwise leaves the queue
// again.
func (g *Gate) TryAcquire(r Request) (*Grant, bool) {
	grant := g.enqueue(r)
	select {
	case err := <-grant.ready:
		return grant, err == nil
	default:
		g.abandon(grant)
		return nil, false
	}
}

// Release releases the slot. Further calls do nothing.
func (t *Grant) Release() { t.gate.release(t) }

// Preempted returns a channel that is closed when the work must be cancelled in favour of a
// higher tier, to be resumed later.
func (t *Grant) Preempted() <-chan struct{} { return t.preempted }

// Tick refuses work whose latest start has passed, and starts work that has become able to
// start. It should be called about ten times a second.
func (g *Gate) Tick() { g.update((*tiers.Gate).Tick) }

// SetCapacity sets the number of requests that may run at the pool's targets at a time.
func (g *Gate) SetCapacity(slots int) {
	g.update(func(m *tiers.Gate, now time.Time) []tiers.Action { return m.SetCapacity(now, slots) })
}

// SetPeers sets the load that the peers' latest digests add up to.
func (g *Gate) SetPeers(load tiers.PeerLoad) {
	g.update(func(m *tiers.Gate, now time.Time) []tiers.Action { return m.SetPeers(now, load) })
}

// Digest returns this instance's load, to be sent to the peers.
func (g *Gate) Digest() tiers.Digest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Digest(g.clock())
}

// Wait returns how long work of the rank would queue if it arrived now.
func (g *Gate) Wait(rank int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.EstimatedWait(g.clock(), rank)
}

// Stats returns the current state for metrics.
func (g *Gate) Stats() tiers.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Stats()
}

// Refused returns the number of refusals since the start, by reason.
func (g *Gate) Refused() map[tiers.Reason]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.refused)
}

// update passes an event to the state machine and carries out the resulting actions.
func (g *Gate) update(event func(*tiers.Gate, time.Time) []tiers.Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(event(g.machine, g.clock()))
}

// enqueue adds work to the queue and returns its pending grant.
func (g *Gate) enqueue(r Request) *Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	t := &Grant{
		gate:      g,
		id:        g.nextID,
		ready:     make(chan error, 1),
		preempted: make(chan struct{}),
	}
	g.grants[t.id] = t
	g.apply(g.machine.Enqueue(g.clock(), tiers.Item{
		ID:          t.id,
		Rank:        r.Rank,
		LatestStart: r.LatestStart,
		Resumable:   r.Resumable,
		Preemptions: r.Preemptions,
	}))
	return t
}

func (g *Gate) release(t *Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.grants, t.id)
	g.apply(g.machine.Finished(g.clock(), t.id))
}

// abandon withdraws a request whose caller gave up. The gate may have granted the slot after
// the caller's context ended but before abandon took the lock. It therefore both removes the
// request from the queue and releases its slot; otherwise the slot would be lost for good.
func (g *Gate) abandon(t *Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.grants, t.id)
	now := g.clock()
	g.apply(g.machine.Abandon(now, t.id))
	g.apply(g.machine.Finished(now, t.id))
}

// apply carries out actions. It never blocks: each grant gets one message at most on ready,
// which has a buffer of one.
func (g *Gate) apply(actions []tiers.Action) {
	for _, a := range actions {
		t, ok := g.grants[a.ID]
		if !ok {
			continue
		}
		switch a.Kind {
		case tiers.Dispatch:
			t.ready <- nil
		case tiers.Refuse:
			delete(g.grants, a.ID)
			g.refused[a.Reason]++
			t.ready <- &RefusedError{Pool: g.pool, Reason: a.Reason, RetryAfter: a.RetryAfter}
		case tiers.Preempt:
			close(t.preempted)
		}
	}
}
