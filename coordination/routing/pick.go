package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// candidate is an eligible target with the values computed for one pick.
type candidate struct {
	target       *targetView
	load         float64 // estimated requests at the target
	score        float64 // lower is better
	cachedTokens int
	ejection     ejectionState
	// sampled and skipped tell whether the candidate was compared with others, or passed over at random
	// for its traffic share.
	sampled, skipped bool
}

// Pick chooses a target. It returns *NoTargetError if the pool is unknown or all of its
// targets are leaving, excluded or unfit.
func (t *Table) Pick(now time.Time, rng *rand.Rand, q Query) (Choice, error) {
	p := t.view.Load().pools[q.Pool]
	if p == nil {
		return Choice{}, &NoTargetError{Pool: q.Pool}
	}
	pick := pick{table: t, pool: p, query: &q, rng: rng, now: now.UnixNano()}
	chosen, reason, err := pick.decide()
	if err != nil {
		t.counts.noTarget.Add(1)
		return Choice{}, err
	}
	chosen.target.picks.Add(1)
	t.counts.reasons[reason].Add(1)
	if !pick.byCostEnabled() {
		pick.recordPrefix(chosen)
	}
	return Choice{
		Target:       chosen.target.Target,
		Reason:       reason,
		CachedTokens: chosen.cachedTokens,
		Load:         chosen.load,
	}, nil
}

// pick is the state of one call of Pick.
type pick struct {
	table *Table
	pool  *poolView
	query *Query
	rng   *rand.Rand
	now   int64
	// readOnly forbids changes of the table's state, and has terms recorded.
	readOnly bool
	// terms has the terms of scores and costs. Without readOnly it stays nil: candidates that hold
	// their terms make a pick twice as slow.
	terms map[*candidate]candidateTerms
	// random is true once the choice depends on a random number.
	random bool
	// sampling is true once a sample of the candidates was drawn.
	sampling bool
	// eligible holds all candidates, also those that are ejected.
	eligible []candidate
	// candidates holds pointers, so that sampling can reorder them while an earlier
	// choice is still in use.
	candidates   []*candidate
	prefixHashes []uint64
	// triedDataCentres are the data centres of the excluded targets.
	triedDataCentres []string
}

// decide chooses a target. It changes nothing but the state of the pick and, unless it is read-only,
// the claim of a probe and the accounts of work.
func (p *pick) decide() (*candidate, Reason, error) {
	if err := p.collectEligible(); err != nil {
		return nil, 0, err
	}
	chosen, reason := p.choose()
	if chosen == nil {
		return nil, 0, &NoTargetError{Pool: p.query.Pool, Known: len(p.pool.targets), Ejected: 1}
	}
	return chosen, reason, nil
}

// collectEligible sets the candidates to the eligible targets.
func (p *pick) collectEligible() error {
	p.eligible = make([]candidate, 0, len(p.pool.targets))
	none := NoTargetError{Pool: p.query.Pool, Known: len(p.pool.targets)}
	for _, target := range p.pool.targets {
		switch p.query.eligibility(target) {
		case StateLeaving:
			none.Leaving++
		case StateExcluded:
			none.Excluded++
			p.triedDataCentres = append(p.triedDataCentres, target.DataCentre)
		case StateUnfit:
			none.Unfit++
		default:
			p.eligible = append(p.eligible, candidate{target: target})
		}
	}
	if len(p.eligible) == 0 {
		return &none
	}
	p.candidates = make([]*candidate, len(p.eligible))
	for i := range p.eligible {
		p.candidates[i] = &p.eligible[i]
	}
	return nil
}

// eligibility returns the reason for which a target can't be chosen at all; StateUsable if there is none.
func (q *Query) eligibility(target *targetView) TargetState {
	switch {
	case target.leaving:
		return StateLeaving
	case slices.Contains(q.Exclude, target.Incarnation):
		return StateExcluded
	case !target.Fits(q), q.Only != "" && target.Incarnation != q.Only:
		return StateUnfit
	}
	return StateUsable
}

// choose applies the rules in order: the only candidate, a due probe, the removal of
// ejected targets down to the ejection floor, then the rules of byRule. It returns nil only for a
// granted target that is ejected while another one isn't, or while the query has no version.
func (p *pick) choose() (*candidate, Reason) {
	if p.query.Only != "" {
		return p.granted()
	}
	if len(p.candidates) == 1 {
		p.scoreCandidates()
		return p.candidates[0], ReasonOnly
	}
	floored := false
	if !p.table.config.disabled(MechanismEjection) {
		if probe := p.probe(); probe != nil {
			return probe, ReasonProbe
		}
		floored = p.dropEjected()
	}
	p.scoreCandidates()
	c, reason := p.byRule()
	if floored && c.ejection != notEjected {
		reason = ReasonFloor
	}
	return c, reason
}

