package gather

import "time"

// Bound has requests end by an earlier time than their own deadlines, since the
// instances that asked for them stop. Those that won't be done by then are refused at
// once: their callers hear so while they can still be served elsewhere.
func (p *Planner) ShortenDeadlines(now, until time.Time, ids ...string) []Action {
	for _, id := range ids {
		w := p.requests[id]
		if w == nil || w.completed || !until.Before(w.Deadline) {
			continue
		}
		w.deadlineShortened = true
		w.Deadline = until
		if until.Before(w.Objective) {
			w.Objective = until
		}
		w.latestStart = w.Objective.Add(-p.minRemaining(w))
		p.updateBacklog(now, w)
		p.enforceShortenedDeadline(now, w)
	}
	return p.flush()
}

// giveUpBounded refuses a request that won't be done by its new deadline: one that
// has begun by the least that it takes, another as at its admission.
func (p *Planner) enforceShortenedDeadline(now time.Time, w *heldRequest) {
	if least := p.minRemaining(w); now.Add(least).After(w.Deadline) {
		p.refuse(w, Refused{Reason: ReasonDeadlineTooNear, Needed: least, TimeToDeadline: w.Deadline.Sub(now)})
		return
	}
	if w.started {
		return
	}
	if refusal := p.admit(now, w); refusal != nil {
		p.refuse(w, *refusal)
	}
}

// stopping is a refusal as the asker of a request that stops should read it: the next
// instance may well have time for it.
func (r Refused) asStopping() Refused {
	if r.Reason == ReasonQueueTooLong || r.Reason == ReasonDeadlineTooNear {
		r.Reason, r.RetryAfter = ReasonStopping, minRetryAfter
	}
	return r
}
