package placing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/rendezvous"
)

const (
	// unreadWeight is how many times the time counts that an engine reads for a
	// request alone: its other requests wait for it, and what one engine has read
	// another need not.
	unreadWeight = 4.0
	// homeAdvantage is by how much another engine has to be better than the one that a
	// hash gives: so that the same engines are found again by an instance that knows
	// nothing of what was read where.
	homeAdvantage = 40 * time.Millisecond
)

// Table holds the engines of all pools.
type Table struct {
	pools map[string]*pool
	// placed are the engines of the requests that are being read, by request.
	placed map[string]*engine
}

type pool struct {
	Pool
	model   model
	engines map[string]*engine
}

// NewTable returns a table without engines.
func NewTable() *Table {
	return &Table{pools: map[string]*pool{}, placed: map[string]*engine{}}
}

// SetEngines takes the engines of a pool that may get requests.
func (t *Table) SetEngines(p Pool, list []Engine) {
	known := t.pools[p.Name]
	if known == nil {
		known = &pool{model: newModel(), engines: map[string]*engine{}}
		t.pools[p.Name] = known
	}
	known.Pool = p
	kept := make(map[string]*engine, len(list))
	for _, e := range list {
		if kept[e.Incarnation] = known.engines[e.Incarnation]; kept[e.Incarnation] == nil {
			kept[e.Incarnation] = newEngine(known, e)
		}
	}
	for id, e := range known.engines {
		if kept[id] == nil {
			t.forget(keys(e.reading)...)
		}
	}
	known.engines = kept
}

func keys(reading map[string]read) []string { return slices.Collect(maps.Keys(reading)) }

// Choose returns the engine at which a request costs least: the time until what is
// before it has been read, the weighted time of reading what the engine has not, and
// the detour of its inputs to the engine's data centre. It is false for a pool without
// an engine.
func (t *Table) Choose(now time.Time, p *Prompt, detour func(dataCentre string) time.Duration) (Choice, bool) {
	known := t.pools[p.Pool]
	if known == nil {
		return Choice{}, false
	}
	var best Choice
	var bestCost time.Duration
	found := false
	home := p.home()
	homeOf := known.homeOf(home)
	for _, e := range known.engines {
		if slices.Contains(p.Exclude, e.Incarnation) {
			continue
		}
		unread := e.unread(p)
		wait := e.wait(now)
		seconds := known.model.seconds(unread) * e.slow
		extra := float64(unread) * known.model.token * e.slow * (unreadWeight - 1)
		cost := wait + duration(seconds+extra) + detour(e.DataCentre)
		if e.Name == homeOf {
			cost -= homeAdvantage
		}
		if now.Before(e.goneUntil) {
			cost += goneCost
		}
		if found && cmp.Or(cmp.Compare(cost, bestCost), cmp.Compare(e.Incarnation, best.Engine.Incarnation)) >= 0 {
			continue
		}
		best = Choice{Engine: e.Engine, First: wait + duration(seconds), Idle: duration(seconds), unread: unread, wait: wait}
		bestCost, found = cost, true
	}
	return best, found
}

// home is what a request has in common with others: the last part that isn't its own.
func (p *Prompt) home() string {
	if len(p.Parts) == 0 {
		return ""
	}
	return p.Parts[max(len(p.Parts)-2, 0)].ID
}

// homeOf is the name of the engine that a hash gives to a home.
func (p *pool) homeOf(home string) string {
	if home == "" {
		return ""
	}
	var best string
	var bestScore uint64
	for _, e := range p.engines {
		name := cmp.Or(e.Name, e.Incarnation)
		if score := rendezvous.Score(name, home); best == "" || score < bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}

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
	e.reading[request] = read{
		sent: now, due: now.Add(c.First), unread: c.unread, alone: c.wait == 0,
	}
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
	e.slow = clamp(e.slow+slowShare*(ratio-e.slow), leastSlow, mostSlow)
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
			delete(e.reading, id)
			delete(t.placed, id)
		}
	}
}
