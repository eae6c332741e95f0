package routing

import (
	"cmp"
	"math"
	"slices"

	"github.com/ivyhollow/ivyhollow/coordination/rendezvous"
)

const (
	// homeBound is how many times the least score a target's may be for it to be
	// used as a home.
	homeScoreBound = 1.5
	// leastHomeShare is the share of homes that a data centre has at least, times
	// its even share: its targets are there to be used.
	minHomeShare = 0.2
)

// byHome chooses by rendezvous hashing among the targets that aren't crowded.
//
// The load it answers: subjects whose prompts are read every few seconds, by
// requests that come to seven or more instances, each of which sees a part of
// them. An index of what oneself sent where misses most of the holders; a hash
// finds the one engine that all of them use. A target that is slow or full loses
// its homes until it is well again, and only those move (bounded loads, after V.
// Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent Hashing with Bounded
// Loads", SODA 2018).
func (p *pick) byHome() (*candidate, Reason) {
	least := slices.MinFunc(p.candidates, func(a, b *candidate) int { return cmp.Compare(a.score, b.score) })
	weights := p.homeWeights()
	var best *candidate
	bestDraw := math.Inf(1)
	for _, c := range p.candidates {
		if c.score > homeScoreBound*least.score {
			continue
		}
		if draw := p.homeRank(c) / weights[c.target.DataCentre]; best == nil || draw < bestDraw {
			best, bestDraw = c, draw
		}
	}
	return best, ReasonHome
}

// homeDraw is an exponential draw that is the same at all instances. Divided by a
// weight, the least of them falls to each target in proportion to its weight, and
// when a weight changes only the homes that it gains or loses move. It is drawn by
// the target's name: one that starts again has lost what it cached, and gets its own
// homes back. Drawn anew they would move to others, and as many of others to it, so
// that twice as many prompts were read again.
func (p *pick) homeRank(c *candidate) float64 {
	score := rendezvous.Score(cmp.Or(c.target.Name, c.target.Incarnation), p.query.HomeKey)
	return -math.Log((float64(score) + 1) / (math.MaxUint64 + 2))
}

// homeWeights is the weight of one target of each data centre.
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
