package baseline

import (
	"math/rand/v2"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
)

// Random chooses a target uniformly at random.
type Random struct{}

func (Random) choose(_ string, rng *rand.Rand, eligible []*targetState) *targetState {
	return eligible[rng.IntN(len(eligible))]
}

// RoundRobin chooses the targets in turn.
type RoundRobin struct {
	next map[string]int
}

func (s *RoundRobin) choose(pool string, _ *rand.Rand, eligible []*targetState) *targetState {
	if s.next == nil {
		s.next = map[string]int{}
	}
	s.next[pool]++
	return eligible[s.next[pool]%len(eligible)]
}

// LeastOutstanding chooses the target with the fewest requests in flight from this
// router; ties are broken at random.
type LeastOutstanding struct{}

func (LeastOutstanding) choose(_ string, rng *rand.Rand, eligible []*targetState) *targetState {
	var best *targetState
	ties := 0
	for _, e := range eligible {
		switch {
		case best == nil || e.outstanding < best.outstanding:
			best, ties = e, 1
		case e.outstanding == best.outstanding:
			ties++
			if rng.IntN(ties) == 0 {
				best = e
			}
		}
	}
	return best
}

// TwoChoices chooses, of two random targets, the one with fewer requests in flight from
// this router (Mitzenmacher, IEEE TPDS 2001).
type TwoChoices struct{}

func (TwoChoices) choose(_ string, rng *rand.Rand, eligible []*targetState) *targetState {
	i := rng.IntN(len(eligible))
	if len(eligible) == 1 {
		return eligible[i]
	}
	j := rng.IntN(len(eligible) - 1)
	if j >= i {
		j++
	}
	if eligible[j].outstanding < eligible[i].outstanding {
		return eligible[j]
	}
	return eligible[i]
}

// rating is a moving average of a target's success rate, divided by that of its latency
// relative to the expected latency.
type rating struct {
	successRate, slowness float64
	consecutiveFailures   int
}

// ratingWeight is the weight of a new sample in a rating.
const ratingWeight = 0.1

func newRating() rating {
	return rating{successRate: 1, slowness: 1}
}

func (r *rating) observe(result routing.Result) {
	ok := 0.0
	switch result.Outcome {
	case routing.OutcomeOK:
		ok = 1
		r.consecutiveFailures = 0
	case routing.OutcomeCancelled, routing.OutcomeNotRun:
		return
	default:
		r.consecutiveFailures++
	}
	r.successRate += ratingWeight * (ok - r.successRate)
	if ok == 1 && result.Expected > 0 {
		slow := float64(result.Latency) / float64(result.Expected)
		r.slowness += ratingWeight * (slow - r.slowness)
	}
}

// minRating keeps the sampling probability of every target above 0.
const minRating = 0.01

func (r *rating) value() float64 {
	return max(minRating, r.successRate/max(r.slowness, minRating))
}
