package baseline

import "math/rand/v2"

// Rounds is weighted random sampling by rating with balancing rounds, after
// "Load balancing: Strategies" of the dRPC documentation: the first round
// samples among the best performers that are available, the second among all
// targets, the softly unavailable included.
type Rounds struct{}

const (
	// bestShare of the best rating puts a target in the first round.
	bestShare = 0.5
	// softUnavailable failures in a row leave a target to the second round.
	softUnavailable = 2
)

func (Rounds) choose(_ string, rng *rand.Rand, eligible []*entry) *entry {
	best := 0.0
	for _, e := range eligible {
		best = max(best, e.rating.value())
	}
	round := make([]*entry, 0, len(eligible))
	for _, e := range eligible {
		if e.rating.unavailable < softUnavailable && e.rating.value() >= bestShare*best {
			round = append(round, e)
		}
	}
	if len(round) == 0 {
		round = eligible
	}
	return sampleByRating(rng, round)
}

func sampleByRating(rng *rand.Rand, round []*entry) *entry {
	sum := 0.0
	for _, e := range round {
		sum += e.rating.value()
	}
	point := rng.Float64() * sum
	for _, e := range round {
		point -= e.rating.value()
		if point < 0 {
			return e
		}
	}
	return round[len(round)-1]
}
