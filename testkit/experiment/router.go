package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/routing/baseline"
)

// Router is the interface to the routing of one instance.
type Router interface {
	SetTargets(now time.Time, pool routing.Pool, targets []routing.Target)
	Pick(now time.Time, rng *rand.Rand, q routing.Query) (routing.Choice, error)
	// Started records an attempt that was sent and returns the function that
	// records its end.
	Started(now time.Time, incarnation string, cost float64) func(now time.Time, result routing.Result)
	Report(now time.Time, incarnation string, load routing.Load)
	CacheEvent(now time.Time, incarnation string, update routing.CacheUpdate)
	// Slots returns the number of slots of a pool's routable targets.
	Slots(now time.Time, pool string) int
	Digest(now time.Time) []routing.DigestEntry
	PeerDigest(now time.Time, origin string, entries []routing.DigestEntry)
}

// tableRouter adapts the product's routing to Router.
type tableRouter struct{ *routing.Table }

func (r tableRouter) Started(now time.Time, incarnation string, cost float64) func(time.Time, routing.Result) {
	return r.Table.Started(now, incarnation, cost).Done
}

// baselineRouter adapts a baseline to Router. Baselines ignore load reports,
// cache events and digests.
type baselineRouter struct{ *baseline.Router }

func (r baselineRouter) Started(_ time.Time, incarnation string, _ float64) func(time.Time, routing.Result) {
	done := r.Router.Started(incarnation)
	return func(_ time.Time, result routing.Result) { done(result) }
}

func (baselineRouter) Report(time.Time, string, routing.Load)              {}
func (baselineRouter) CacheEvent(time.Time, string, routing.CacheUpdate)   {}
func (baselineRouter) Digest(time.Time) []routing.DigestEntry              { return nil }
func (baselineRouter) PeerDigest(time.Time, string, []routing.DigestEntry) {}

func (baselineRouter) Slots(time.Time, string) int { return 0 }
