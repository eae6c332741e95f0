// Package gate lets goroutines wait at a pool's tier gate. It drives the state
// machine of coordination/tiers under one lock, which is never held while a
// goroutine waits or while a target is called.
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

// RefusedError tells that work was not started.
type RefusedError struct {
	// Pool is the pool whose gate refused.
	Pool   string
	Reason tiers.Reason
	// RetryAfter is when to come back.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("pool %s: refused: %s, retry after %v", e.Pool, e.Reason, e.RetryAfter)
}

// Request is the work that wants a slot.
type Request struct {
	// Rank is the rank of the tier; 0 is the highest.
	Rank int
	// LatestStart is the last moment at which starting is of use.
	LatestStart time.Time
	// Resumable work may be preempted.
	Resumable bool
	// Preemptions counts how often this work was preempted.
	Preemptions int
}

// Gate is the gate of one pool in one instance.
type Gate struct {
	pool  string
	clock func() time.Time
	// slots is the number of the pool's slots, of which the machine's capacity
	// is a multiple.
	slots atomic.Int64

	mu      sync.Mutex
	machine *tiers.Gate
	nextID  uint64
	grants  map[uint64]*Grant
	// refused counts the refusals by reason, since the start.
	refused map[tiers.Reason]uint64
}

// Grant is the right to use a slot until Release.
type Grant struct {
	gate      *Gate
	id        uint64
	ready     chan error
	preempted chan struct{}
}

// New makes the gate of a pool with the given slots; clock tells the time.
func New(pool string, c tiers.Config, slots int, clock func() time.Time) *Gate {
	return &Gate{
		pool:    pool,
		clock:   clock,
		machine: tiers.NewGate(c, slots),
		grants:  make(map[uint64]*Grant),
		refused: make(map[tiers.Reason]uint64),
	}
}

// Acquire waits for a slot. It ends with the context's error when the context
// ends first, and with a *RefusedError when the gate refuses. The caller has to
// call Release on the grant once the target is done or its attempt cancelled.
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

// TryAcquire takes a slot if the gate gives one at once, and else leaves the
// queue again.
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

// Release gives the slot back. Only the first call counts.
func (t *Grant) Release() { t.gate.release(t) }

// Preempted is closed when the work is to be cancelled and resumed later, in
// favour of a higher tier.
func (t *Grant) Preempted() <-chan struct{} { return t.preempted }

// Tick refuses what waited too long; call it some ten times a second.
func (g *Gate) Tick() { g.update((*tiers.Gate).Tick) }

// SetCapacity tells how many slots the pool's routable targets have in all.
func (g *Gate) SetCapacity(slots int) {
	g.update(func(m *tiers.Gate, now time.Time) []tiers.Action { return m.SetCapacity(now, slots) })
}

// SetPeers tells what the peers' newest digests add up to.
func (g *Gate) SetPeers(load tiers.PeerLoad) {
	g.update(func(m *tiers.Gate, now time.Time) []tiers.Action { return m.SetPeers(now, load) })
}

// Digest returns what the peers have to know.
func (g *Gate) Digest() tiers.Digest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Digest(g.clock())
}

// Wait is how long work of the rank that came now would queue.
func (g *Gate) Wait(rank int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.EstimatedWait(g.clock(), rank)
}

// Stats returns a reading for metrics.
func (g *Gate) Stats() tiers.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Stats()
}

// Refused returns how many requests were refused by reason, since the start.
func (g *Gate) Refused() map[tiers.Reason]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.refused)
}

func (g *Gate) update(event func(*tiers.Gate, time.Time) []tiers.Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(event(g.machine, g.clock()))
}

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

// abandon takes back a request whose caller gave up. The slot may have been
// given a moment before, in the order: dispatch, end of the context, abandon.
// Giving it back both ways keeps it from being lost for good.
func (g *Gate) abandon(t *Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.grants, t.id)
	now := g.clock()
	g.apply(g.machine.Abandon(now, t.id))
	g.apply(g.machine.Finished(now, t.id))
}

// apply carries out actions. No channel here ever blocks: ready has room for
// the one word that each grant is told.
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
