package platform

import (
	"context"
	"io"
	"time"
)

// ProgressTimeout limits the wait for a response by its progress rather than by its
// length: a large object takes seconds over a slow link.
type ProgressTimeout struct {
	// First is the time until the first bytes of the response.
	First time.Duration
	// Idle is the time between two reads of its body.
	Idle time.Duration
	// Total is the time from the start to the end of the response.
	Total time.Duration
}

// progressKey is the context key of a function that is called as a response arrives.
type progressKey struct{}

// WithProgressTimeout returns a context for one call that ends with
// context.DeadlineExceeded when the response makes no progress. The timeouts of parent
// still apply.
func WithProgressTimeout(parent context.Context, timeout ProgressTimeout) (context.Context, context.CancelFunc) {
	limited, cancelTotal := context.WithTimeout(parent, timeout.Total)
	ctx, cancel := context.WithCancelCause(limited)
	timer := time.AfterFunc(timeout.First, func() { cancel(context.DeadlineExceeded) })
	ctx = context.WithValue(ctx, progressKey{}, func() {
		if timer.Stop() {
			timer.Reset(timeout.Idle)
		}
		ReportProgress(parent)
	})
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
		cancelTotal()
	}
}

// ReportProgress resets the idle timeouts of the context of a call. A Store calls it as a
// response arrives.
func ReportProgress(ctx context.Context) {
	if report, ok := ctx.Value(progressKey{}).(func()); ok {
		report()
	}
}

// progressReader reports the progress of a response to the context of its call.
type progressReader struct {
	io.Reader
	ctx context.Context
}

func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		ReportProgress(r.ctx)
	}
	return n, err
}
