package serve

import (
	"context"

	"github.com/ivyhollow/ivyhollow/daemon/execute"
)

// Stop ends the requests that are still running. Each gets its response at once, which
// states the outcome.
//
// It is for requests that run longer than the grace period of a planned stop. Without
// it, their connections would be closed with the process, and their callers could not
// know whether the work had run.
func (s *Server) Stop() { s.stop(execute.ErrStopping) }

// withStop returns a context that Stop cancels too.
func (s *Server) withStop(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(s.stopped, func() { cancel(context.Cause(s.stopped)) })
	return ctx, func() {
		release()
		cancel(nil)
	}
}
