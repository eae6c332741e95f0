package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
)

// oracleRouter knows the true, current state of every listed target, which no
// instance can. Its result is an upper bound for routing alone.
type oracleRouter struct {
	baselineRouter
	run    *run
	listed map[string][]*target
}

// SetTargets stores the list: the oracle knows no more targets than other routers.
func (r *oracleRouter) SetTargets(_ time.Time, pool routing.Pool, targets []routing.Target) {
	r.listed[pool.Name] = nil
	for _, t := range targets {
		r.listed[pool.Name] = append(r.listed[pool.Name], r.run.byName[t.Incarnation])
	}
}

// Pick returns the target with the shortest expected time for the request,
// computed from its true queue, speed and cache.
func (r *oracleRouter) Pick(_ time.Time, rng *rand.Rand, q routing.Query) (routing.Choice, error) {
	var best *target
	bestTime := 0.0
	targets := r.listed[q.Pool]
	for _, i := range rng.Perm(len(targets)) {
		t := targets[i]
		if t.down || t.failing {
			continue
		}
		if expected := t.expectedSeconds(q.Prefix); best == nil || expected < bestTime {
			best, bestTime = t, expected
		}
	}
	if best == nil {
		return routing.Choice{}, &routing.NoTargetError{Pool: q.Pool}
	}
	return routing.Choice{Target: best.spec}, nil
}

// expectedSeconds returns the mean time to a response, in seconds.
func (t *target) expectedSeconds(parts []routing.PrefixPart) float64 {
	mean := t.stage.meanIdleTime().Seconds()
	own := mean
	if t.cache != nil {
		own = (meanOutputTokens*decodeTime + tailTokens*prefillTime).Seconds()
		for _, part := range parts {
			if !t.cache.has(part.ID) {
				own += float64(part.Tokens) * prefillTime.Seconds()
			}
		}
	}
	use := float64(t.active+t.queued+1) / float64(t.spec.Slots)
	return t.slowness * (own*(1+batchSlowdown*min(use, 1)) + mean*max(0, use-1))
}

// Oracle returns the policy with perfect knowledge, an upper bound that the
// product can't reach.
func Oracle() Policy {
	return Policy{
		Name:       "oracle",
		NewRouter:  func(string, string) Router { return &oracleRouter{} },
		NewControl: newPlainControl,
	}
}
