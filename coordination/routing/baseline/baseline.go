// Package baseline implements common routing strategies that package routing is
// compared with. They use the same lists and results, but no digests, load reports or
// cache events, and they eject no targets.
package baseline

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
)

// Strategy chooses one of the eligible targets, of which there is at least one.
type Strategy interface {
	choose(pool string, rng *rand.Rand, eligible []*targetState) *targetState
}

// targetState is a target with the state that the strategies use.
type targetState struct {
	target      routing.Target
	outstanding int
	rating      rating
}

// Router chooses targets by one strategy. It is safe for concurrent use.
type Router struct {
	strategy Strategy
	mu       sync.Mutex
	states   map[string]*targetState
	pools    map[string][]*targetState
}

// New returns a router without targets.
func New(strategy Strategy) *Router {
	return &Router{
		strategy: strategy,
		states:   map[string]*targetState{},
		pools:    map[string][]*targetState{},
	}
}

// SetTargets replaces the list of a pool's targets with the platform's latest.
func (r *Router) SetTargets(_ time.Time, pool routing.Pool, targets []routing.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*targetState, 0, len(targets))
	for _, t := range targets {
		state := r.states[t.Incarnation]
		if state == nil {
			state = &targetState{rating: newRating()}
			r.states[t.Incarnation] = state
		}
		state.target = t
		list = append(list, state)
	}
	r.pools[pool.Name] = list
}

// Pick chooses a target that fits the query and is not excluded.
func (r *Router) Pick(_ time.Time, rng *rand.Rand, q routing.Query) (routing.Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	pool := r.pools[q.Pool]
	none := routing.NoTargetError{Pool: q.Pool, Known: len(pool)}
	eligible := make([]*targetState, 0, len(pool))
	for _, state := range pool {
		switch {
		case slices.Contains(q.Exclude, state.target.Incarnation):
			none.Excluded++
		case !state.target.Fits(&q):
			none.Unfit++
		default:
			eligible = append(eligible, state)
		}
	}
	if len(eligible) == 0 {
		return routing.Choice{}, &none
	}
	return routing.Choice{Target: r.strategy.choose(q.Pool, rng, eligible).target}, nil
}

// Started records that an attempt was sent. The returned function records its result.
func (r *Router) Started(incarnation string) func(routing.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.states[incarnation]
	if state == nil {
		return func(routing.Result) {}
	}
	state.outstanding++
	return func(result routing.Result) {
		r.mu.Lock()
		defer r.mu.Unlock()
		state.outstanding--
		state.rating.observe(result)
	}
}
