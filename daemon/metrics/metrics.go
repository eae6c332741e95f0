// Package metrics samples the parts of an instance that count for themselves
// and sets the metrics that operators read. The parts stay free of a metrics
// library, and a request pays for no metric that can be read once a second.
package metrics

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
	"github.com/ivyhollow/ivyhollow/daemon/retrybudget"
	"github.com/ivyhollow/ivyhollow/state/requests"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// interval is the time between two samples, and with it their age at most.
const interval = time.Second

// Calls counts calls to the platform; *platform.Budget is one.
type Calls interface {
	Stats() platform.Stats
	ClassStats(class platform.Class) platform.ClassStats
}

// Gates holds the pools' gates; *gate.Group is one.
type Gates interface {
	Each(f func(pool string, own *gate.Gate))
	// NoCapacity counts the refusals for pools without a known target.
	NoCapacity() uint64
}

// Router chooses targets; *routing.Table is one.
type Router interface {
	Stats(now time.Time) routing.Stats
}

// Status keeps the requests' status; *requests.Table is one.
type Status interface {
	Stats() requests.Stats
	Attainment() map[string]requests.Attainment
	// Expire removes what is past its retention.
	Expire(now time.Time)
}

// Extra pays for retries and hedges; *retrybudget.Budgets is one.
type RetryBudgets interface {
	Counts() (retries, hedges retrybudget.Counts)
}

// Options are the parts that a Sampler reads; all are required.
type Options struct {
	Calls        Calls
	Gates        Gates
	Router       Router
	Status       Status
	RetryBudgets RetryBudgets
	Scope        tally.Scope
}

// Sampler is the driver.
type Sampler struct {
	opts   Options
	series *series
	// known holds the pools that were reported once.
	knownPools map[string]struct{}
}

// New makes a sampler.
func New(o Options) *Sampler {
	return &Sampler{opts: o, series: newSeries(o.Scope), knownPools: make(map[string]struct{})}
}

// Run samples until the context ends.
func (s *Sampler) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		s.Sample(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Sample reads every part once. Calls don't overlap.
func (s *Sampler) Sample(now time.Time) {
	s.sampleCalls()
	s.sampleGates()
	s.sampleRouting(now)
	s.sampleStatus(now)
	s.sampleRetryBudgets()
}

// extra reports the attempts beyond the first ones.
func (s *Sampler) sampleRetryBudgets() {
	retries, hedges := s.opts.RetryBudgets.Counts()
	for kind, c := range map[string]retrybudget.Counts{"retry": retries, "hedge": hedges} {
		s.series.raiseCounter(c.Paid, "extra_attempts", label{"kind", kind}, label{"result", "paid"})
		s.series.raiseCounter(c.Refused, "extra_attempts", label{"kind", kind}, label{"result", "refused"})
	}
}
