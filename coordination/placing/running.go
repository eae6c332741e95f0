package placing

import (
	"math"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/cost"
	"github.com/ivyhollow/ivyhollow/coordination/workload"
)

const (
	// fewRunning is the share of the slots up to which longer steps aren't avoided: that would move
	// requests away from the parts that their engines have cached.
	fewRunning = 0.5
	// memoryReserve is the share of an engine's memory above which a request costs more there: outputs
	// may become longer than predicted.
	memoryReserve = 0.1
	// unknownExpiry is the age at which a request counts as ended while nothing is known of how long such
	// requests take, expiryTotals the number of predicted durations after which it does otherwise. Long
	// generations take tens of seconds.
	unknownExpiry = time.Minute
	expiryTotals  = 4
	// overflowPenalty is added to the cost of an engine whose memory a request exceeds altogether; it
	// exceeds the cost of a wait at any engine that has room.
	overflowPenalty = 30 * time.Second
	// maxOverflow limits the requests too many that are told apart.
	maxOverflow = 1000
)

// generations are the requests at an engine, from their sends until their ends.
type generations struct {
	account workload.Account
	byID    map[string]generation
	// memory is the number of tokens that they need.
	memory float64
}

// generation is a request at an engine.
type generation struct {
	request cost.Request
	number  uint64
	sent    time.Time
	began   bool
	memory  float64
	// expiry is the age at which it counts as ended without a report.
	expiry time.Duration
	// wait is the predicted wait for requests before it, others the number of those at its send.
	wait   time.Duration
	others int
}

// work is what a request needs while it runs.
type work struct {
	request cost.Request
	cost.Estimate
	// rest is its expected time in seconds apart from reading.
	rest float64
}

// NewTableByCost returns a table without engines that keeps account of the requests at each engine
// until their ends, and chooses by the work that each has left.
func NewTableByCost() *Table {
	t := NewTable()
	t.costs, t.running = cost.NewModel(), map[string]*engineState{}
	return t
}

// predict returns what a request needs apart from the reading of its prompt.
func (t *Table) predict(now time.Time, p *Prompt) *work {
	if t.costs == nil {
		return nil
	}
	return workOf(now, p, t.costs.Estimate)
}

// peek is predict for a request that is only asked about.
func (t *Table) peek(now time.Time, p *Prompt) *work {
	if t.costs == nil {
		return nil
	}
	return workOf(now, p, t.costs.Peek)
}

func workOf(now time.Time, p *Prompt, estimate func(time.Time, cost.Request) cost.Estimate) *work {
	r := cost.Request{Pool: p.Pool, Route: p.Route, Account: p.Account, PromptTokens: p.Tokens, Hint: p.Hint, MaxOutput: p.MaxOutput}
	e := estimate(now, r)
	return &work{r, e, (e.Mean() - e.Read).Seconds()}
}

// startRunning records a request in the account of its engine.
func (t *Table) startRunning(now time.Time, id string, p *Prompt, e *engineState, c Choice) {
	if t.costs == nil {
		return
	}
	t.endRunning(now, id)
	w := t.predict(now, p)
	w.request.Uncached = c.uncached
	if e.start(now, id, w, c.queueWait) {
		t.running[id] = e
	}
}

// start adds a request to the account. It returns false if the account is full.
func (e *engineState) start(now time.Time, id string, w *work, wait time.Duration) bool {
	others := e.account.Len()
	number := e.account.Start(now, e.slots(), w.Estimate)
	if number == 0 {
		return false
	}
	if e.byID == nil {
		e.byID = map[string]generation{}
	}
	e.byID[id] = generation{request: w.request, number: number, sent: now, memory: w.Memory, expiry: w.expiry(), wait: wait, others: others}
	e.memory += w.Memory
	return true
}

// begin records that the first event of a request has come.
func (e *engineState) begin(now time.Time, id string) {
	g := e.byID[id]
	g.began = true
	e.byID[id] = g
	e.account.Began(now, g.number)
}

// expiry returns the age at which the request counts as ended without a report.
func (w *work) expiry() time.Duration {
	if !w.Observed() {
		return unknownExpiry
	}
	return max(workload.Expiry, expiryTotals*w.Total)
}

// slots returns the number of requests that the engine runs at once.
func (e *engineState) slots() int {
	if e.pool.Slots <= 0 {
		return workload.MaxRequests
	}
	return e.pool.Slots
}

