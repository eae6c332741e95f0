package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/cost"
	"github.com/ivyhollow/ivyhollow/coordination/workload"
)

// Work is what a request is predicted to cost.
type Work struct {
	// Estimate is for a target that has nothing of the prompt in its cache.
	Estimate cost.Estimate
	// PromptTokens is the length of the prompt, Prefix its parts.
	PromptTokens int
	Prefix       []PrefixPart
}

// at returns the estimate for a target that has so many of the prompt's tokens in its cache.
func (w *Work) at(cachedTokens int) cost.Estimate {
	if w.PromptTokens <= 0 {
		return w.Estimate
	}
	return w.Estimate.WithRead(1 - min(float64(cachedTokens)/float64(w.PromptTokens), 1))
}

// targetCosts is the account of the work at one target, and what its requests show of its speed.
type targetCosts struct {
	mu       sync.Mutex // held for the account only
	account  workload.Account
	slowdown slowdownEstimate
}

// work returns the work that the target has left. mean is the mean number of others' requests at the
// pool's targets.
func (t *targetView) work(now int64, table *Table, mean float64) workload.Work {
	others := t.others(now, table, mean)
	t.costs.mu.Lock()
	defer t.costs.mu.Unlock()
	if n := t.costs.account.Expire(time.Unix(0, now)); n > 0 {
		t.addInFlight(now, -int64(n)*costUnit)
	}
	return t.costs.account.Work(time.Unix(0, now), int(t.slots(t.Slots)), others)
}

// readWork is work without a change of the account.
func (t *targetView) readWork(now int64, table *Table, mean float64) workload.Work {
	others := t.others(now, table, mean)
	t.costs.mu.Lock()
	account := t.costs.account.Clone()
	t.costs.mu.Unlock()
	account.Expire(time.Unix(0, now))
	return account.Work(time.Unix(0, now), int(t.slots(t.Slots)), others)
}

// others returns what is known of the requests at the target that this instance didn't send.
func (t *targetView) others(now int64, table *Table, mean float64) workload.Others {
	remaining, memory := t.pool.remaining.read()
	others := workload.OthersSince(table.peersAge(now), t.othersLoad(now, &table.config), mean, remaining)
	others.Memory = memory
	return others
}

// othersLoad returns the estimated number of requests at the target that this instance didn't send.
func (s *targetState) othersLoad(now int64, c *Config) float64 {
	return max(s.estimatedLoad(now, c)-s.ownLoad(), 0)
}

// meanOthersLoad returns the mean of othersLoad over the targets of a pool.
func (p *poolView) meanOthersLoad(now int64, c *Config) float64 {
	sum := 0.0
	for _, t := range p.targets {
		sum += t.othersLoad(now, c)
	}
	return sum / float64(max(len(p.targets), 1))
}

// peersAge returns the mean age of the peers' digests; 0 without any.
func (t *Table) peersAge(now int64) time.Duration {
	at := t.digestsAt.Load()
	if at == 0 {
		return 0
	}
	return time.Duration(max(now-at, 0))
}

// attemptCosts is an attempt in the account of its target.
type attemptCosts struct {
	number   uint64
	estimate cost.Estimate
	uncached int
	// uncachedMedian is the median if the target had nothing in its cache.
	uncachedMedian time.Duration
	// wait is the predicted wait for a slot, reported the slowdown that the target had reported.
	wait     time.Duration
	reported float64
}

// StartedWork is Started for a request whose cost is predicted.
func (t *Table) StartedWork(now time.Time, incarnation string, w *Work) *Attempt {
	a := t.Started(now, incarnation, 0)
	if a.target == nil || w == nil || !t.config.CostPlacement {
		return a
	}
	ns := now.UnixNano()
	hashes := hashParts(w.Prefix)
	cached := a.target.cachedTokens(ns, w.Prefix, hashes, t.config.PrefixTTL)
	for _, h := range hashes {
		a.target.prefixes.add(ns, h)
	}
	work := a.target.work(ns, t, a.target.pool.meanOthersLoad(ns, &t.config))
	if n := work.Running + work.Waiting; n > 0 {
		a.target.pool.remaining.sample(work.Left/time.Duration(n), work.OwnMemory/float64(n))
	}
	c := &attemptCosts{estimate: w.at(cached), uncachedMedian: w.Estimate.Median, uncached: max(w.PromptTokens-cached, 0), wait: work.Wait(), reported: a.target.costs.slowdown.reportedNow(ns)}
	costs := &a.target.costs
	costs.mu.Lock()
	defer costs.mu.Unlock()
	c.number = costs.account.Start(now, int(a.target.slots(a.target.Slots)), c.estimate)
	a.costs = c
	return a
}

// FirstEvent records that something of the response has arrived.
func (a *Attempt) FirstEvent(now time.Time) {
	if a.costs == nil {
		return
	}
	a.target.costs.mu.Lock()
	defer a.target.costs.mu.Unlock()
	a.target.costs.account.Began(now, a.costs.number)
}

// Conditions are what an observation of an attempt has to be corrected for.
type Conditions struct {
	// Uncached is the number of prompt tokens that the target had to read.
	Uncached int
	// Wait is the predicted wait for a slot, Slowdown that of the target.
	Wait     time.Duration
	Slowdown float64
}

// Conditions returns the conditions of the attempt; false for one without a predicted cost.
func (a *Attempt) Conditions(now time.Time) (Conditions, bool) {
	if a.costs == nil {
		return Conditions{}, false
	}
	return Conditions{a.costs.uncached, a.costs.wait, a.target.costs.slowdown.read(now.UnixNano())}, true
}

// endCosts removes the attempt from the account. It returns false if it has expired there.
func (a *Attempt) endCosts(now time.Time, r Result) bool {
	c := a.costs
	if c == nil {
		return true
	}
	costs := &a.target.costs
	costs.mu.Lock()
	waited, ok := costs.account.End(now, c.number)
	costs.mu.Unlock()
	if r.Outcome == OutcomeOK {
		took := (r.Latency - max(waited, c.wait)).Seconds() / c.reported
		costs.slowdown.observe(now.UnixNano(), took, c.estimate.Median.Seconds(), c.uncachedMedian.Seconds())
	}
	return ok || c.number == 0
}

// remainingTime is the mean remaining time and memory of a pool's requests that run, as requests
// that start meet them.
type remainingTime struct {
	seconds, memory atomic.Uint64 // bits of float64 values
}

// defaultRemaining applies before the first sample.
const defaultRemaining = 250 * time.Millisecond

func (r *remainingTime) read() (time.Duration, float64) {
	s := math.Float64frombits(r.seconds.Load())
	if s == 0 {
		return defaultRemaining, 0
	}
	return time.Duration(s * float64(time.Second)), math.Float64frombits(r.memory.Load())
}

// remainingWeight is the weight of a new sample: some fifty requests replace the average, since
// remaining times scatter widely.
const remainingWeight = 0.02

func (r *remainingTime) sample(remaining time.Duration, memory float64) {
	old, oldMemory := r.read()
	r.seconds.Store(math.Float64bits(old.Seconds() + remainingWeight*(remaining-old).Seconds()))
	r.memory.Store(math.Float64bits(oldMemory + remainingWeight*(memory-oldMemory)))
}
