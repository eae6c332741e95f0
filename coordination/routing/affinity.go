package routing

import "github.com/ivyhollow/ivyhollow/state/catalog"

// A target that holds the prefix is taken while its score stays within a factor
// of the best score. The cost objective goes further for a cached prefix.
const (
	affinityBoundAttainment = 1.25
	affinityBoundCost       = 2.0
)

func (p *pick) affinityBound() float64 {
	if p.pool.pool.Objective == catalog.ObjectiveCost {
		return affinityBoundCost
	}
	return affinityBoundAttainment
}

// byPrefix returns the target that holds most of the prompt's prefix, or, for a
// prefix that no target is known to hold, its home: the target that rendezvous
// hashing ranks first, on which instances agree without talking. Both are
// bounded by load, so that a popular prefix spreads over several targets.
func (p *pick) byPrefix() (*candidate, Reason) {
	if p.table.config.off(MechanismAffinity) || len(p.query.Prefix) == 0 {
		return nil, ReasonLoad
	}
	p.hash()
	best := p.candidates[0].score
	for i := range p.candidates {
		best = min(best, p.candidates[i].score)
	}
	bound := best * p.affinityBound()
	var holder, home *candidate
	var homeRank uint64
	for i := range p.candidates {
		c := &p.candidates[i]
		c.cached = c.target.cached(p.now, p.query.Prefix, p.hashes, p.table.config.PrefixTTL)
		if c.score > bound || p.thinned(c) {
			continue
		}
		if c.cached > 0 && (holder == nil || c.holdsBetter(holder)) {
			holder = c
		}
		if rank := mix(p.hashes[0], c.target.hash); home == nil || rank > homeRank {
			home, homeRank = c, rank
		}
	}
	if holder != nil {
		return holder, ReasonAffinity
	}
	if home != nil && !p.table.config.off(MechanismHome) {
		return home, ReasonHome
	}
	return nil, ReasonLoad
}

func (p *pick) thinned(c *candidate) bool {
	share := c.target.share(p.now, &p.table.config)
	return share < 1 && p.rng.Float64() >= share
}

func (c *candidate) holdsBetter(other *candidate) bool {
	if c.cached != other.cached {
		return c.cached > other.cached
	}
	return c.score < other.score
}
