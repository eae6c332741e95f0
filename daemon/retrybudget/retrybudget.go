// Package retrybudget holds an instance's budgets of extra attempts, one a pool,
// each under its own lock.
package retrybudget

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/retry"
)

// maxPools bounds the budgets that are kept. Names of pools that the
// configuration dropped would else stay for the life of the process.
const maxPools = 4096

// Budgets are the budgets of all pools. They are safe for concurrent use.
type Budgets struct {
	config retry.Config

	mu    sync.RWMutex
	pools map[string]*poolBudget

	retries, hedges counts
}

// Counts tells how often an extra attempt was paid for and how often not, over
// all pools.
type Counts struct{ Paid, Refused uint64 }

type counts struct{ paid, refused atomic.Uint64 }

// note counts one decision and returns it.
func (c *counts) record(paid bool) bool {
	if paid {
		c.paid.Add(1)
	} else {
		c.refused.Add(1)
	}
	return paid
}

func (c *counts) read() Counts { return Counts{Paid: c.paid.Load(), Refused: c.refused.Load()} }

// Counts returns the retries and the hedges since the start.
func (b *Budgets) Counts() (retries, hedges Counts) { return b.retries.read(), b.hedges.read() }

type poolBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

// New makes budgets that all have the given shares.
func New(c retry.Config) *Budgets {
	return &Budgets{config: c, pools: make(map[string]*poolBudget)}
}

// Retry pays for one retry at the pool, or tells that it can't.
func (b *Budgets) TakeRetry(now time.Time, name string) bool {
	p := b.pool(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.retries.record(p.budget.SpendRetry(now))
}

// Hedge pays for one attempt beside the first, or tells that it can't.
func (b *Budgets) TakeHedge(now time.Time, name string) bool {
	p := b.pool(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.hedges.record(p.budget.SpendHedge(now))
}

// Succeeded tells that a stage was answered whole, which earns extra attempts.
// It is told once a stage, however many attempts there were.
func (b *Budgets) Succeeded(now time.Time, name string) {
	p := b.pool(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.AddSuccess(now)
}

func (b *Budgets) pool(name string) *poolBudget {
	b.mu.RLock()
	p, ok := b.pools[name]
	b.mu.RUnlock()
	if ok {
		return p
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if p, ok := b.pools[name]; ok {
		return p
	}
	if len(b.pools) >= maxPools {
		clear(b.pools) // the pools in use come back with a new budget's reserve
	}
	p = &poolBudget{budget: retry.NewBudget(b.config)}
	b.pools[name] = p
	return p
}
