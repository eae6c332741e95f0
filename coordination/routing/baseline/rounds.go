package baseline

import "math/rand/v2"

// RatingRounds samples targets at random, weighted by their ratings, in balancing rounds
// (after "Load balancing: Strategies" in the dRPC documentation). The first round samples
// among the available targets with the best ratings; if there are none, the second
// samples among all targets, including those that are softly unavailable.
type RatingRounds struct{}

const (
	// firstRoundShare is the minimum rating in the first round, relative to the best.
	firstRoundShare = 0.5
	// softUnavailableFailures is the number of consecutive failures that exclude a
	// target from the first round.
	softUnavailableFailures = 2
)

func (RatingRounds) choose(_ string, rng *rand.Rand, eligible []*targetState) *targetState {
	best := 0.0
	for _, e := range eligible {
		best = max(best, e.rating.value())
	}
	round := make([]*targetState, 0, len(eligible))
	for _, e := range eligible {
		if e.rating.consecutiveFailures < softUnavailableFailures && e.rating.value() >= firstRoundShare*best {
			round = append(round, e)
		}
	}
	if len(round) == 0 {
		round = eligible
	}
	return sampleByRating(rng, round)
}

func sampleByRating(rng *rand.Rand, round []*targetState) *targetState {
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
