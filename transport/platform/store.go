// Package platform is the client of the platform's object API: typed calls and
// errors, bounded waits, and one budget of calls for the whole process.
package platform

import (
	"context"
	"time"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// Store is the platform's object store as the daemon's drivers see it. The
// daemon and the operators' client call it; pure packages never do.
//
// All methods may be called concurrently. Each one blocks, so no lock may be
// held across a call: at most until ctx ends, and for a Client at most
// BudgetOptions.MaxWait and then Options.Timeout for each page or write. An error tells
// what became of a write: *UnavailableError, *ConflictError and *CallError mean
// that nothing was done, *UnknownEffectError that it may have been done or may
// still be done later.
type Store interface {
	// Get reads one object; ErrNotFound when there is none.
	Get(ctx context.Context, kind, name string) (*platformapi.Object, error)
	// List reads all objects of a kind, page by page. Watch from its Revision.
	List(ctx context.Context, kind string) (platformapi.List, error)
	// ListStale is List, but the platform may answer from the past.
	ListStale(ctx context.Context, kind string) (platformapi.List, error)
	// ListStalePage reads one page of ListStale: at most limit objects, 0 being
	// the platform's own bound, of names after the given one. Next of the page
	// is where to go on, empty at the end.
	ListStalePage(ctx context.Context, kind, after string, limit int) (platformapi.List, error)
	// Create writes a new object; *ConflictError when the name is taken.
	Create(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error)
	// Update replaces the spec of an object and leaves its status. It is
	// conditional on Metadata.Revision unless that is 0.
	Update(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error)
	// UpdateStatus replaces the status alone, under the same condition.
	UpdateStatus(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error)
	// Delete removes an object, conditional on revision unless that is 0.
	Delete(ctx context.Context, kind, name string, revision uint64) error
	// Watch waits until an object of the kinds changes after revision from, at
	// most for wait, and returns the changes in order. ErrCompacted means that
	// the changes are no longer kept: list again.
	Watch(ctx context.Context, kinds []string, from uint64, wait time.Duration) (platformapi.WatchResponse, error)
}
