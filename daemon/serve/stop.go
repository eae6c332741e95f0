package serve

import (
	"context"

	"github.com/ivyhollow/ivyhollow/daemon/execute"
)

// Stop ends the requests that are still running: each gets its one answer at once,
// which tells what became of it.
//
// It guards against requests that run longer than the grace of a planned stop. Their
// connections were closed with the process, and their callers could not know whether
// the work had run.
func (s *Server) Stop() { s.stop(execute.ErrStopping) }

// untilStopped returns a context that ends with Stop too.
func (s *Server) withStop(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(s.stopped, func() { cancel(context.Cause(s.stopped)) })
	return ctx, func() {
		release()
		cancel(nil)
	}
}
