// Package spender holds an instance's budgets of extra attempts, one a pool,
// each under its own lock.
package spender

import (
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/retry"
)

// Spender spends the budgets of all pools. It is safe for concurrent use. Its
// size is bounded by the pools that the configuration names.
type Spender struct {
	config retry.Config

	mu    sync.RWMutex
	pools map[string]*pool
}

type pool struct {
	mu     sync.Mutex
	budget *retry.Budget
}

// New makes a spender whose budgets all have the given shares.
func New(c retry.Config) *Spender {
	return &Spender{config: c, pools: make(map[string]*pool)}
}

// Retry tells whether a stage may be sent to the pool once more.
func (s *Spender) Retry(now time.Time, name string) bool {
	p := s.pool(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.TakeRetry(now)
}

// Hedge tells whether a second attempt may run beside the first.
func (s *Spender) Hedge(now time.Time, name string) bool {
	p := s.pool(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.TakeHedge(now)
}

// Succeeded tells that a stage was answered whole, which earns extra attempts.
func (s *Spender) Succeeded(now time.Time, name string) {
	p := s.pool(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Succeeded(now)
}

func (s *Spender) pool(name string) *pool {
	s.mu.RLock()
	p, ok := s.pools[name]
	s.mu.RUnlock()
	if ok {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.pools[name]; ok {
		return p
	}
	p = &pool{budget: retry.NewBudget(s.config)}
	s.pools[name] = p
	return p
}
