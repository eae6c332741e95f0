package stages

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
)

// refusedError returns the refusal of a request by a holder of the queue.
func (s *Stages) refusedError(reason gather.Reason, retryAfter time.Duration, reserved bool, holder string) *RefusedError {
	return &RefusedError{
		Reason: reason, RetryAfter: retryAfter, Reserved: reserved, Holder: holder,
		NoTimeLeft: s.reservesRetries && reason == gather.ReasonQueueTooLong && !reserved,
	}
}

// checkTimers runs the timers of the planner and counts what became of reservations.
func (q *queue) checkTimers(p *gather.Planner, now time.Time) []gather.Action {
	actions := p.Tick(now)
	q.metrics.reservations(p.TakeReservationCounts())
	return actions
}
