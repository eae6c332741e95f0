package relay

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/daemon/stages"
)

// retryAfter returns the retry delay of a request whose stages were refused.
func (q *request) retryAfter(now time.Time, r gather.Request, refused *stages.RefusedError) time.Duration {
	if refused.Reserved {
		return refused.RetryAfter // the holder expects the caller then, whichever instance it uses
	}
	// A retry goes to another instance. If this one is stopping, the other one's deadline is
	// later, so the retry delay is shorter by the difference.
	later := q.eventDeadline(now).Sub(r.Deadline)
	if refused.NoTimeLeft && later <= 0 {
		// The deadline of the stages may be before the time until which the caller waits.
		return max(refused.RetryAfter, q.call.Timeout-now.Sub(q.arrived), q.deadline.Sub(now))
	}
	return refused.RetryAfter - later
}
