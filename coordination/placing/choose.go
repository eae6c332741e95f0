package placing

import (
	"slices"
	"time"
)

const (
	// unreadWeight is how many times the time counts that an engine reads for a
	// request alone: its other requests wait for it, and what one engine has read
	// another need not.
	uncachedWeight = 4.0
	// homeAdvantage is by how much another engine has to be better than the one that a
	// hash gives: so that the same engines are found again by an instance that knows
	// nothing of what was read where.
	homeAdvantage = 40 * time.Millisecond
)

// Choose returns the engine at which a request costs least: the time until what is
// before it has been read, the weighted time of reading what the engine has not, and
// the detour of its inputs to the engine's data centre, which has to be the same for all
// engines there. It is false for a pool without an engine.
//
// Few engines are looked at: the home, those that have read a part that few have, and of
// the others the fastest, until the next can't cost less than the best.
func (t *Table) Choose(now time.Time, p *Prompt, detour func(dataCentre string) time.Duration) (Choice, bool) {
	known := t.pools[p.Pool]
	if known == nil {
		return Choice{}, false
	}
	s := search{now: now, prompt: p, transferCost: detour}
	for _, e := range known.byName[known.homeOf(p.homeKey())] {
		s.consider(e, homeAdvantage)
	}
	holders, unread := known.enginesWithRarePart(p)
	for _, e := range holders {
		s.consider(e, 0)
	}
	least := known.minTransferCost(detour)
	for _, e := range known.bySlowdown {
		bound := e.prefillCost(unread) + least
		if s.best != nil && bound > s.cost {
			break
		}
		if s.isBetter(bound+e.queueCost(now), e) {
			s.consider(e, 0)
		}
	}
	return s.choice()
}

// home is what a request has in common with others: the last part that isn't its own.
func (p *Prompt) homeKey() string {
	if len(p.Parts) == 0 {
		return ""
	}
	return p.Parts[max(len(p.Parts)-2, 0)].ID
}

// search is the search for a request's engine.
type search struct {
	now          time.Time
	prompt       *Prompt
	transferCost func(dataCentre string) time.Duration
	// best is the best engine so far, nil without one, cost what the request costs there.
	best *engineState
	cost time.Duration
}

// try looks at an engine whose cost counts as less by an advantage.
func (s *search) consider(e *engineState, advantage time.Duration) {
	if slices.Contains(s.prompt.Exclude, e.Incarnation) {
		return
	}
	cost := e.queueCost(s.now) + e.prefillCost(e.uncachedTokens(s.prompt)) + s.transferCost(e.DataCentre) - advantage
	if s.isBetter(cost, e) {
		s.best, s.cost = e, cost
	}
}

// isBetter tells whether an engine of a cost is to be taken rather than the best so far;
// of equals it is the one whose incarnation comes first.
func (s *search) isBetter(cost time.Duration, e *engineState) bool {
	return s.best == nil || cost < s.cost || cost == s.cost && e.Incarnation < s.best.Incarnation
}

func (s *search) choice() (Choice, bool) {
	if s.best == nil {
		return Choice{}, false
	}
	unread, wait := s.best.uncachedTokens(s.prompt), s.best.queueWait(s.now)
	idle := s.best.prefillTime(unread)
	return Choice{Engine: s.best.Engine, FirstEvent: wait + idle, FirstEventIdle: idle, uncached: unread, queueWait: wait}, true
}
