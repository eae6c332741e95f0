package routing

import (
	"cmp"
	"slices"

	"github.com/ivyhollow/ivyhollow/coordination/rendezvous"
)

// homeBound is how many times the least score a target's may be for it to be
// used as a home.
const homeBound = 1.5

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
	var best *candidate
	var bestScore uint64
	for _, c := range p.candidates {
		if c.score > homeBound*least.score {
			continue
		}
		if score := rendezvous.Score(c.target.Incarnation, p.query.Home); best == nil || score > bestScore {
			best, bestScore = c, score
		}
	}
	return best, ReasonHome
}
