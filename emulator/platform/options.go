// Package platform emulates the platform in memory: its object store, list of
// targets and weight store, with rate limits and injected faults. Tests use it and
// `ivyhollowd dev` embeds it. It persists nothing and isn't meant for production.
package platform

import (
	"cmp"
	"time"
)

// Defaults for fields of Options that are zero.
const (
	DefaultWritesPerSecond      = 400
	DefaultReadsPerSecond       = 2000
	DefaultTargetLag            = 3 * time.Second
	DefaultHistory              = 4096
	DefaultWeightBytesPerSecond = 1 << 30
	DefaultLocalTimeout         = 2 * time.Second
)

// Unlimited disables a rate limit.
const Unlimited = -1

// Options are the settings of a Store; zero values mean the defaults.
type Options struct {
	// WritesPerSecond and ReadsPerSecond limit all callers together, with a burst
	// of a tenth of a second. A waiting watch counts as one read.
	WritesPerSecond int
	ReadsPerSecond  int
	// WeightBytesPerSecond limits the weight store, with a burst of one second.
	WeightBytesPerSecond int
	// TargetLag is the delay before readers see a change of the targets.
	TargetLag time.Duration
	// History is the number of changes kept for watches and stale reads.
	History int
	// LocalTimeout ends in-process calls without a response.
	LocalTimeout time.Duration
	// Seed seeds the random source of the faults.
	Seed uint64
	// Now and AfterFunc replace the clock; nil means the clock of package time.
	Now       func() time.Time
	AfterFunc func(time.Duration, func())
}

func (o Options) withDefaults() Options {
	o.WritesPerSecond = cmp.Or(o.WritesPerSecond, DefaultWritesPerSecond)
	o.ReadsPerSecond = cmp.Or(o.ReadsPerSecond, DefaultReadsPerSecond)
	o.WeightBytesPerSecond = cmp.Or(o.WeightBytesPerSecond, DefaultWeightBytesPerSecond)
	o.TargetLag = cmp.Or(o.TargetLag, DefaultTargetLag)
	o.History = cmp.Or(o.History, DefaultHistory)
	o.LocalTimeout = cmp.Or(o.LocalTimeout, DefaultLocalTimeout)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.AfterFunc == nil {
		o.AfterFunc = func(d time.Duration, f func()) { time.AfterFunc(d, f) }
	}
	return o
}