// endRunning removes a request from the account of its engine.
func (t *Table) endRunning(now time.Time, id string) {
	e := t.running[id]
	if e == nil {
		return
	}
	g := e.byID[id]
	e.account.End(now, g.number)
	delete(e.byID, id)
	delete(t.running, id)
	if e.memory -= g.memory; len(e.byID) == 0 {
		e.memory = 0
	}
}

// removeRunning removes all requests of an engine that is gone.
func (t *Table) removeRunning(e *engineState) {
	for id := range e.byID {
		delete(t.running, id)
	}
	e.generations = generations{}
}

// expireRunning removes the requests whose ends are overdue.
func (t *Table) expireRunning(now time.Time, e *engineState) {
	for id, g := range e.byID {
		if now.Sub(g.sent) > g.expiry {
			t.endRunning(now, id)
		}
	}
}

// RecordProgress records in the account of a request's engine that its first event has come, or that
// it has ended there, and learns from that. The first event alone ends it if nobody reports its end.
func (t *Table) RecordProgress(now time.Time, end RequestEnd) {
	e := t.running[end.Request]
	if e == nil {
		return
	}
	if e.Incarnation != end.Engine {
		if !end.EndsStream() {
			t.endRunning(now, end.Request)
		}
		return
	}
	g := e.byID[end.Request]
	switch {
	case end.EndsStream():
		others := float64(g.others+e.account.Len()-1) / 2
		t.endRunning(now, end.Request)
		if end.Complete {
			t.observeEnd(now, e, &g, others, end)
		}
	case end.Running:
		e.begin(now, end.Request)
		t.costs.Observe(now, g.request, cost.Observation{FirstEvent: end.FirstEvent, Wait: g.wait, Slowdown: e.slowdown})
	default:
		t.endRunning(now, end.Request)
	}
}

// observeEnd learns from a complete stream that ran with so many others on average.
func (t *Table) observeEnd(now time.Time, e *engineState, g *generation, others float64, end RequestEnd) {
	factor := e.pool.steps.factor(others)
	t.costs.Observe(now, g.request, cost.Observation{
		FirstEvent: end.FirstEvent, Total: end.Duration, Output: end.Events, Wait: g.wait, Slowdown: e.slowdown * factor,
	})
	if end.Events >= minStepEvents {
		e.pool.steps.update(others, (end.Duration-end.FirstEvent).Seconds()/float64(end.Events-1)/e.slowdown)
	}
}

// slotWait returns the expected wait of a new request for a slot: nothing while one is free.
func (e *engineState) slotWait(now time.Time) time.Duration {
	if e.account.Len() < e.slots() {
		return 0
	}
	wait := e.account.Work(now, e.slots(), workload.Others{}).Wait()
	return duration(wait.Seconds() * e.slowdown * e.pool.steps.factor(float64(e.slots()-1)))
}

// readDelay returns what the reading of uncached tokens costs those that run: each of them waits for
// it. It is added to uncachedWeight, which also stands for the part that need not be processed at a
// second engine. As the larger of both, a request left its shared parts at an engine that ran half of
// its slots for one with few requests, whose delay uncachedWeight already contained.
func (e *engineState) readDelay(uncached int) time.Duration {
	running := float64(min(e.account.Len(), e.slots()))
	return duration(float64(uncached) * e.pool.model.perToken * e.slowdown * running)
}

// runCost returns what a request costs while it runs: longer steps, and the lack of memory.
func (e *engineState) runCost(w *work) time.Duration {
	if w == nil {
		return 0
	}
	running := float64(min(e.account.Len(), e.slots()))
	steps := e.pool.steps.slope() * max(running-fewRunning*float64(e.slots()), 0) * w.rest
	return duration(e.slowdown*(steps+e.pressure(w.Memory)*w.rest)) + e.overflowCost(w.Memory)
}

// pressure rises from 0 to 1 within the reserve of an engine's memory.
func (e *engineState) pressure(needed float64) float64 {
	capacity := float64(e.pool.CacheTokens)
	if capacity <= 0 {
		return 0
	}
	return clamp((e.memory+needed-(1-memoryReserve)*capacity)/(memoryReserve*capacity), 0, 1)
}

// overflowCost returns the cost of a request that exceeds an engine's memory, by the share that does.
func (e *engineState) overflowCost(needed float64) time.Duration {
	capacity := float64(e.pool.CacheTokens)
	over := e.memory + needed - capacity
	if capacity <= 0 || over <= 0 || e.account.Len() == 0 {
		return 0
	}
	return duration(overflowPenalty.Seconds() * (1 + math.Min(over/needed, maxOverflow)))
}
