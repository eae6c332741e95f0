// Package retry decides when a stage is retried or hedged. Extra attempts cost
// tokens of a budget that grows with recent successes, so that they do not
// aggravate a fault that fails all requests.
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

// Config configures a budget. Zero values select the defaults.
type Config struct {
	// RetryRatio and HedgeRatio are the tokens that one success adds. Their sum
	// bounds the extra attempts, as a share of the first attempts.
	RetryRatio, HedgeRatio float64
	// HalfLife is the time in which half of the unspent tokens expire.
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

// Budget limits the extra attempts at one pool. Retries and hedges have separate
// tokens, so that hedges against slow attempts never use up what retries need.
// The caller serialises the calls.
//
// A success adds a fraction of a token and an extra attempt costs a whole one,
// so over any time the extra attempts are at most the ratio times the successes,
// plus the reserve. Unspent tokens decay, so the tokens of an hour of successes
// cannot all be spent in a brown-out, in which none are added.
type Budget struct {
	config Config
	retry  bucket
	hedge  bucket
}

// NewBudget returns a budget that holds its reserve.
func NewBudget(c Config) *Budget {
	c = c.withDefaults()
	return &Budget{
		config: c,
		retry:  bucket{tokens: c.Reserve},
		hedge:  bucket{tokens: c.Reserve},
	}
}

// AddSuccess counts a stage that completed. Call it once per stage, however many
// attempts there were.
func (b *Budget) AddSuccess(now time.Time) {
	b.retry.earn(now, b.config.HalfLife, b.config.RetryRatio)
	b.hedge.earn(now, b.config.HalfLife, b.config.HedgeRatio)
}

// SpendRetry spends the token of one retry and reports whether there was one.
func (b *Budget) SpendRetry(now time.Time) bool {
	return b.retry.spend(now, b.config.HalfLife)
}

// ReturnRetry returns the token of a retry that was not sent.
func (b *Budget) ReturnRetry(now time.Time) {
	b.retry.earn(now, b.config.HalfLife, 1)
}

// SpendHedge spends the token of one hedge and reports whether there was one.
func (b *Budget) SpendHedge(now time.Time) bool {
	return b.hedge.spend(now, b.config.HalfLife)
}

// bucket holds tokens that decay exponentially.
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
