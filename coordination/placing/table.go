package placing

import (
	"maps"
	"slices"
	"time"
)

// Table holds the engines of all pools.
type Table struct {
	pools map[string]*poolState
	// placed are the engines of the requests that are being read, by request.
	assigned map[string]*engineState
}

// NewTable returns a table without engines.
func NewTable() *Table {
	return &Table{pools: map[string]*poolState{}, assigned: map[string]*engineState{}}
}

// SetEngines takes the engines of a pool that may get requests.
func (t *Table) SetEngines(p Pool, list []Engine) {
	known := t.pools[p.Name]
	if known == nil {
		known = newPoolState()
		t.pools[p.Name] = known
	}
	known.Pool = p
	for _, e := range known.setEngines(list) {
		t.removeRequests(requestIDs(e.prefills)...)
	}
}

func requestIDs(reading map[string]prefill) []string { return slices.Collect(maps.Keys(reading)) }

// Sent notes that a request goes to an engine.
func (t *Table) RecordSent(now time.Time, request string, p *Prompt, c Choice) {
	known := t.pools[p.Pool]
	if known == nil {
		return
	}
	e := known.engines[c.Engine.Incarnation]
	if e == nil {
		return
	}
	t.removeRequests(request)
	e.startPrefill(request, prefill{
		sent: now, due: now.Add(c.FirstEvent), uncached: c.uncached, engineIdle: c.queueWait == 0,
	})
	e.addToCache(now, p.Parts, len(p.Parts)-1, known.CacheTokens)
	t.assigned[request] = e
}

// Ended takes in what became of a request.
func (t *Table) RecordEnd(s RequestEnd) {
	e := t.assigned[s.Request]
	if e == nil {
		return
	}
	r, reading := e.prefills[s.Request]
	t.removeRequests(s.Request)
	if reading && s.Engine == e.Incarnation && s.FirstEvent > 0 {
		e.unreachableCount = 0
		e.observe(r, s.FirstEvent)
	}
}

// Gone notes that nothing listens at an engine's address. The load it answers: hundreds of
// instances, of which each finds out for itself and only after the holder has chosen the
// engine for it, since an engine that reads nothing counts as idle.
func (t *Table) RecordUnreachable(now time.Time, pool, engine string) {
	if p := t.pools[pool]; p != nil && p.engines[engine] != nil {
		p.engines[engine].markUnreachable(now)
	}
}

// learn takes in the time to a first event. Only a request before which nothing was
// read tells of its own tokens.
func (e *engineState) observe(r prefill, first time.Duration) {
	if !r.engineIdle {
		return
	}
	ratio := first.Seconds() / e.pool.model.seconds(r.uncached)
	e.pool.setSlowdown(e, clamp(e.slowdown+slowdownGain*(ratio-e.slowdown), minSlowdown, maxSlowdown))
	e.pool.model.update(r.uncached, first.Seconds())
}

// Tick forgets the requests of whose ends no word came.
//
// It guards against a word that is lost, as when an asker is cut off: the engine would
// count as further and further behind, get nothing any more, and so never be found to
// be well.
func (t *Table) Tick(now time.Time) {
	for _, p := range t.pools {
		for _, e := range p.engines {
			t.removeRequests(e.expired(now)...)
		}
	}
}

// forget takes requests from their engines.
func (t *Table) removeRequests(requests ...string) {
	for _, id := range requests {
		if e := t.assigned[id]; e != nil {
			e.endPrefill(id)
			delete(t.assigned, id)
		}
	}
}
