package placing

import (
	"maps"
	"slices"
	"time"
)

// Table holds the engines of all pools.
type Table struct {
	pools map[string]*pool
	// placed are the engines of the requests that are being read, by request.
	placed map[string]*engine
}

// NewTable returns a table without engines.
func NewTable() *Table {
	return &Table{pools: map[string]*pool{}, placed: map[string]*engine{}}
}

// SetEngines takes the engines of a pool that may get requests.
func (t *Table) SetEngines(p Pool, list []Engine) {
	known := t.pools[p.Name]
	if known == nil {
		known = newPool()
		t.pools[p.Name] = known
	}
	known.Pool = p
	for _, e := range known.set(list) {
		t.forget(keys(e.reading)...)
	}
}

func keys(reading map[string]read) []string { return slices.Collect(maps.Keys(reading)) }

// Sent notes that a request goes to an engine.
func (t *Table) Sent(now time.Time, request string, p *Prompt, c Choice) {
	known := t.pools[p.Pool]
	if known == nil {
		return
	}
	e := known.engines[c.Engine.Incarnation]
	if e == nil {
		return
	}
	t.forget(request)
	e.begin(request, read{
		sent: now, due: now.Add(c.First), unread: c.unread, alone: c.wait == 0,
	})
	e.cache(now, p.Parts, len(p.Parts)-1, known.CacheTokens)
	t.placed[request] = e
}

// Ended takes in what became of a request.
func (t *Table) Ended(s Served) {
	e := t.placed[s.Request]
	if e == nil {
		return
	}
	r, reading := e.reading[s.Request]
	t.forget(s.Request)
	if reading && s.Engine == e.Incarnation && s.First > 0 {
		e.gone = 0
		e.learn(r, s.First)
	}
}

// Gone notes that nothing listens at an engine's address. The load it answers: hundreds of
// instances, of which each finds out for itself and only after the holder has chosen the
// engine for it, since an engine that reads nothing counts as idle.
func (t *Table) Gone(now time.Time, pool, engine string) {
	if p := t.pools[pool]; p != nil && p.engines[engine] != nil {
		p.engines[engine].isGone(now)
	}
}

// learn takes in the time to a first event. Only a request before which nothing was
// read tells of its own tokens.
func (e *engine) learn(r read, first time.Duration) {
	if !r.alone {
		return
	}
	ratio := first.Seconds() / e.pool.model.seconds(r.unread)
	e.pool.setSlow(e, clamp(e.slow+slowShare*(ratio-e.slow), leastSlow, mostSlow))
	e.pool.model.learn(r.unread, first.Seconds())
}

// Tick forgets the requests of whose ends no word came.
//
// It guards against a word that is lost, as when an asker is cut off: the engine would
// count as further and further behind, get nothing any more, and so never be found to
// be well.
func (t *Table) Tick(now time.Time) {
	for _, p := range t.pools {
		for _, e := range p.engines {
			t.forget(e.lost(now)...)
		}
	}
}

// forget takes requests from their engines.
func (t *Table) forget(requests ...string) {
	for _, id := range requests {
		if e := t.placed[id]; e != nil {
			e.end(id)
			delete(t.placed, id)
		}
	}
}
