package placing

import (
	"slices"
	"time"
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
	s := search{now: now, prompt: p, detour: detour}
	for _, e := range known.named[known.homeOf(p.home())] {
		s.try(e, homeAdvantage)
	}
	holders, unread := known.rareHolders(p)
	for _, e := range holders {
		s.try(e, 0)
	}
	least := known.leastDetour(detour)
	for _, e := range known.bySlowness {
		bound := e.readCost(unread) + least
		if s.best != nil && bound > s.cost {
			break
		}
		if s.isBetter(bound+e.delay(now), e) {
			s.try(e, 0)
		}
	}
	return s.choice()
}

// home is what a request has in common with others: the last part that isn't its own.
func (p *Prompt) home() string {
	if len(p.Parts) == 0 {
		return ""
	}
	return p.Parts[max(len(p.Parts)-2, 0)].ID
}

// search is the search for a request's engine.
type search struct {
	now    time.Time
	prompt *Prompt
	detour func(dataCentre string) time.Duration
	// best is the best engine so far, nil without one, cost what the request costs there.
	best *engine
	cost time.Duration
}

// try looks at an engine whose cost counts as less by an advantage.
func (s *search) try(e *engine, advantage time.Duration) {
	if slices.Contains(s.prompt.Exclude, e.Incarnation) {
		return
	}
	cost := e.delay(s.now) + e.readCost(e.unread(s.prompt)) + s.detour(e.DataCentre) - advantage
	if s.isBetter(cost, e) {
		s.best, s.cost = e, cost
	}
}

// isBetter tells whether an engine of a cost is to be taken rather than the best so far;
// of equals it is the one whose incarnation comes first.
func (s *search) isBetter(cost time.Duration, e *engine) bool {
	return s.best == nil || cost < s.cost || cost == s.cost && e.Incarnation < s.best.Incarnation
}

func (s *search) choice() (Choice, bool) {
	if s.best == nil {
		return Choice{}, false
	}
	unread, wait := s.best.unread(s.prompt), s.best.wait(s.now)
	idle := s.best.readTime(unread)
	return Choice{Engine: s.best.Engine, First: wait + idle, Idle: idle, unread: unread, wait: wait}, true
}
