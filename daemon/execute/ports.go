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

// Router chooses targets and learns from attempts; *routing.Table is one. It
// is called from every request's goroutines and does not block.
type Router interface {
	Pick(now time.Time, rng *rand.Rand, q routing.Query) (routing.Choice, error)
	// Serves tells whether any target may take the query at all.
	Serves(q *routing.Query) bool
	Started(now time.Time, incarnation string, cost float64) *routing.Attempt
	Report(now time.Time, incarnation string, load routing.Load)
	Leaving(now time.Time, incarnation string)
}

// Caller makes one attempt at a target; *target.Client is one. Both methods
// block until the answer, the context's end or a bound of the client.
type Caller interface {
	Run(ctx context.Context, call target.Call) (targetapi.RunResponse, target.Meta, error)
	Stream(ctx context.Context, call target.Call, onToken func(offset int, token string) error) (targetapi.RunResponse, target.Meta, error)
}

// Gate lets attempts through to a pool, the higher tiers first;
// *gate.Group is one. A refusal is a *gate.RefusedError.
type Gate interface {
	// Enter blocks until the attempt's turn, a refusal, or the context's end.
	// Each grant is ended by its Release.
	Enter(ctx context.Context, pool string, r gate.Request) (*gate.Grant, error)
	// TryEnter does not wait; it serves hedges, which nobody needs.
	TryEnter(pool string, r gate.Request) (*gate.Grant, bool)
	// Wait is how long an attempt of the rank that came now would queue.
	Wait(pool string, rank int) time.Duration
	// Open tells whether any target of the pool is known.
	Open(pool string) bool
}

// Budgets pays for extra attempts from the instance's budget of each pool;
// *retrybudget.Budgets is one. Calls don't block.
type Budgets interface {
	// Retry pays for one retry, or tells that it can't.
	Retry(now time.Time, pool string) bool
	// Hedge pays for a second attempt beside the first, or tells that it can't.
	Hedge(now time.Time, pool string) bool
	// Succeeded tells that a stage was answered whole; it earns.
	Succeeded(now time.Time, pool string)
}
