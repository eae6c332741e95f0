package serve

import (
	"context"

	"github.com/ivyhollow/ivyhollow/daemon/execute"
)

// Stop ends the requests that are still running. The response to each is sent at once
// and states the outcome.
//
// It is for requests that run longer than the grace period of a planned stop. Without
// it, their connections would be closed with the process, and their callers could not
// know whether the work had run.
func (s *Server) Stop() { s.stop(execute.ErrStopping) }

// withStop returns a child of ctx that Stop cancels too, and a function that releases it.
func (s *Server) withStop(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(s.stopped, func() { cancel(context.Cause(s.stopped)) })
	return ctx, func() {
		release()
		cancel(nil)
	}
}
