// Package metrics samples the components of an instance that keep their own counters, and
// sets the metrics that operators read. The components need no metrics library, and
// requests don't bear the cost of metrics that can be sampled once a second.
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

// interval is the time between two samples, and so the maximum age of a metric.
const interval = time.Second

// Calls provides the counters of calls to the platform; *platform.Budget is one.
type Calls interface {
	Stats() platform.Stats
	ClassStats(class platform.Class) platform.ClassStats
}

// Gates provides the pools' gates; *gate.Group is one.
type Gates interface {
	Each(f func(pool string, own *gate.Gate))
	// NoCapacity returns the number of refusals for pools without a known target.
	NoCapacity() uint64
}

// Router provides the statistics of routing; *routing.Table is one.
type Router interface {
	Stats(now time.Time) routing.Stats
}

// Status provides the statistics of the requests' status; *requests.Table is one.
type Status interface {
	Stats() requests.Stats
	Attainment() map[string]requests.Attainment
	// Expire removes the requests past their retention.
	Expire(now time.Time)
}

// RetryBudgets provides the counters of retries and hedges; *retrybudget.Budgets is one.
type RetryBudgets interface {
	Counts() (retries, hedges retrybudget.Counts)
}

// Options are the components that a Sampler reads; all are required.
type Options struct {
	Calls        Calls
	Gates        Gates
	Router       Router
	Status       Status
	RetryBudgets RetryBudgets
	Scope        tally.Scope
}

// Sampler samples the components periodically.
type Sampler struct {
	opts   Options
	series *series
	// knownPools holds the pools whose targets were ever reported.
	knownPools map[string]struct{}
}

// New returns a sampler.
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

// Sample reads every component once. Calls don't overlap.
func (s *Sampler) Sample(now time.Time) {
	s.sampleCalls()
	s.sampleGates()
	s.sampleRouting(now)
	s.sampleStatus(now)
	s.sampleRetryBudgets()
}

// sampleRetryBudgets reports the extra attempts: retries and hedges.
func (s *Sampler) sampleRetryBudgets() {
	retries, hedges := s.opts.RetryBudgets.Counts()
	for kind, c := range map[string]retrybudget.Counts{"retry": retries, "hedge": hedges} {
		s.series.raiseCounter(c.Paid, "extra_attempts", label{"kind", kind}, label{"result", "paid"})
		s.series.raiseCounter(c.Refused, "extra_attempts", label{"kind", kind}, label{"result", "refused"})
	}
}
