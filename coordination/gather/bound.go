package gather

import "time"

// Bound has requests end by an earlier time than their own deadlines, since the
// instances that asked for them stop. Those that won't be done by then are refused at
// once: their callers hear so while they can still be served elsewhere.
func (p *Planner) Bound(now, until time.Time, ids ...string) []Action {
	for _, id := range ids {
		w := p.works[id]
		if w == nil || w.completed || !until.Before(w.Deadline) {
			continue
		}
		w.bounded = true
		w.Deadline = until
		if until.Before(w.Objective) {
			w.Objective = until
		}
		w.lateAt = w.Objective.Add(-p.least(w))
		p.recount(now, w)
		p.giveUpBounded(now, w)
	}
	return p.flush()
}

// giveUpBounded refuses a request that won't be done by its new deadline: one that
// has begun by the least that it takes, another as at its admission.
func (p *Planner) giveUpBounded(now time.Time, w *work) {
	if least := p.least(w); now.Add(least).After(w.Deadline) {
		p.giveUp(w, Refused{Reason: ReasonDeadline, Needed: least, Left: w.Deadline.Sub(now)})
		return
	}
	if w.begun {
		return
	}
	if refusal := p.admit(now, w); refusal != nil {
		p.giveUp(w, *refusal)
	}
}

// stopping is a refusal as the asker of a request that stops should read it: the next
// instance may well have time for it.
func (r Refused) stopping() Refused {
	if r.Reason == ReasonQueue || r.Reason == ReasonDeadline {
		r.Reason, r.RetryAfter = ReasonStopping, minRetryAfter
	}
	return r
}
