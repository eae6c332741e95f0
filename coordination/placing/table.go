package placing

import (
	"maps"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/cost"
	"github.com/ivyhollow/ivyhollow/coordination/pacing"
)

// Table holds the engines of all pools and assigns requests to them.
type Table struct {
	pools map[string]*poolState
	// assigned has the engines of the requests whose prompts are being processed, by request
	// ID.
	assigned map[string]*engineState
	// grants reports whether sends to an engine, by name, may be granted; nil means to all.
	grants func(engine string) bool
	// limits are the paces of the engines that name a limit, by incarnation.
	limits map[string]pacing.Pace
	// costs predicts how long requests run; nil unless engines are chosen by cost. running has the
	// engines of the requests that run or wait there, by request ID.
	costs   *cost.Model
	running map[string]*engineState
}

// NewTable returns a table without engines.
func NewTable() *Table {
	return &Table{pools: map[string]*poolState{}, assigned: map[string]*engineState{}}
}

// SetGrants sets which engines, by name, this instance may grant sends to where the pool or the
// engine has a pace; nil means all.
func (t *Table) SetGrants(grants func(engine string) bool) { t.grants = grants }

// SetLimits replaces the paces of the engines that name a limit, by incarnation.
func (t *Table) SetLimits(limits map[string]pacing.Pace) {
	t.limits = limits
	for _, pool := range t.pools {
		pool.setLimits(limits)
	}
}

// SetEngines replaces the engines of a pool that may receive requests.
func (t *Table) SetEngines(p Pool, list []Engine) {
	pool := t.pools[p.Name]
	if pool == nil {
		pool = newPoolState()
		t.pools[p.Name] = pool
	}
	pool.Pool = p
	defer pool.setLimits(t.limits)
	for _, e := range pool.setEngines(list) {
		t.removeRequests(requestIDs(e.prefills)...)
		t.removeRunning(e)
	}
}

func requestIDs(prefills map[string]prefill) []string { return slices.Collect(maps.Keys(prefills)) }

// RecordSent records that a request is assigned to an engine, and grants its send.
func (t *Table) RecordSent(now time.Time, request string, p *Prompt, c Choice) {
	pool := t.pools[p.Pool]
	if pool == nil {
		return
	}
	e := pool.engines[c.Engine.Incarnation]
	if e == nil {
		return
	}
	t.removeRequests(request)
	pool.grants.Grant(now, e.pacedName(), pool.Pace, e.limit)
	e.startPrefill(request, prefill{
		sent: now, due: now.Add(c.FirstEvent), uncached: c.uncached, engineIdle: c.queueWait == 0,
	})
	e.addToCache(now, p.Parts, len(p.Parts)-1, pool.CacheTokens)
	t.assigned[request] = e
	t.startRunning(now, request, p, e, c)
}

// RecordEnd records the end of a request, and learns from the time to its first event.
func (t *Table) RecordEnd(end RequestEnd) {
	e := t.assigned[end.Request]
	if e == nil {
		return
	}
	p, processing := e.prefills[end.Request]
	t.removeRequests(end.Request)
	if processing && end.Engine == e.Incarnation && end.FirstEvent > 0 {
		e.unreachableCount = 0
		e.observe(p, end.FirstEvent)
	}
}

// RecordUnreachable records that nothing listens at an engine's address. An engine that
// processes nothing counts as idle, so without a backoff it would be chosen again and again:
// hundreds of instances find out one by one, and each only after the choice.
func (t *Table) RecordUnreachable(now time.Time, pool, engine string) {
	if p := t.pools[pool]; p != nil && p.engines[engine] != nil {
		p.engines[engine].markUnreachable(now)
	}
}

// observe updates the predictions by the time to a first event. Only a request that had no
// other before it shows the time for its own tokens.
func (e *engineState) observe(p prefill, firstEvent time.Duration) {
	if !p.engineIdle {
		return
	}
	ratio := firstEvent.Seconds() / e.pool.model.seconds(p.uncached)
	e.pool.setSlowdown(e, clamp(e.slowdown+slowdownGain*(ratio-e.slowdown), minSlowdown, maxSlowdown))
	e.pool.model.update(p.uncached, firstEvent.Seconds())
}

// Tick removes the requests whose ends are overdue.
//
// A report of an end is lost when, for example, a requester is disconnected. Without this
// the engine would seem ever further behind, receive no more requests, and so never be
// found to have recovered.
func (t *Table) Tick(now time.Time) {
	for _, p := range t.pools {
		p.grants.Prune(now)
		for _, e := range p.engines {
			t.removeRequests(e.expired(now)...)
			t.expireRunning(now, e)
		}
	}
}

// removeRequests removes requests from their engines.
func (t *Table) removeRequests(requests ...string) {
	for _, id := range requests {
		if e := t.assigned[id]; e != nil {
			e.endPrefill(id)
			delete(t.assigned, id)
		}
	}
}
