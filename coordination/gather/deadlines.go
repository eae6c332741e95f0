package gather

import "time"

// ShortenDeadlines brings the deadlines of requests forward to until, since the instances
// that submitted them are stopping. Requests that won't be done by then are refused at
// once, while their callers can still be served elsewhere.
func (p *Planner) ShortenDeadlines(now, until time.Time, ids ...string) []Action {
	for _, id := range ids {
		req := p.requests[id]
		if req == nil || req.completed || !until.Before(req.Deadline) {
			continue
		}
		req.deadlineShortened = true
		req.Deadline = until
		if until.Before(req.Objective) {
			req.Objective = until
		}
		req.latestStart = req.Objective.Add(-p.minRemaining(req))
		p.updateBacklog(now, req)
		p.enforceShortenedDeadline(now, req)
	}
	return p.flush()
}

// enforceShortenedDeadline refuses a request that won't be done by its new deadline. A request
// that has started is refused only if its minimum remaining time is too long; any other is
// also subject to the rules of admission.
func (p *Planner) enforceShortenedDeadline(now time.Time, req *heldRequest) {
	if remaining := p.minRemaining(req); now.Add(remaining).After(req.Deadline) {
		p.refuse(req, Refused{Reason: ReasonDeadlineTooNear, Needed: remaining, TimeToDeadline: req.Deadline.Sub(now)})
		return
	}
	if req.started {
		return
	}
	if refusal := p.admit(now, req); refusal != nil {
		p.refuse(req, *refusal)
	}
}

// asStopping returns the refusal as the requester of a request with a shortened deadline
// should receive it: the next instance may well have time for it.
func (r Refused) asStopping() Refused {
	if r.Reason == ReasonQueueTooLong || r.Reason == ReasonDeadlineTooNear {
		r.Reason, r.RetryAfter = ReasonStopping, minRetryAfter
	}
	return r
}
