// Package deadline learns how long stages take, divides the remaining time of a
// request among its remaining stages, and estimates the probability that a request
// meets its deadline. It reads no clock.
package deadline

import (
	"math/bits"
	"time"

	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/state/shard"
)

// Defaults of Config.
const (
	DefaultHalfLife = 15 * time.Second
	DefaultCapacity = 4096
	defaultShards   = 16
)

// priorWeight is the weight of the operator's estimate, in observations.
const priorWeight = 10.0

// defaultExpected is the expected time of a stage without an operator's estimate.
const defaultExpected = 100 * time.Millisecond

// StageKey identifies one learned distribution.
type StageKey struct {
	Pipeline catalog.PipelineKey
	Stage    string
	// Size is a result of SizeBucket.
	Size uint8
}

// SizeBucket returns the bucket of a size in tokens. Each bucket spans a factor of four.
func SizeBucket(tokens int) uint8 {
	if tokens <= 0 {
		return 0
	}
	return uint8((bits.Len(uint(tokens)) + 1) / 2)
}

// Config holds the settings of Times. Fields that are zero or less take their defaults.
type Config struct {
	// HalfLife is the time after which the weight of an observation has halved, if
	// there are more than minEffectiveSamples observations per half-life.
	HalfLife time.Duration
	// Capacity bounds the number of learned distributions; the least recently observed
	// one is evicted.
	Capacity int
}

// Times holds the distributions of stage times that one instance has learned.
type Times struct {
	halfLife time.Duration
	table    *shard.Map[StageKey, histogram]
}

// NewTimes returns Times without distributions.
func NewTimes(c Config) *Times {
	if c.HalfLife <= 0 {
		c.HalfLife = DefaultHalfLife
	}
	if c.Capacity <= 0 {
		c.Capacity = DefaultCapacity
	}
	return &Times{
		halfLife: c.HalfLife,
		table:    shard.NewMap[StageKey, histogram](defaultShards, c.Capacity),
	}
}

// Observe records that a stage took d. A new distribution starts from the operator's
// estimate, expected, whose weight falls as observations are added.
func (t *Times) Observe(now time.Time, key StageKey, expected, d time.Duration) {
	t.table.Update(key, func(h *histogram, existed bool) {
		if !existed {
			h.seed(now, orDefaultExpected(expected))
		}
		h.observe(now, t.halfLife, d)
	})
}

// Quantile returns the q-quantile of a stage's time, with q from 0 to 1. Without
// observations it derives it from the operator's estimate.
func (t *Times) Quantile(key StageKey, expected time.Duration, q float64) time.Duration {
	var out time.Duration
	if t.table.View(key, func(h *histogram) { out = h.quantile(q) }) {
		return out
	}
	return priorQuantile(expected, q)
}

// Estimate returns the median and the 95th percentile of a stage's time. Without
// observations it derives them from the operator's estimate.
func (t *Times) Estimate(key StageKey, expected time.Duration) (p50, p95 time.Duration) {
	known := t.table.View(key, func(h *histogram) {
		p50, p95 = h.quantile(0.5), h.quantile(0.95)
	})
	if known {
		return p50, p95
	}
	return priorQuantile(expected, 0.5), priorQuantile(expected, 0.95)
}

// priorQuantile returns a quantile of the distribution that histogram.seed builds.
func priorQuantile(expected time.Duration, q float64) time.Duration {
	expected = orDefaultExpected(expected)
	switch {
	case q <= 0.8:
		return expected
	case q <= 0.95:
		return expected * 3 / 2
	default:
		return expected * 5 / 2
	}
}

func orDefaultExpected(expected time.Duration) time.Duration {
	if expected <= 0 {
		return defaultExpected
	}
	return expected
}
