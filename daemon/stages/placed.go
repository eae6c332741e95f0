package stages

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/state/routes"
)

const (
	// restMargin is added to the time that an idle engine is predicted to take: its
	// usual wait for what it reads already, and the way there.
	remainingMargin = 60 * time.Millisecond
	// mostRest bounds what a request counts as taking at its engine: the longest
	// prompts take a second.
	maxRemaining = 2 * time.Second
)

// setEngines takes the usable engines of a service; mu is held.
func (o *queue) setEngines(s *routes.Service, usable []routes.Target) {
	list := make([]placing.Engine, 0, len(usable))
	for _, t := range usable {
		list = append(list, placing.Engine{Incarnation: t.Incarnation(), Name: t.Name, DataCentre: t.DataCentre})
	}
	o.engines.SetEngines(placing.Pool{Name: s.Name, CacheTokens: s.CacheTokens}, list)
}

// near returns the request with the data centre where its results had best be read, as
// far as can be told before its stages run, and the time that it needs after them; mu
// is held. With one constant for all kinds the stages of a long prompt are done in time
// and its answer is late.
func (o *queue) predictEngine(now time.Time, r gather.Request, prompt placing.Prompt) gather.Request {
	if prompt.Pool == "" {
		return r
	}
	choice, ok := o.engines.Choose(now, &prompt, o.planner.ReadCosts(now, &r))
	if !ok {
		return r
	}
	o.prompts[r.ID] = prompt
	r.DataCentre = choice.Engine.DataCentre
	r.Remaining = min(choice.FirstEventIdle+remainingMargin, maxRemaining)
	return r
}

// place chooses the engine of a request whose stages are done; mu is held. It returns
// none where the request's prompt isn't known, as of one that was taken over and whose
// asker hasn't asked here: its asker chooses then.
func (o *queue) assignEngine(now time.Time, done gather.Completed) string {
	prompt, ok := o.prompts[done.Request]
	if !ok {
		return ""
	}
	var total int64
	for _, bytes := range done.Bytes {
		total += bytes
	}
	choice, ok := o.engines.Choose(now, &prompt, func(dataCentre string) time.Duration {
		return gather.CrossingCost(total - done.Bytes[dataCentre])
	})
	if !ok {
		return ""
	}
	o.engines.RecordSent(now, done.Request, &prompt, choice)
	return choice.Engine.Incarnation
}
