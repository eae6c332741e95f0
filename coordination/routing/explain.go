package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// MaxExplained bounds the candidates of an Explanation.
const MaxExplained = 64

// TargetState says whether a target may be chosen, or why it is passed over.
type TargetState string

// The states of a target.
const (
	StateUsable TargetState = "usable"
	// StateLeaving targets accept no new work, StateExcluded ones the request was sent to, and
	// StateUnfit ones don't have its model, adapter or version, or no send there was granted.
	StateLeaving  TargetState = "leaving"
	StateExcluded TargetState = "excluded"
	StateUnfit    TargetState = "unfit"
	// StateEjected targets failed. At one with StateProbeDue, a request may find out whether it still
	// does.
	StateEjected  TargetState = "ejected"
	StateProbeDue TargetState = "probe due"
	// StateSkipped targets get a part of the traffic only, since they are new or fail, and this
	// request isn't part of it.
	StateSkipped TargetState = "passed over for its traffic share"
	// StateNotSampled targets aren't in the random sample that was compared.
	StateNotSampled TargetState = "not in the sample"
)

// ScoreTerms are the terms of the score by which a target is chosen by its load. The score is the
// estimated time of a request there relative to the time on an idle target.
type ScoreTerms struct {
	// Load is the estimated number of requests at the target. Utilization is what a slot gets of them,
	// this request included.
	Load, Slots, Utilization float64
	// Slowdown is a factor, 1 if the target is as fast as usual.
	Slowdown float64
	// Tried is added in data centres where the request was already sent.
	Tried float64
	// CacheDiscount is the share by which cached parts of the prompt lower the score.
	CacheDiscount float64
}

// Score returns the score; lower is better.
func (t ScoreTerms) Score() float64 {
	score := 1 + utilizationWeight*math.Min(t.Utilization, 1) + math.Max(0, t.Utilization-1)
	return discounted(score*t.Slowdown+t.Tried, t.CacheDiscount)
}

func discounted(score, discount float64) float64 { return score * (1 - discount) }

// CostTerms are the terms of the cost of a request at a target.
type CostTerms struct {
	// Wait is the wait for a slot, Own the time of the request itself, Reading the delay that reading
	// its prompt causes to the requests that run there, Memory what a lack of memory causes.
	Wait, Own, Reading, Memory time.Duration
	// Slowdown is the factor of these four, 1 if the target is as fast as usual.
	Slowdown float64
	// Crossing is added in another data centre, Tried where the request was already sent.
	Crossing, Tried time.Duration
}

// Seconds returns the cost in seconds.
func (t CostTerms) Seconds() float64 {
	return t.Slowdown*(t.Wait+t.Own+t.Reading+t.Memory).Seconds() + t.Crossing.Seconds() + t.Tried.Seconds()
}

// candidateTerms are the terms of a candidate's score or those of its cost.
type candidateTerms struct {
	score *ScoreTerms
	cost  *CostTerms
}

// recordScore and recordCost take the terms by value, so that they are on the heap only if recorded.
func (p *pick) recordScore(c *candidate, terms ScoreTerms) {
	p.terms[c] = candidateTerms{score: &terms}
}

func (p *pick) recordCost(c *candidate, terms CostTerms) {
	p.terms[c] = candidateTerms{cost: &terms}
}

// Explained is one target of a pool in an Explanation.
type Explained struct {
	Target Target
	State  TargetState
	// EjectedFor is the rest of its ejection.
	EjectedFor time.Duration
	// Cost has the terms of a choice by cost, Score those of another choice. Both are nil for a target
	// that can't be chosen.
	Cost  *CostTerms
	Score *ScoreTerms
	// CachedTokens is the number of the prompt's tokens that the target is estimated to have cached.
	CachedTokens int
	Chosen       bool
	// Age is the age of the latest report of the target or of peers about it; negative without any.
	Age time.Duration

	order float64
}

// Explanation says where a request would be sent and why.
type Explanation struct {
	// Targets are in the order of their costs or scores, those that can't be chosen last. There are at
	// most MaxExplained; Omitted counts the others.
	Targets []Explained
	Omitted int
	// Chosen is true if a target is chosen, for Reason. Otherwise Err is the error of Pick.
	Chosen bool
	Reason Reason
	Err    error
	// Random is true if the choice depends on random numbers.
	Random bool
}

