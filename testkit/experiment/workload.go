package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
)

// Request is one offered request. Its sizes are sampled before the run, so that
// they are the same for every policy.
type Request struct {
	ID int
	// IntendedAt is the time at which the client intends to send it, since the
	// start of the run.
	IntendedAt time.Duration
	Tier       int
	Account    int
	Instance   int
	// Work is the size of each stage, with a mean of 1; 0 skips the stage.
	Work []float64
	// OutputTokens is the length of the generated output.
	OutputTokens int
	Prefix       []routing.PrefixPart
	// Deadline is the time after which the client has no use for the result.
	Deadline time.Duration
}

// The arrivals are a Markov-modulated Poisson process: calm and busy periods
// alternate, and the rate factor has a mean of 1.
const (
	calmRate   = 0.8
	busyRate   = 2.0
	calmLength = 2500 * time.Millisecond
	busyLength = 500 * time.Millisecond
)

const (
	workSigma   = 0.3
	outputSigma = 0.4
)

func newRand(seed uint64, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}

// generateRequests samples the requests of a run. rateFactor multiplies the
// arrival rate at a moment.
func generateRequests(s *Shape, load float64, length time.Duration, seed uint64, rateFactor func(time.Duration) float64) []*Request {
	rng := newRand(seed, 1)
	zipf := rand.NewZipf(rng, 1.1, 3, documents-1)
	rate := load * s.capacity()
	var requests []*Request
	busy := false
	change := time.Duration(0)
	for now := time.Duration(0); now < length; {
		for now >= change {
			busy = !busy && change > 0
			mean := calmLength
			if busy {
				mean = busyLength
			}
			change += time.Duration(rng.ExpFloat64() * float64(mean))
		}
		factor := calmRate
		if busy {
			factor = busyRate
		}
		now += time.Duration(rng.ExpFloat64() / (rate * factor * rateFactor(now)) * float64(time.Second))
		requests = append(requests, sampleRequest(s, rng, zipf, len(requests), now))
	}
	return requests
}

func sampleRequest(s *Shape, rng *rand.Rand, zipf *rand.Zipf, id int, now time.Duration) *Request {
	r := &Request{
		ID:           id,
		IntendedAt:   now,
		Tier:         sampleTier(s, rng),
		Instance:     rng.IntN(Instances),
		Work:         make([]float64, len(s.Stages)),
		OutputTokens: max(1, int(meanOutputTokens*logNormal(rng, outputSigma))),
	}
	for i, stage := range s.Stages {
		work := logNormal(rng, workSigma)
		if rng.Float64() < stage.Share {
			r.Work[i] = work
		}
	}
	document := zipf.Uint64()
	r.Account = int(document % accounts)
	r.Prefix = prefix(fmt.Sprintf("account-%d", r.Account), fmt.Sprintf("document-%d", document))
	r.Deadline = now + s.Tiers[r.Tier].Deadline
	return r
}

func prefix(account, document string) []routing.PrefixPart {
	return []routing.PrefixPart{
		{ID: account, Tokens: accountTokens},
		{ID: document, Tokens: documentTokens},
	}
}

func sampleTier(s *Shape, rng *rand.Rand) int {
	point := rng.Float64()
	for i, tier := range s.Tiers {
		point -= tier.Share
		if point < 0 {
			return i
		}
	}
	return len(s.Tiers) - 1
}

// logNormal samples a log-normal distribution with mean 1.
func logNormal(rng *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma*rng.NormFloat64() - sigma*sigma/2)
}
