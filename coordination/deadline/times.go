// Package deadline learns how long stages take, splits what is left of a
// request's deadline over its remaining stages, and tells whether a request can
// still make it. It reads no clock.
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

// priorWeight is how many observations the operator's estimate is worth.
const priorWeight = 10.0

// fallbackExpected stands in for a stage without an estimate.
const defaultExpected = 100 * time.Millisecond

// StageKey names one learned distribution.
type StageKey struct {
	Pipeline catalog.PipelineKey
	Stage    string
	// Size is a bucket made by SizeBucket.
	Size uint8
}

// SizeBucket puts a size in tokens into a bucket; each spans a factor of four.
func SizeBucket(tokens int) uint8 {
	if tokens <= 0 {
		return 0
	}
	return uint8((bits.Len(uint(tokens)) + 1) / 2)
}

// Config sets how stage times are learned. Zero values take the defaults.
type Config struct {
	// HalfLife is the time after which an observation weighs half, at a rate
	// of more than minRemembered observations a half-life.
	HalfLife time.Duration
	// Capacity bounds the number of learned distributions; the one that was
	// observed longest ago gives way.
	Capacity int
}

// Times holds the learned stage times of one instance.
type Times struct {
	halfLife time.Duration
	table    *shard.Map[StageKey, histogram]
}

// NewTimes makes an empty table.
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

// Observe records that a stage took d. A new distribution starts from the
// operator's estimate expected, which fades as observations come in.
func (t *Times) Observe(now time.Time, key StageKey, expected, d time.Duration) {
	t.table.Update(key, func(h *histogram, existed bool) {
		if !existed {
			h.seed(now, orDefaultExpected(expected))
		}
		h.observe(now, t.halfLife, d)
	})
}

// Quantile returns the q-quantile, 0 to 1, of the time of a stage. Before the
// first observation it is that of the operator's estimate.
func (t *Times) Quantile(key StageKey, expected time.Duration, q float64) time.Duration {
	var out time.Duration
	if t.table.View(key, func(h *histogram) { out = h.quantile(q) }) {
		return out
	}
	return priorQuantile(expected, q)
}

// Estimate returns the median and the 95th percentile of a stage's time.
func (t *Times) Estimate(key StageKey, expected time.Duration) (p50, p95 time.Duration) {
	known := t.table.View(key, func(h *histogram) {
		p50, p95 = h.quantile(0.5), h.quantile(0.95)
	})
	if known {
		return p50, p95
	}
	return priorQuantile(expected, 0.5), priorQuantile(expected, 0.95)
}

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
