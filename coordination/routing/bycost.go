package routing

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ivyhollow/ivyhollow/coordination/cost"
	"github.com/ivyhollow/ivyhollow/coordination/workload"
)

const (
	// crossingCost is the cost of a target in another data centre: a connection, a request and its
	// first event cross between them, each for a few milliseconds.
	crossingCost = 15 * time.Millisecond
	// homeShare is the share of the time to read the shared parts of a prompt up to which a higher
	// cost counts as equal, so that the home decides. Below 1, a target that has them cached wins.
	homeShare = 0.5
	// equalCost is the difference up to which costs count as equal without a home. Less is chance.
	equalCost = time.Millisecond
	// tieScatter, in requests, decides among equal loads at random, so that instances that know the
	// same don't all choose one target.
	tieScatter = 0.5
)

// byCostEnabled reports whether the target is chosen by cost.
func (p *pick) byCostEnabled() bool { return p.table.config.CostPlacement && p.query.Work != nil }

// byCost returns the candidate with the lowest cost. Of those whose costs are equal, the home is
// chosen, or else any at random.
func (p *pick) byCost() (*candidate, Reason) {
	p.setCosts(p.candidates, p.home())
	open := make([]*candidate, 0, len(p.candidates))
	for _, c := range p.candidates {
		if !p.passedOver(c) {
			open = append(open, c)
		}
	}
	if len(open) == 0 {
		open = p.candidates
	}
	least := slices.MinFunc(open, func(a, b *candidate) int { return compareScores(a, b) }).score
	window, byHome := p.homeWindow()
	equal := open[:0:0]
	for _, c := range open {
		if c.score <= least+window {
			equal = append(equal, c)
		}
	}
	best, reason := p.amongEqual(equal, byHome)
	switch {
	case best.cachedTokens > 0:
		return best, ReasonAffinity
	case reason == ReasonLoad && !best.target.local:
		return best, ReasonOverflow
	}
	return best, reason
}

// setCosts sets the costs of candidates. home is the home of the prompt; nil if it has none.
func (p *pick) setCosts(candidates []*candidate, home *candidate) {
	p.prefixHashes = hashParts(p.query.Work.Prefix)
	mean := p.pool.meanOthersLoad(p.now, &p.table.config)
	for _, c := range candidates {
		terms := p.costAt(c, c == home, mean)
		c.score = terms.Seconds()
		if p.readOnly {
			p.recordCost(c, terms)
		}
	}
}

func compareScores(a, b *candidate) int {
	switch {
	case a.score < b.score:
		return -1
	case a.score > b.score:
		return 1
	}
	return 0
}

// amongEqual chooses among candidates with equal costs: the home, or else one with the fewest
// requests, since each makes the steps of all others a little longer.
func (p *pick) amongEqual(equal []*candidate, byHome bool) (*candidate, Reason) {
	if byHome {
		return p.firstByHome(equal), ReasonHome
	}
	best, least := equal[0], math.Inf(1)
	p.random = p.random || len(equal) > 1
	for _, c := range equal {
		if load := c.load + tieScatter*p.rng.Float64(); load < least {
			best, least = c, load
		}
	}
	return best, ReasonLoad
}

// home returns the home of the prompt among all candidates; nil if it has none.
func (p *pick) home() *candidate {
	if p.query.HomeKey == "" || p.query.Work.sharedTokens() == 0 {
		return nil
	}
	return p.firstByHome(p.candidates)
}

// firstByHome returns the candidate that the home key maps to.
func (p *pick) firstByHome(candidates []*candidate) *candidate {
	weights := p.homeWeights()
	best, bestRank := candidates[0], math.Inf(1)
	for _, c := range candidates {
		if rank := p.homeRank(c) / weights[c.target.DataCentre]; rank < bestRank {
			best, bestRank = c, rank
		}
	}
	return best
}

// sharedTokens returns the length of the parts of a prompt that other requests have too.
func (w *Work) sharedTokens() int {
	shared := 0
	for _, part := range w.Prefix[:max(len(w.Prefix)-1, 0)] {
		shared += part.Tokens
	}
	return shared
}

// homeWindow returns the difference in seconds up to which costs count as equal, and whether the
// home decides then.
func (p *pick) homeWindow() (float64, bool) {
	w := p.query.Work
	if p.query.HomeKey == "" || w.PromptTokens <= 0 || len(w.Prefix) < 2 {
		return equalCost.Seconds(), false
	}
	read := w.Estimate.Read.Seconds() * float64(w.sharedTokens()) / float64(w.PromptTokens)
	return max(homeShare*read, equalCost.Seconds()), true
}

// costAt returns the cost of the request at a candidate: the wait for a slot, its own time, the delay
// that reading its prompt causes to those that run there, what a lack of memory causes, and the
// crossing to another data centre.
func (p *pick) costAt(c *candidate, isHome bool, mean float64) CostTerms {
	target, config := c.target, &p.table.config
	c.cachedTokens = target.cachedTokens(p.now, p.query.Work.Prefix, p.prefixHashes, config.PrefixTTL)
	cached := c.cachedTokens
	if isHome {
		// What other instances sent there isn't known here.
		cached = max(cached, p.query.Work.sharedTokens())
	}
	estimate := p.query.Work.at(cached)
	work := p.workOf(target, mean)
	running := min(c.load, target.slots(target.Slots))
	readDelay := time.Duration(running * float64(estimate.Read))
	terms := CostTerms{
		Wait: work.Wait(), Own: estimate.Mean(), Reading: readDelay, Memory: p.pressure(c, work.Memory, estimate),
		Slowdown: target.costs.slowdown.read(p.now),
	}
	if !target.local && !config.disabled(MechanismLocalFirst) {
		terms.Crossing = crossingCost
	}
	if slices.Contains(p.triedDataCentres, target.DataCentre) && !config.disabled(MechanismRetryElsewhere) {
		terms.Tried = time.Duration(triedPenalty * float64(estimate.Mean()))
	}
	return terms
}

// workOf returns the work that a target has left. A pick that is read-only leaves requests whose ends
// are overdue in the account.
func (p *pick) workOf(target *targetView, mean float64) workload.Work {
	if p.readOnly {
		return target.readWork(p.now, p.table, mean)
	}
	return target.work(p.now, p.table, mean)
}

// pressure returns the cost of a request for which a target has too little memory: the share of it
// that doesn't fit is preempted, so that it is read again and takes its time once more.
func (p *pick) pressure(c *candidate, used float64, e cost.Estimate) time.Duration {
	memory := float64(c.target.Memory)
	if memory <= 0 || e.Memory <= 0 {
		return 0
	}
	share := min(max((used+e.Memory-memory)/e.Memory, 0), 1)
	return time.Duration(share * float64(p.query.Work.Estimate.Read+e.Mean()))
}

func hashParts(parts []PrefixPart) []uint64 {
	hashes := make([]uint64, len(parts))
	for i, part := range parts {
		hashes[i] = xxhash.Sum64String(part.ID)
	}
	return hashes
}