// Explain returns what Pick would decide, with the terms of the decision. It changes nothing in the
// table. rng must not be the source of any later decision.
func (t *Table) Explain(now time.Time, rng *rand.Rand, q Query) Explanation {
	p := t.view.Load().pools[q.Pool]
	if p == nil {
		return Explanation{Err: &NoTargetError{Pool: q.Pool}}
	}
	pick := pick{table: t, pool: p, query: &q, rng: rng, now: now.UnixNano(), readOnly: true, terms: map[*candidate]candidateTerms{}}
	chosen, reason, err := pick.decide()
	e := Explanation{Chosen: chosen != nil, Reason: reason, Err: err, Random: pick.random}
	pick.priceAll()
	known := make(map[*targetView]*candidate, len(pick.eligible))
	for i := range pick.eligible {
		known[pick.eligible[i].target] = &pick.eligible[i]
	}
	for _, target := range p.targets {
		e.Targets = append(e.Targets, pick.explain(target, known[target], chosen))
	}
	e.sortAndLimit()
	return e
}

// priceAll sets the terms of the candidates that the decision had no need of.
func (p *pick) priceAll() {
	var missing []*candidate
	for i := range p.eligible {
		c := &p.eligible[i]
		c.ejection = c.target.health.ejectionState(p.now)
		if terms := p.terms[c]; p.byCostEnabled() && terms.cost == nil || terms == (candidateTerms{}) {
			p.scoreCandidate(c)
			missing = append(missing, c)
		}
	}
	switch {
	case len(missing) == 0:
	case p.byCostEnabled():
		p.setCosts(missing, p.home())
	case p.usesPrefixAffinity():
		p.discountCachedPrefix(missing)
	}
}

// explain returns what is known of one target. c is nil if it can't be chosen.
func (p *pick) explain(target *targetView, c, chosen *candidate) Explained {
	e := Explained{Target: target.Target, State: p.query.eligibility(target), Age: p.informationAge(target), order: math.Inf(1)}
	if c == nil {
		return e
	}
	e.Chosen, e.CachedTokens, e.order = c == chosen, c.cachedTokens, c.score
	e.Cost, e.Score = p.terms[c].cost, p.terms[c].score
	if c.ejection != notEjected && !p.table.config.disabled(MechanismEjection) {
		e.EjectedFor = max(time.Duration(c.target.health.ejectedUntil.Load()-p.now), 0)
	}
	if !e.Chosen {
		e.State = p.stateOf(c)
	}
	return e
}

// stateOf returns the state of a candidate that isn't chosen.
func (p *pick) stateOf(c *candidate) TargetState {
	ejects := !p.table.config.disabled(MechanismEjection)
	switch {
	case ejects && c.ejection == ejectionActive:
		return StateEjected
	case ejects && c.ejection == probeDue:
		return StateProbeDue
	case c.skipped:
		return StateSkipped
	case p.sampling && !c.sampled:
		return StateNotSampled
	}
	return StateUsable
}

// informationAge returns the age of the latest report of a target or of peers about it; negative if there
// is none.
func (p *pick) informationAge(target *targetView) time.Duration {
	age := time.Duration(-1)
	consider := func(at int64) {
		if at == 0 {
			return
		}
		if a := time.Duration(max(p.now-at, 0)); age < 0 || a < age {
			age = a
		}
	}
	if r := target.report.Load(); r != nil {
		consider(r.measuredAt)
	}
	consider(target.costs.slowdown.reportTime.Load())
	consider(p.table.digestsAt.Load())
	return age
}

// sortAndLimit orders the targets and keeps the first MaxExplained, and the chosen one in any case.
func (e *Explanation) sortAndLimit() {
	slices.SortStableFunc(e.Targets, func(a, b Explained) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.Target.Incarnation, b.Target.Incarnation))
	})
	e.Omitted = max(len(e.Targets)-MaxExplained, 0)
	if e.Omitted == 0 {
		return
	}
	rest := e.Targets[MaxExplained:]
	e.Targets = e.Targets[:MaxExplained]
	if i := slices.IndexFunc(rest, func(x Explained) bool { return x.Chosen }); i >= 0 {
		e.Targets[MaxExplained-1] = rest[i]
	}
}
