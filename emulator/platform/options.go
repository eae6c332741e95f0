// Package platform is an in-memory stand-in of the platform: object store,
// list of targets and weight store, with its limits and its faults. Tests use it
// and `ivyhollowd dev` embeds it; it keeps nothing and is no product store.
package platform

import (
	"cmp"
	"time"
)

// Defaults of Options.
const (
	DefaultWritesPerSecond      = 400
	DefaultReadsPerSecond       = 2000
	DefaultTargetLag            = 3 * time.Second
	DefaultHistory              = 4096
	DefaultWeightBytesPerSecond = 1 << 30
	DefaultLocalTimeout         = 2 * time.Second
)

// Unlimited switches a rate limit off.
const Unlimited = -1

// Options are the settings of a Store; zero values mean the defaults.
type Options struct {
	// WritesPerSecond and ReadsPerSecond limit all callers together, with a
	// burst of a tenth of a second. A waiting watch counts as one read.
	WritesPerSecond int
	ReadsPerSecond  int
	// WeightBytesPerSecond limits the weight store, with a burst of one second.
	WeightBytesPerSecond int
	// TargetLag passes before a change of the targets shows to readers.
	TargetLag time.Duration
	// History is the number of changes kept for watches and reads of the past.
	History int
	// LocalTimeout ends in-process calls that are never answered.
	LocalTimeout time.Duration
	// Seed fixes the draws of the faults.
	Seed uint64
	// Now and AfterFunc are the clock; nil means that of package time.
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
