package placing

import (
	"cmp"
	"slices"
	"time"
)

// MaxExplained bounds the engines of an Explanation.
const MaxExplained = 64

// EngineState says whether an engine may be chosen, or why it is passed over.
type EngineState string

// The states of an engine.
const (
	StateUsable   EngineState = "usable"
	StateExcluded EngineState = "excluded"
	// StateOtherGrants means that another instance grants the sends to the engine.
	StateOtherGrants EngineState = "another instance grants its sends"
	// StateUnreachable means that nothing listened at its address, StateNoGrant that it names a limit and
	// has no send in time. Such an engine is chosen if there is no other.
	StateUnreachable EngineState = "nothing listens at its address"
	StateNoGrant     EngineState = "no send within its limit in time"
)

// Terms are the terms of the cost of a request at an engine.
type Terms struct {
	// Wait is the wait for those before it, for a slot or for a grant. Own is the weighted time to read
	// its prompt, Reading the delay that this causes to those that run, Memory the cost of longer steps
	// and of a lack of memory.
	Wait, Own, Reading, Memory time.Duration
	// Crossing is the cost of transferring its inputs.
	Crossing time.Duration
	// Penalty is added if the engine can't be reached, or names a limit and has no send in time.
	Penalty time.Duration
	// Home is subtracted at the home of the prompt.
	Home time.Duration
}

// Sum returns the cost.
func (t Terms) Sum() time.Duration {
	return t.Wait + t.Own + t.Reading + t.Memory + t.Crossing + t.Penalty - t.Home
}

// Explained is an engine in an Explanation.
type Explained struct {
	Engine Engine
	State  EngineState
	Terms  Terms
	// CachedTokens is the number of the prompt's tokens that it has cached.
	CachedTokens int
	// Slowdown is the learned ratio of its time to the usual one. It is part of the terms.
	Slowdown float64
	Chosen   bool
}

// Explanation says which engine would be chosen for a request, and why.
type Explanation struct {
	// Engines are in the order of their costs, those that can't be chosen last. There are at most
	// MaxExplained, the chosen one among them; Omitted counts the others.
	Engines []Explained
	Omitted int
	// Choice is valid if Found is true.
	Choice Choice
	Found  bool
}

// Explain returns what ChooseWithin would choose, with the terms of the choice, and changes nothing.
// grants replaces what SetGrants has set.
func (t *Table) Explain(now time.Time, p *Prompt, longestWait time.Duration, transferCost func(dataCentre string) time.Duration, grants func(engine string) bool) Explanation {
	pool := t.pools[p.Pool]
	if pool == nil {
		return Explanation{}
	}
	s := search{now: now, prompt: p, longestWait: longestWait, transferCost: transferCost, grants: grants, work: t.peek(now, p)}
	home := pool.peekHome(p.homeKey())
	s.run(pool, home)
	var e Explanation
	e.Choice, e.Found = s.choice()
	for _, engine := range pool.engines {
		e.Engines = append(e.Engines, s.explain(engine, home))
	}
	slices.SortFunc(e.Engines, func(a, b Explained) int {
		return cmp.Or(cmp.Compare(a.order(), b.order()), cmp.Compare(a.Terms.Sum(), b.Terms.Sum()), cmp.Compare(a.Engine.Incarnation, b.Engine.Incarnation))
	})
	if e.Omitted = max(len(e.Engines)-MaxExplained, 0); e.Omitted > 0 {
		e.Engines = e.Engines[:MaxExplained]
	}
	return e
}

// order puts the chosen engine first and those that can't be chosen last. The chosen one has the lowest
// cost, so this only decides among equal ones.
func (e *Explained) order() int {
	switch {
	case e.Chosen:
		return 0
	case e.State == StateExcluded, e.State == StateOtherGrants:
		return 2
	}
	return 1
}

func (s *search) explain(e *engineState, home string) Explained {
	advantage := time.Duration(0)
	if e.Name == home {
		advantage = homeAdvantage
	}
	return Explained{
		Engine: e.Engine, State: s.stateOf(e), Terms: s.termsAt(e, advantage), Slowdown: e.slowdown,
		CachedTokens: max(s.prompt.Tokens-e.uncachedTokens(s.prompt), 0), Chosen: e == s.best,
	}
}

func (s *search) stateOf(e *engineState) EngineState {
	switch {
	case s.isExcluded(e):
		return StateExcluded
	case s.lacksGrant(e):
		return StateOtherGrants
	case e.isAvoided(s.now):
		return StateUnreachable
	case s.isBeyondWait(e):
		return StateNoGrant
	}
	return StateUsable
}

// peekHome is homeOf without an entry in the cache of results.
func (p *poolState) peekHome(key string) string {
	if name, ok := p.homeNames[key]; ok || key == "" {
		return name
	}
	return p.hashHome(key)
}
