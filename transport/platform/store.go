// Package platform is the client of the platform's object API. Its calls and errors
// are typed, its waits are bounded, and one budget limits the call rate of the whole
// process.
package platform

import (
	"context"
	"time"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// Store is the platform's object store. The daemon and the operators' client call
// it; packages without I/O never do.
//
// All methods may be called concurrently. Each one blocks, so no lock may be held
// across a call: at most until ctx ends, and for a Client at most
// BudgetOptions.MaxWait and then Options.Timeout for each page or write. The type of
// an error reports the effect of a write: *UnavailableError, *ConflictError and
// *CallError mean that nothing was done, *UnknownEffectError that the write may have
// been done or may still be done later.
type Store interface {
	// Get reads one object. It returns ErrNotFound if there is none.
	Get(ctx context.Context, kind, name string) (*platformapi.Object, error)
	// List reads all objects of a kind, page by page. A watch that continues
	// from the list starts at its Revision.
	List(ctx context.Context, kind string) (platformapi.List, error)
	// ListStale is like List, but the platform may return an older state.
	ListStale(ctx context.Context, kind string) (platformapi.List, error)
	// ListStalePage reads one page of ListStale: at most limit objects whose
	// names are after the given one. A limit of 0 means the platform's page size.
	// Next is the name after which the next page begins, empty on the last page.
	ListStalePage(ctx context.Context, kind, after string, limit int) (platformapi.List, error)
	// Create writes a new object. It returns *ConflictError if the name exists.
	Create(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error)
	// Update replaces the spec of an object and keeps its status. It is
	// conditional on Metadata.Revision unless that is 0.
	Update(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error)
	// UpdateStatus replaces only the status, under the same condition.
	UpdateStatus(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error)
	// Delete removes an object, conditional on revision unless that is 0.
	Delete(ctx context.Context, kind, name string, revision uint64) error
	// Watch waits, at most for wait, until an object of the kinds changes after
	// revision from, and returns the changes in order. ErrCompacted means that
	// the platform no longer has the changes and the caller must list again.
	Watch(ctx context.Context, kinds []string, from uint64, wait time.Duration) (platformapi.WatchResponse, error)
}
