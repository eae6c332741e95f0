// Package retrybudget holds an instance's budgets for extra attempts, one per pool, each with
// its own lock.
package retrybudget

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/retry"
)

// maxPools limits the budgets that are kept. Otherwise the names of pools that were removed
// from the configuration would stay for the life of the process.
const maxPools = 4096

// Budgets has the budgets of all pools. It is safe for concurrent use.
type Budgets struct {
	config retry.Config

	mu    sync.RWMutex
	pools map[string]*poolBudget

	retries, hedges counts
}

// Counts has the number of extra attempts over all pools that were paid for, and of those
// that were refused.
type Counts struct{ Paid, Refused uint64 }

type counts struct{ paid, refused atomic.Uint64 }

// record counts a decision and returns it.
func (c *counts) record(paid bool) bool {
	if paid {
		c.paid.Add(1)
	} else {
		c.refused.Add(1)
	}
	return paid
}

func (c *counts) read() Counts { return Counts{Paid: c.paid.Load(), Refused: c.refused.Load()} }

// Counts returns the counts of retries and of hedges since the start.
func (b *Budgets) Counts() (retries, hedges Counts) { return b.retries.read(), b.hedges.read() }

type poolBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

// New returns budgets that all have the given configuration.
func New(c retry.Config) *Budgets {
	return &Budgets{config: c, pools: make(map[string]*poolBudget)}
}

// TakeRetry takes one token for a retry at a pool. It returns false if there is none.
func (b *Budgets) TakeRetry(now time.Time, name string) bool {
	p := b.pool(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.retries.record(p.budget.SpendRetry(now))
}

// ReturnRetry returns the token of a retry that was not sent.
func (b *Budgets) ReturnRetry(now time.Time, name string) {
	p := b.pool(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.ReturnRetry(now)
	b.retries.paid.Add(^uint64(0))
}

// TakeHedge takes one token for a second attempt beside the first. It returns false if there
// is none.
func (b *Budgets) TakeHedge(now time.Time, name string) bool {
	p := b.pool(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.hedges.record(p.budget.SpendHedge(now))
}

// Succeeded records that a stage completed, which adds tokens for extra attempts. It is
// called once per stage, regardless of the number of its attempts.
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
		clear(b.pools) // pools in use get a new budget with its reserve
	}
	p = &poolBudget{budget: retry.NewBudget(b.config)}
	b.pools[name] = p
	return p
}
