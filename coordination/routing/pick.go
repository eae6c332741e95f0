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
}

// Pick chooses a target. It returns *NoTargetError if the pool is unknown or all of its
// targets are leaving, excluded or unfit.
func (t *Table) Pick(now time.Time, rng *rand.Rand, q Query) (Choice, error) {
	p := t.view.Load().pools[q.Pool]
	if p == nil {
		return Choice{}, &NoTargetError{Pool: q.Pool}
	}
	pick := pick{table: t, pool: p, query: &q, rng: rng, now: now.UnixNano()}
	if err := pick.collectEligible(); err != nil {
		t.counts.noTarget.Add(1)
		return Choice{}, err
	}
	chosen, reason := pick.choose()
	if chosen == nil {
		t.counts.noTarget.Add(1)
		return Choice{}, &NoTargetError{Pool: q.Pool, Known: len(p.targets), Ejected: 1}
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
	// candidates holds pointers, so that sampling can reorder them while an earlier
	// choice is still in use.
	candidates   []*candidate
	prefixHashes []uint64
	// triedDataCentres are the data centres of the excluded targets.
	triedDataCentres []string
}

// collectEligible sets the candidates to the eligible targets.
func (p *pick) collectEligible() error {
	eligible := make([]candidate, 0, len(p.pool.targets))
	none := NoTargetError{Pool: p.query.Pool, Known: len(p.pool.targets)}
	for _, target := range p.pool.targets {
		switch {
		case target.leaving:
			none.Leaving++
		case slices.Contains(p.query.Exclude, target.Incarnation):
			none.Excluded++
			p.triedDataCentres = append(p.triedDataCentres, target.DataCentre)
		case !target.Fits(p.query), p.query.Only != "" && target.Incarnation != p.query.Only:
			none.Unfit++
		default:
			eligible = append(eligible, candidate{target: target})
		}
	}
	if len(eligible) == 0 {
		return &none
	}
	p.candidates = make([]*candidate, len(eligible))
	for i := range eligible {
		p.candidates[i] = &eligible[i]
	}
	return nil
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
	if len(p.query.Prefix) > 0 && !p.table.config.disabled(MechanismAffinity) {
		return p.byPrefix()
	}
	return p.byLoad()
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
		if h.claimProbe(p.now) {
			return c
		}
	}
	return nil
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
	config := &p.table.config
	cost := p.query.Cost
	if cost <= 0 {
		cost = 1
	}
	for _, c := range p.candidates {
		c.load = c.target.estimatedLoad(p.now, config)
		utilization := (c.load + cost) / c.target.slots(c.target.Slots)
		c.score = 1 + utilizationWeight*math.Min(utilization, 1) + math.Max(0, utilization-1)
		if !config.disabled(MechanismLatency) {
			c.score *= max(c.target.health.slowdown(p.now), c.target.attemptAges.slowdown(p.now, utilization))
		}
		if slices.Contains(p.triedDataCentres, c.target.DataCentre) && !config.disabled(MechanismRetryElsewhere) {
			c.score += triedPenalty
		}
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
		best = better(best, c)
	}
	if best == nil {
		return fallback
	}
	return best
}

// passedOver decides at random, by the candidate's traffic share, whether to pass over it.
func (p *pick) passedOver(c *candidate) bool {
	share := c.target.trafficShare(p.now, &p.table.config)
	return share < 1 && p.rng.Float64() >= share
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
