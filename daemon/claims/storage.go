package claims

import (
	"context"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
)

// Storage keeps claims. Answers are events of package claim, so that each
// fault has one typed form. All methods may be called concurrently and return
// by the end of ctx.
type Storage interface {
	// Create writes the claim if there is none of this id: Written, Exists,
	// StoreAway or AnswerLost.
	Create(ctx context.Context, id claim.ID, r claim.Record) claim.Event
	// Get reads the claim: Exists, Absent or ReadFailed.
	Get(ctx context.Context, id claim.ID) claim.Event
	// Replace writes the claim if the stored one is at the revision: Written,
	// Exists, Absent, StoreAway or AnswerLost.
	Replace(ctx context.Context, id claim.ID, revision uint64, r claim.Record) claim.Event
	// Sweep removes claims made before a time. It calls pace before each page
	// that it reads and each removal, and ends with pace's error. It returns the number removed.
	Sweep(ctx context.Context, before time.Time, pace func() error) (int, error)
}
