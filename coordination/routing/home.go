package routing

import (
	"cmp"
	"math"
	"slices"

	"github.com/ivyhollow/ivyhollow/coordination/rendezvous"
)

const (
	// homeScoreBound is the highest score, relative to the best candidate's, at which a
	// target is used as a home.
	homeScoreBound = 1.5
	// minHomeShare is the minimum share of home keys of a data centre, as a fraction of
	// an even share, so that the targets of every data centre are used.
	minHomeShare = 0.2
)

// byHome chooses by rendezvous hashing among the candidates that aren't overloaded.
//
// It is for subjects whose prompts are read every few seconds by requests that arrive
// at seven or more instances, each of which sees only a part of them. An index of what
// this instance sent where would miss most of the engines that cache the prompt; a hash
// finds the one engine that all instances use. A target that is slow or full loses its
// home keys until it recovers, and only those keys move (bounded loads, after V.
// Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent Hashing with Bounded
// Loads", SODA 2018).
func (p *pick) byHome() (*candidate, Reason) {
	least := slices.MinFunc(p.candidates, func(a, b *candidate) int { return cmp.Compare(a.score, b.score) })
	weights := p.homeWeights()
	var best *candidate
	bestRank := math.Inf(1)
	for _, c := range p.candidates {
		if c.score > homeScoreBound*least.score {
			continue
		}
		if rank := p.homeRank(c) / weights[c.target.DataCentre]; best == nil || rank < bestRank {
			best, bestRank = c, rank
		}
	}
	return best, ReasonHome
}

// homeRank returns an exponentially distributed value that is derived from the hash of
// the target and the home key, so it is the same at all instances. With each value
// divided by its target's weight, a target has the lowest one with a probability in
// proportion to its weight, and a changed weight moves only the keys that the target
// gains or loses. The hash uses the target's name, so a restarted target, whose cache
// is empty, keeps its home keys. A hash of the incarnation would move them to other
// targets and as many others to it, and twice as many prompts would be read again.
func (p *pick) homeRank(c *candidate) float64 {
	score := rendezvous.Score(cmp.Or(c.target.Name, c.target.Incarnation), p.query.HomeKey)
	return -math.Log((float64(score) + 1) / (math.MaxUint64 + 2))
}

// homeWeights returns the weight of a single target in each data centre.
func (p *pick) homeWeights() map[string]float64 {
	count := map[string]float64{}
	for _, c := range p.candidates {
		count[c.target.DataCentre]++
	}
	weights := make(map[string]float64, len(count))
	for dataCentre, n := range count {
		weights[dataCentre] = 1
		if len(p.query.HomeShares) > 0 {
			even := 1 / float64(len(count))
			weights[dataCentre] = max(p.query.HomeShares[dataCentre], minHomeShare*even) / n
		}
	}
	return weights
}
