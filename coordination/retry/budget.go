// Package retry decides when a stage is sent again or hedged. Extra attempts
// are paid from a budget that is a share of recent successes, so that a fault
// which fails everything is not made worse by them.
package retry

import (
	"math"
	"time"
)

// Defaults of Config.
const (
	DefaultRetryRatio = 0.1
	DefaultHedgeRatio = 0.05
	DefaultHalfLife   = 10 * time.Second
	DefaultReserve    = 2.0
)

// Config sets a budget. Zero values take the defaults.
type Config struct {
	// RetryRatio and HedgeRatio are the tokens that one success earns. Their
	// sum bounds the extra attempts, as a share of the first ones.
	RetryRatio, HedgeRatio float64
	// HalfLife is the time in which unspent tokens lose half their number.
	HalfLife time.Duration
	// Reserve is the number of tokens a new budget holds.
	Reserve float64
}

func (c Config) withDefaults() Config {
	if c.RetryRatio <= 0 {
		c.RetryRatio = DefaultRetryRatio
	}
	if c.HedgeRatio <= 0 {
		c.HedgeRatio = DefaultHedgeRatio
	}
	if c.HalfLife <= 0 {
		c.HalfLife = DefaultHalfLife
	}
	if c.Reserve <= 0 {
		c.Reserve = DefaultReserve
	}
	return c
}

// Budget pays for the extra attempts at one pool. Retries and hedges are paid
// apart, so that hedges against slowness never take what failures need. The
// caller serialises the calls.
//
// One success earns a fixed part of a token and one extra attempt costs a whole
// one, so over any time the extra attempts are at most the ratio times the
// successes, plus the reserve. Unspent tokens fade: what a good hour earned
// cannot be spent at once in a brown-out, in which nothing is earned.
type Budget struct {
	config Config
	retry  bucket
	hedge  bucket
}

// NewBudget makes a budget that holds its reserve.
func NewBudget(c Config) *Budget {
	c = c.withDefaults()
	return &Budget{
		config: c,
		retry:  bucket{tokens: c.Reserve},
		hedge:  bucket{tokens: c.Reserve},
	}
}

// Succeeded tells that a stage was answered. It is told once a stage, however
// many attempts there were.
func (b *Budget) AddSuccess(now time.Time) {
	b.retry.earn(now, b.config.HalfLife, b.config.RetryRatio)
	b.hedge.earn(now, b.config.HalfLife, b.config.HedgeRatio)
}

// TakeRetry pays for one retry, or tells that there is no token left.
func (b *Budget) SpendRetry(now time.Time) bool {
	return b.retry.spend(now, b.config.HalfLife)
}

// TakeHedge pays for one hedge, or tells that there is no token left.
func (b *Budget) SpendHedge(now time.Time) bool {
	return b.hedge.spend(now, b.config.HalfLife)
}

type bucket struct {
	tokens    float64
	updatedAt time.Time
}

func (k *bucket) decay(now time.Time, halfLife time.Duration) {
	if k.updatedAt.IsZero() {
		k.updatedAt = now
		return
	}
	if elapsed := now.Sub(k.updatedAt); elapsed > 0 {
		k.tokens *= math.Exp2(-float64(elapsed) / float64(halfLife))
		k.updatedAt = now
	}
}

func (k *bucket) earn(now time.Time, halfLife time.Duration, tokens float64) {
	k.decay(now, halfLife)
	k.tokens += tokens
}

func (k *bucket) spend(now time.Time, halfLife time.Duration) bool {
	k.decay(now, halfLife)
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}
