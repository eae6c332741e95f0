// Package baseline holds the usual routing strategies that package routing is
// measured against. They see the same lists and results, but no digests, load
// reports or cache events, and they eject nothing.
package baseline

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
)

// Strategy chooses among the eligible targets; there is at least one.
type Strategy interface {
	choose(pool string, rng *rand.Rand, eligible []*targetState) *targetState
}

// entry is what a baseline knows of one target.
type targetState struct {
	target      routing.Target
	outstanding int
	rating      rating
}

// Router applies one strategy. It is safe for concurrent use.
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

// SetTargets takes the platform's list of a pool's targets.
func (r *Router) SetTargets(_ time.Time, pool routing.Pool, targets []routing.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*targetState, 0, len(targets))
	for _, t := range targets {
		e := r.states[t.Incarnation]
		if e == nil {
			e = &targetState{rating: newRating()}
			r.states[t.Incarnation] = e
		}
		e.target = t
		list = append(list, e)
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
	for _, e := range pool {
		switch {
		case slices.Contains(q.Exclude, e.target.Incarnation):
			none.Excluded++
		case !e.target.Fits(&q):
			none.Unfit++
		default:
			eligible = append(eligible, e)
		}
	}
	if len(eligible) == 0 {
		return routing.Choice{}, &none
	}
	return routing.Choice{Target: r.strategy.choose(q.Pool, rng, eligible).target}, nil
}

// Started records that an attempt was sent; the function it returns records how
// it ended.
func (r *Router) Started(incarnation string) func(routing.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.states[incarnation]
	if e == nil {
		return func(routing.Result) {}
	}
	e.outstanding++
	return func(result routing.Result) {
		r.mu.Lock()
		defer r.mu.Unlock()
		e.outstanding--
		e.rating.observe(result)
	}
}
