package execute

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/gate"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
	"github.com/ivyhollow/ivyhollow/transport/target"
)

// Router chooses targets and learns from the results of attempts; *routing.Table
// implements it. It is called from the goroutines of all requests and does not block.
type Router interface {
	Pick(now time.Time, rng *rand.Rand, q routing.Query) (routing.Choice, error)
	// Serves reports whether any target is able to run the query.
	Serves(q *routing.Query) bool
	Started(now time.Time, incarnation string, cost float64) *routing.Attempt
	Report(now time.Time, incarnation string, load routing.Load)
	Leaving(now time.Time, incarnation string)
}

// Caller sends one attempt to a target; *target.Client implements it. Both methods
// block until the response, the end of the context or a timeout of the client.
type Caller interface {
	Run(ctx context.Context, call target.Call) (targetapi.RunResponse, target.ResponseMeta, error)
	Stream(ctx context.Context, call target.Call, onToken func(offset int, token string) error) (targetapi.RunResponse, target.ResponseMeta, error)
}

// Gate admits attempts to a pool, higher tiers first; *gate.Group implements it. A refusal
// is a *gate.RefusedError.
type Gate interface {
	// Enter blocks until the attempt gets a slot or is refused, or the context ends.
	// The caller must call Release on the grant.
	Enter(ctx context.Context, pool string, r gate.Request) (*gate.Grant, error)
	// TryEnter does not wait. It is for hedges, which are optional.
	TryEnter(pool string, r gate.Request) (*gate.Grant, bool)
	// Wait returns how long an attempt of the rank would queue if it arrived now.
	Wait(pool string, rank int) time.Duration
	// Open reports whether any target of the pool is known.
	Open(pool string) bool
}

// Budgets holds the instance's retry budget of each pool, from which additional
// attempts are paid; *retrybudget.Budgets implements it. Calls don't block.
type Budgets interface {
	// TakeRetry takes the price of a retry and reports whether the budget sufficed.
	TakeRetry(now time.Time, pool string) bool
	// TakeHedge takes the price of a hedge and reports whether the budget sufficed.
	TakeHedge(now time.Time, pool string) bool
	// Succeeded records that a stage got a complete response, which adds to the budget.
	Succeeded(now time.Time, pool string)
}
