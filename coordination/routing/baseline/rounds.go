package baseline

import "math/rand/v2"

// Rounds is weighted random sampling by rating with balancing rounds, after
// "Load balancing: Strategies" of the dRPC documentation: the first round
// samples among the best performers that are available, the second among all
// targets, the softly unavailable included.
type RatingRounds struct{}

const (
	// bestShare of the best rating puts a target in the first round.
	firstRoundShare = 0.5
	// softUnavailable failures in a row leave a target to the second round.
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
