package platform

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Defaults of BudgetOptions: a share of the platform's limits for a fleet of
// eight instances.
const (
	DefaultReadsPerSecond  = 200
	DefaultWritesPerSecond = 40
	DefaultBurst           = 20
	DefaultMaxWait         = time.Second
	// DefaultRestartPerSecond is absolute: a share of the full rate would grow
	// with it.
	DefaultRestartPerSecond = 2
	DefaultMaxProbeInterval = 5 * time.Second
)

// BudgetOptions are the settings of a Budget; zero values mean the defaults.
type BudgetOptions struct {
	// ReadsPerSecond and WritesPerSecond are the most this process sends.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Burst is the number of calls of a class that may leave at once.
	Burst float64
	// MaxWait bounds how long a call waits for its turn.
	MaxWait time.Duration
	// RestartPerSecond is where the return from an outage begins, in a small
	// fleet. A fleet that knows the platform's limit and its own size can begin
	// higher.
	RestartPerSecond float64
	// ProbeEvery bounds the time between two probes during an outage, and so the
	// time until its end is noticed.
	MaxProbeInterval time.Duration
	// Rand draws the jitter; the Budget uses it under its lock.
	Rand *rand.Rand
}

// Budget is the budget of calls of one process, shared by everything in it that
// calls the platform. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	limiter *callLimiter
	counts  [classCount]ClassStats
}

// Stats are counts of calls since the start, for metrics.
type Stats struct {
	// Sent left the process, Held were refused within it.
	Sent, NotAdmitted uint64
	// Limited were answered 429, Failed had no answer or one of 5xx.
	Limited, Failed uint64
	// Outage is true while calls are held back after failures.
	Outage bool
}

// ClassStats are the counts of one class of calls since the start.
type ClassStats struct {
	// The counts mean the same as in Stats.
	Sent, NotAdmitted, Limited, Failed uint64
	// Rate is the calls a second that may leave now.
	Rate float64
}

// Stats returns the counts of all classes together.
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

// NewBudget returns a budget that starts at its full rate.
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

// SetInstances tells how many instances share the platform's limits, this one
// included. It sets how carefully calls return after an outage.
func (b *Budget) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.limiter.pacers {
		b.limiter.pacers[i].setInstances(n)
	}
}

// permit allows one call; done must be called once at its end.
type permit struct {
	budget *Budget
	class  Class
	probe  bool
}

// acquire waits for the call's turn. It refuses at once when the wait would
// exceed ctx or MaxWait, or during an outage.
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
