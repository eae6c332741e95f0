package platform

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Defaults of BudgetOptions. The rates are one instance's share of the platform's
// limits in a fleet of eight.
const (
	DefaultReadsPerSecond  = 200
	DefaultWritesPerSecond = 40
	DefaultBurst           = 20
	DefaultMaxWait         = time.Second
	// DefaultRestartPerSecond does not depend on the maximum rate, so that a higher
	// maximum does not make recovery more aggressive.
	DefaultRestartPerSecond = 2
	DefaultMaxProbeInterval = 5 * time.Second
)

// BudgetOptions are the settings of a Budget; zero values mean the defaults.
type BudgetOptions struct {
	// ReadsPerSecond and WritesPerSecond are the maximum rates of this process.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Burst is the number of calls of a class that may be sent at once.
	Burst float64
	// MaxWait bounds how long a call waits for the budget.
	MaxWait time.Duration
	// RestartPerSecond is the rate at the end of an outage in a small fleet. It may
	// be higher if the platform's limit and the size of the fleet are known.
	RestartPerSecond float64
	// MaxProbeInterval bounds the time between two probes during an outage, and
	// thus the time until the end of the outage is detected.
	MaxProbeInterval time.Duration
	// Rand is the random source of the jitter; the Budget uses it under its lock.
	Rand *rand.Rand
}

// Budget limits the rate of a process's calls to the platform. It is shared by all
// parts of the process that call it, and safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	limiter *callLimiter
	counts  [classCount]ClassStats
}

// Stats are counts of calls since the start, for metrics.
type Stats struct {
	// Sent counts the calls that left the process, NotAdmitted those that the
	// budget refused.
	Sent, NotAdmitted uint64
	// Limited counts the responses with status 429, Failed the calls without a
	// response or with a 5xx status.
	Limited, Failed uint64
	// Outage is true while calls are held back after failures.
	Outage bool
}

// ClassStats are the counts of one class of calls since the start.
type ClassStats struct {
	// The counts have the same meaning as in Stats.
	Sent, NotAdmitted, Limited, Failed uint64
	// Rate is the current rate limit in calls per second.
	Rate float64
}

// Stats returns the sums of the counts of all classes.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := Stats{Outage: b.limiter.breaker.open()}
	for _, c := range b.counts {
		stats.Sent += c.Sent
		stats.NotAdmitted += c.NotAdmitted
		stats.Limited += c.Limited
		stats.Failed += c.Failed
	}
	return stats
}

// ClassStats returns the counts of one class.
func (b *Budget) ClassStats(class Class) ClassStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := b.counts[class]
	stats.Rate = b.limiter.pacers[class].rate
	return stats
}

// NewBudget returns a budget that starts at its maximum rates.
func NewBudget(o BudgetOptions) *Budget {
	o.ReadsPerSecond = cmp.Or(o.ReadsPerSecond, DefaultReadsPerSecond)
	o.WritesPerSecond = cmp.Or(o.WritesPerSecond, DefaultWritesPerSecond)
	o.Burst = cmp.Or(o.Burst, DefaultBurst)
	o.MaxWait = cmp.Or(o.MaxWait, DefaultMaxWait)
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Budget{limiter: newCallLimiter(o, time.Now())}
}

// SetInstances sets the number of instances that share the platform's limits, this
// one included. The more there are, the lower the rate at which each restarts after
// an outage, and the slower its increase.
func (b *Budget) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.limiter.pacers {
		b.limiter.pacers[i].setInstances(n)
	}
}

// permit allows one call; release must be called once, at the end of the call.
type permit struct {
	budget *Budget
	class  Class
	probe  bool
}

// acquire waits until the budget admits the call. It refuses the call immediately
// during an outage, or if the wait would exceed MaxWait or the share of it that ctx
// allows.
func (b *Budget) acquire(ctx context.Context, class Class) (permit, error) {
	if err := ctx.Err(); err != nil {
		return permit{}, err
	}
	admitted, err := b.admit(class, waitShare(ctx))
	if err != nil {
		return permit{}, err
	}
	if err := sleep(ctx, admitted.wait); err != nil {
		return permit{}, err
	}
	return permit{budget: b, class: class, probe: admitted.probe}, nil
}

func (b *Budget) admit(class Class, share float64) (admission, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	admitted, err := b.limiter.admitWithin(time.Now(), class, time.Duration(share*float64(b.limiter.maxWait)))
	if err != nil {
		b.counts[class].NotAdmitted++
	}
	return admitted, err
}

func (p permit) release(r callResult) {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limiter.recordResult(time.Now(), p.class, p.probe, r)
	counts := &b.counts[p.class]
	counts.Sent++
	switch r.outcome {
	case outcomeRateLimited:
		counts.Limited++
	case outcomeFailed:
		counts.Failed++
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
