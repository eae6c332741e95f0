package stages

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/holder"
	"github.com/ivyhollow/ivyhollow/coordination/pacing"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/state/routes"
)

const (
	// remainingMargin is added to the time that an idle engine is predicted to take. It
	// covers the usual wait for the prompts that the engine already processes, and the
	// network transfer.
	remainingMargin = 60 * time.Millisecond
	// maxRemaining limits the time that is reserved for a request's engine after the
	// stages: the longest prompts take a second.
	maxRemaining = 2 * time.Second
)

// setEngines replaces the usable engines of a service. mu must be held.
func (q *queue) setEngines(s *routes.Service, pace pacing.Pace, usable []routes.Target) {
	list := make([]placing.Engine, 0, len(usable))
	for _, t := range usable {
		list = append(list, placing.Engine{Incarnation: t.Incarnation(), Name: t.Name, DataCentre: t.DataCentre})
	}
	q.engines.SetEngines(placing.Pool{Name: s.Name, CacheTokens: s.CacheTokens, Slots: s.Slots, Pace: pace}, list)
}

// predictEngine returns the request with the data centre where its results are best read, as
// far as that is known before its stages run, and with the time that it needs after them. mu
// must be held. With one constant time for all kinds of requests, the stages of a long prompt
// would meet their deadline and the first event would miss its objective.
func (q *queue) predictEngine(now time.Time, r gather.Request, prompt placing.Prompt) gather.Request {
	if prompt.Pool == "" {
		return r
	}
	q.updateGrants(prompt.Pool)
	prompt.Route, prompt.Account = r.Route, r.Account
	held := heldPrompt{prompt, r.Deadline, r.Priority}
	choice, ok := q.engines.ChooseWithin(now, &prompt, held.longestWait(now), q.planner.ReadCosts(now, &r))
	if !ok {
		return r
	}
	q.prompts[r.ID] = held
	return servedBy(now, r, choice)
}

// servedBy returns the request with the data centre of the engine that is expected to serve it, and with the
// time that it needs there.
func servedBy(now time.Time, r gather.Request, choice placing.Choice) gather.Request {
	r.DataCentre = choice.Engine.DataCentre
	r.Remaining = min(choice.FirstEventIdle+remainingMargin, maxRemaining)
	if choice.SendAfter > 0 && now.Add(choice.SendAfter).After(r.Deadline) {
		// The request would get no grant after its stages either.
		r.Remaining = choice.SendAfter
	}
	return r
}

// heldPrompt is the prompt of a request whose stages run here.
type heldPrompt struct {
	placing.Prompt
	// deadline and priority are those of the request.
	deadline time.Time
	priority int
}

// longestWait returns how long the request may wait for a send to an engine that names a limit.
func (h *heldPrompt) longestWait(now time.Time) time.Duration {
	return min(pacing.GrantHorizon(h.priority), h.deadline.Sub(now))
}

// mayWait reports whether a send may be granted to the request for a later time. A grant beyond its
// deadline would be lost for other requests, and with enough of them no request would get one in
// time.
func (h *heldPrompt) mayWait(now time.Time, c placing.Choice) bool {
	if c.SendAfter <= 0 {
		return true
	}
	if c.Limited {
		return c.SendAfter <= h.longestWait(now)
	}
	return !now.Add(c.SendAfter).After(h.deadline)
}

// updateGrants updates the engines of a paced pool to which this instance may grant sends. mu must
// be held.
func (q *queue) updateGrants(pool string) {
	if !q.isPaced(pool) {
		return
	}
	if view := q.view(); view != q.grantsView {
		q.grantsView = view
		q.engines.SetGrants(holder.Grants(view))
	}
}

// assignEngine chooses the engine of a request whose stages have completed. mu must be held.
// It returns "" if the request's prompt is unknown, as for a request that was taken over
// before its requester asked here: the requester then chooses. sendAt is when the request may be
// sent. With an engine of "" it is the earliest time for which there will be a grant.
func (q *queue) assignEngine(now time.Time, done gather.Completed) (engine string, sendAt time.Time) {
	prompt, ok := q.prompts[done.Request]
	if !ok {
		return "", time.Time{}
	}
	q.updateGrants(prompt.Pool)
	var total int64
	for _, bytes := range done.Bytes {
		total += bytes
	}
	choice, ok := q.engines.ChooseWithin(now, &prompt.Prompt, prompt.longestWait(now), func(dataCentre string) time.Duration {
		return gather.CrossingCost(total - done.Bytes[dataCentre])
	})
	if !ok {
		return "", time.Time{}
	}
	if !prompt.mayWait(now, choice) {
		return "", now.Add(choice.SendAfter)
	}
	q.engines.RecordSent(now, done.Request, &prompt.Prompt, choice)
	return choice.Engine.Incarnation, now.Add(choice.SendAfter)
}
