package claims

import (
	"context"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
)

// Storage stores claims. Its methods return events of package claim, so that each kind
// of failure has one type. All methods may be called concurrently and return by the end
// of ctx.
type Storage interface {
	// Create writes the claim if there is none with this id. It returns Written,
	// Exists, StoreUnavailable or ResponseLost.
	Create(ctx context.Context, id claim.ID, r claim.Record) claim.Event
	// Get reads the claim. It returns Exists, Absent or ReadFailed.
	Get(ctx context.Context, id claim.ID) claim.Event
	// Replace writes the claim if the stored one is at the revision. It returns
	// Written, Exists, Absent, StoreUnavailable or ResponseLost.
	Replace(ctx context.Context, id claim.ID, revision uint64, r claim.Record) claim.Event
	// Sweep removes claims created before a time and returns the number removed. It
	// calls pace to limit the rate of its calls: an ObjectStorage before it reads a page
	// and before each removal, a JournalStorage once before each shard. If pace returns
	// an error, Sweep ends and returns this error.
	Sweep(ctx context.Context, before time.Time, pace func() error) (int, error)
}