// granted returns the only candidate, to which a send was granted, or nil if it is ejected, may not be
// probed and isn't the last of its version.
func (p *pick) granted() (*candidate, Reason) {
	if !p.table.config.disabled(MechanismEjection) {
		if probe := p.probe(); probe != nil {
			return probe, ReasonProbe
		}
		if p.candidates[0].ejection != notEjected && !p.isLastOfVersion() {
			return nil, ReasonPreferred
		}
	}
	p.scoreCandidates()
	return p.candidates[0], ReasonPreferred
}

// isLastOfVersion reports whether the query has a version of which all targets are ejected: the stream
// that has begun there can't go on elsewhere.
func (p *pick) isLastOfVersion() bool {
	if p.query.Version == "" {
		return false
	}
	for _, target := range p.pool.targets {
		if !target.leaving && target.Fits(p.query) && !slices.Contains(p.query.Exclude, target.Incarnation) && target.health.ejectionState(p.now) == notEjected {
			return false
		}
	}
	return true
}

// byRule applies the rules that follow the handling of ejections in order: the preferred
// target, the home, affinity, load.
func (p *pick) byRule() (*candidate, Reason) {
	if c := p.preferred(); c != nil {
		return c, ReasonPreferred
	}
	if p.byCostEnabled() {
		return p.byCost()
	}
	if p.query.HomeKey != "" {
		return p.byHome()
	}
	if p.usesPrefixAffinity() {
		return p.byPrefix()
	}
	return p.byLoad()
}

// usesPrefixAffinity reports whether the target is chosen by the parts of the prompt that it has cached.
func (p *pick) usesPrefixAffinity() bool {
	return len(p.query.Prefix) > 0 && p.query.HomeKey == "" && !p.table.config.disabled(MechanismAffinity)
}

// preferred returns the candidate that the query names in Preferred, or nil if it isn't
// among the candidates.
func (p *pick) preferred() *candidate {
	if p.query.Preferred == "" {
		return nil
	}
	for _, c := range p.candidates {
		if c.target.Incarnation == p.query.Preferred {
			return c
		}
	}
	return nil
}

// probeLowerTierWait is how long a due probe waits for a request of a lower tier before
// one of the highest tier may be used.
const probeLowerTierWait = int64(time.Second)

// probe returns an ejected target whose ejection time is over and which this pick may
// probe, or nil. There is one probe at a time, since all waiting requests at once would
// overload a target that has just recovered. Requests of the highest tier are used as
// probes only if no other request arrived within probeLowerTierWait.
func (p *pick) probe() *candidate {
	for _, c := range p.candidates {
		h := &c.target.health
		c.ejection = h.ejectionState(p.now)
		if c.ejection != probeDue {
			continue
		}
		if p.query.Rank == 0 && p.now-h.ejectedUntil.Load() < probeLowerTierWait {
			continue
		}
		if p.claimProbe(h) {
			return c
		}
	}
	return nil
}

// claimProbe reports whether this pick may send the probe. One that is read-only doesn't take it.
func (p *pick) claimProbe(h *health) bool {
	if p.readOnly {
		return h.probeFree(p.now)
	}
	return h.claimProbe(p.now)
}

// dropEjected removes the ejected targets, but keeps as many as the ejection floor
// requires: those with the earliest ends of ejection. It reports whether it kept any.
func (p *pick) dropEjected() bool {
	slices.SortStableFunc(p.candidates, func(a, b *candidate) int {
		return cmp.Compare(a.ejectedUntil(), b.ejectedUntil())
	})
	healthy := 0
	for _, c := range p.candidates {
		if c.ejection == notEjected {
			healthy++
		}
	}
	keep := max(healthy, p.pool.minRoutable(len(p.candidates)))
	p.candidates = p.candidates[:keep]
	return keep > healthy
}

func (c *candidate) ejectedUntil() int64 {
	if c.ejection == notEjected {
		return 0
	}
	return c.target.health.ejectedUntil.Load()
}

// minRoutable returns how many of n targets have to stay routable.
func (p *poolView) minRoutable(n int) int {
	return min(n, max(1, int(math.Ceil(p.pool.EjectionFloor*float64(n)))))
}

// utilizationWeight is the weight of a target's utilization up to 1. It favours the
// less utilized of the targets that aren't full, since batching slows an engine a little.
const utilizationWeight = 0.3

// triedPenalty is added to the score of targets in a data centre where the stage was
// already sent. If that data centre has failed, a second attempt there would fail like
// the first and use up the retries.
const triedPenalty = 1.0

