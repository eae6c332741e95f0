package placing

import (
	"math"
	"slices"
	"time"
)

const (
	// uncachedWeight is the weight of the time that an engine spends on uncached tokens of
	// one request: the engine's other requests wait for it, and the same part need not be
	// processed at a second engine.
	uncachedWeight = 4.0
	// homeAdvantage is how much cheaper another engine has to be than the home. It makes an
	// instance that knows nothing of the caches choose the same engines again.
	homeAdvantage = 40 * time.Millisecond
)

// beyondPenalty is added to the cost of an engine whose next grant comes too late; it exceeds the
// cost of any other engine.
const beyondPenalty = time.Minute

// Choose is ChooseWithin without a limit of the wait.
func (t *Table) Choose(now time.Time, p *Prompt, transferCost func(dataCentre string) time.Duration) (Choice, bool) {
	return t.ChooseWithin(now, p, math.MaxInt64, transferCost)
}

// ChooseWithin returns the engine with the lowest cost for a request. The cost is the sum of the
// wait for the requests before it, the weighted time for its uncached tokens, and the cost
// of transferring its inputs to the engine's data centre, which has to be the same for all
// engines there. It returns false if no engine of the pool may serve the request.
//
// An engine that names a limit and has no grant within longestWait is chosen only if there is no
// other.
//
// Few engines are examined: the home, those with a part in cache that few others have, and
// then the remaining ones in ascending order of slowdown, until the lower bound of the next
// one's cost exceeds the lowest cost found.
func (t *Table) ChooseWithin(now time.Time, p *Prompt, longestWait time.Duration, transferCost func(dataCentre string) time.Duration) (Choice, bool) {
	pool := t.pools[p.Pool]
	if pool == nil {
		return Choice{}, false
	}
	s := search{now: now, prompt: p, longestWait: longestWait, transferCost: transferCost, grants: t.grants, work: t.predict(now, p)}
	s.run(pool, pool.homeOf(p.homeKey()))
	return s.choice()
}

// run finds the best engine of a pool. home is the name of the prompt's home.
func (s *search) run(pool *poolState, home string) {
	p := s.prompt
	for _, e := range pool.byName[home] {
		s.consider(e, homeAdvantage)
	}
	cachers, uncached := pool.enginesWithRarePart(p)
	for _, e := range cachers {
		s.consider(e, 0)
	}
	minTransfer := pool.minTransferCost(s.transferCost)
	for _, e := range pool.bySlowdown {
		bound := e.prefillCost(uncached) + minTransfer
		if s.best != nil && bound > s.cost {
			break
		}
		if s.isBetter(bound+s.queueCost(e)+e.readDelay(uncached), e) {
			s.consider(e, 0)
		}
	}
}

// homeKey returns the key that requests of the same home have in common: the ID of the last
// part that isn't specific to the request, or of the only part.
func (p *Prompt) homeKey() string {
	if len(p.Parts) == 0 {
		return ""
	}
	return p.Parts[max(len(p.Parts)-2, 0)].ID
}

// search is the state of one call of Choose.
type search struct {
	now          time.Time
	prompt       *Prompt
	longestWait  time.Duration
	transferCost func(dataCentre string) time.Duration
	// grants reports whether sends to an engine with a pace may be granted; nil means to all.
	grants func(engine string) bool
	// best is the cheapest engine so far, nil if there is none; cost is the cost there.
	best *engineState
	cost time.Duration
	// work is what the request needs while it runs; nil unless engines are chosen by cost.
	work *work
}

// consider compares an engine with the best so far; advantage is subtracted from its cost.
func (s *search) consider(e *engineState, advantage time.Duration) {
	if s.isExcluded(e) || s.lacksGrant(e) {
		return
	}
	if cost := s.termsAt(e, advantage).Sum(); s.isBetter(cost, e) {
		s.best, s.cost = e, cost
	}
}

func (s *search) isExcluded(e *engineState) bool {
	return slices.Contains(s.prompt.Exclude, e.Incarnation)
}

// lacksGrant reports whether sends to the engine need grants that another instance gives.
func (s *search) lacksGrant(e *engineState) bool {
	return s.grants != nil && e.isPaced() && !s.grants(e.Name)
}

// termsAt returns the terms of the cost of the request at an engine.
func (s *search) termsAt(e *engineState, advantage time.Duration) Terms {
	uncached := e.uncachedTokens(s.prompt)
	return Terms{
		Wait: e.wait(s.now), Own: e.prefillCost(uncached), Reading: e.readDelay(uncached), Memory: e.runCost(s.work),
		Crossing: s.transferCost(e.DataCentre), Penalty: s.penalty(e), Home: advantage,
	}
}

// queueCost returns the cost of the request at an engine, without the cost of its prompt. It is what all
// engines are compared by, so it is computed without the other terms.
func (s *search) queueCost(e *engineState) time.Duration {
	return e.wait(s.now) + e.runCost(s.work) + s.penalty(e)
}

// penalty returns the cost of an engine that can't be reached or has no grant in time.
func (s *search) penalty(e *engineState) time.Duration {
	var penalty time.Duration
	if e.isAvoided(s.now) {
		penalty += unreachablePenalty
	}
	if s.isBeyondWait(e) {
		penalty += beyondPenalty
	}
	return penalty
}

// isBeyondWait reports whether an engine that names a limit has no grant in time.
func (s *search) isBeyondWait(e *engineState) bool {
	return !e.limit.Unlimited() && e.sendWait(s.now) > s.longestWait
}

// isBetter reports whether an engine with the given cost is preferred to the best so far. If
// the costs are equal, the lower incarnation is preferred.
func (s *search) isBetter(cost time.Duration, e *engineState) bool {
	return s.best == nil || cost < s.cost || cost == s.cost && e.Incarnation < s.best.Incarnation
}

func (s *search) choice() (Choice, bool) {
	if s.best == nil {
		return Choice{}, false
	}
	uncached, wait := s.best.uncachedTokens(s.prompt), s.best.wait(s.now)
	idle := s.best.prefillTime(uncached)
	return Choice{
		Engine: s.best.Engine, FirstEvent: wait + idle, FirstEventIdle: idle,
		SendAfter: s.best.sendWait(s.now), Limited: !s.best.limit.Unlimited(), uncached: uncached, queueWait: wait,
	}, true
}