// scoreCandidates sets each candidate's load and score. The score is the estimated time
// of a request there, relative to the time on an idle target.
func (p *pick) scoreCandidates() {
	for _, c := range p.candidates {
		p.scoreCandidate(c)
	}
}

func (p *pick) scoreCandidate(c *candidate) {
	config := &p.table.config
	cost := p.query.Cost
	if cost <= 0 {
		cost = 1
	}
	c.load = c.target.estimatedLoad(p.now, config)
	slots := c.target.slots(c.target.Slots)
	utilization := (c.load + cost) / slots
	terms := ScoreTerms{Slots: slots, Load: c.load, Utilization: utilization, Slowdown: 1}
	if !config.disabled(MechanismLatency) {
		terms.Slowdown = max(c.target.health.slowdown(p.now), c.target.attemptAges.slowdown(p.now, utilization))
	}
	if slices.Contains(p.triedDataCentres, c.target.DataCentre) && !config.disabled(MechanismRetryElsewhere) {
		terms.Tried = triedPenalty
	}
	c.score = terms.Score()
	if p.readOnly {
		p.recordScore(c, terms)
	}
}

// remotePenalty is the margin by which the score of a target in another data centre has
// to be better: about the effect of a third more of its slots being free.
const remotePenalty = 0.1

// byLoad compares the best of a sample of the local targets with the best of a sample of
// the others, and chooses the remote one if it is better by remotePenalty. Each sample
// is half of Config.Choices: with full samples, instances whose digests are equally old
// would all choose the same few targets.
func (p *pick) byLoad() (*candidate, Reason) {
	if p.table.config.disabled(MechanismLocalFirst) {
		return p.bestOfChoices(func(*candidate) bool { return true }), ReasonLoad
	}
	isLocal := func(c *candidate) bool { return c.target.local }
	isRemote := func(c *candidate) bool { return !c.target.local }
	half := (p.table.config.Choices + 1) / 2
	local := p.bestOfSample(half, isLocal)
	remote := p.bestOfSample(half, isRemote)
	switch {
	case remote == nil:
		return p.bestOfChoices(isLocal), ReasonLoad
	case local == nil:
		return p.bestOfChoices(isRemote), ReasonOverflow
	case remote.score+remotePenalty < local.score:
		return remote, ReasonOverflow
	default:
		return local, ReasonLoad
	}
}

// bestOfChoices samples up to Config.Choices distinct candidates that match and returns
// the best.
func (p *pick) bestOfChoices(matches func(*candidate) bool) *candidate {
	return p.bestOfSample(p.table.config.Choices, matches)
}

// bestOfSample samples up to limit distinct candidates that match and returns the best,
// or nil if none matches. A candidate is passed over with a probability of 1 minus its
// traffic share; if all are passed over, the best of those is returned.
func (p *pick) bestOfSample(limit int, matches func(*candidate) bool) *candidate {
	p.sampling = true
	var best, fallback *candidate
	sampled := 0
	n := len(p.candidates)
	// A partial Fisher-Yates shuffle samples without replacement.
	for i := 0; i < n && sampled < limit; i++ {
		j := i + p.rng.IntN(n-i)
		p.candidates[i], p.candidates[j] = p.candidates[j], p.candidates[i]
		c := p.candidates[i]
		if !matches(c) {
			continue
		}
		if p.passedOver(c) {
			fallback = better(fallback, c)
			continue
		}
		sampled++
		c.sampled = true
		best = better(best, c)
	}
	p.random = p.random || sampled == limit && n > limit
	if best == nil {
		return fallback
	}
	return best
}

// passedOver decides at random, by the candidate's traffic share, whether to pass over it.
func (p *pick) passedOver(c *candidate) bool {
	share := c.target.trafficShare(p.now, &p.table.config)
	if share >= 1 {
		return false
	}
	p.random = true
	c.skipped = p.rng.Float64() >= share
	return c.skipped
}

// better returns the candidate with the lower score; a may be nil.
func better(a, b *candidate) *candidate {
	if a == nil || b.score < a.score {
		return b
	}
	return a
}

// recordPrefix records that the chosen target will have the prompt's parts in its cache.
func (p *pick) recordPrefix(c *candidate) {
	if p.table.config.disabled(MechanismAffinity) {
		return
	}
	p.hashPrefix()
	for _, h := range p.prefixHashes {
		c.target.prefixes.add(p.now, h)
	}
}

func (p *pick) hashPrefix() {
	if p.prefixHashes != nil || len(p.query.Prefix) == 0 {
		return
	}
	p.prefixHashes = make([]uint64, len(p.query.Prefix))
	for i, part := range p.query.Prefix {
		p.prefixHashes[i] = xxhash.Sum64String(part.ID)
	}
}
