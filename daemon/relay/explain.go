package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/protocol/explainapi"
	"github.com/ivyhollow/ivyhollow/state/routes"
)

// ErrUnknownRoute means that the configuration in force has no route of that name.
var ErrUnknownRoute = errors.New("no such route")

// errNoHolder means that the instance has no way to ask the holder of the stage queue.
var errNoHolder = errors.New("it can't be asked")

// Explain returns what would become of a request that arrived now, and why. Nothing is sent, recorded
// or spent. The error is ErrUnknownRoute.
func (s *Relay) Explain(ctx context.Context, query explainapi.Query) (explainapi.Answer, error) {
	x := explanation{answer: explainapi.Answer{
		Route: query.Route, Account: query.Account, Candidates: []explainapi.Candidate{},
		DecidedBy: explainapi.Decider{Role: explainapi.RoleInstance, Name: s.options.Instance},
	}}
	table := s.options.Table()
	if table == nil {
		x.refuse(reasonNoConfiguration, time.Second)
		x.unknown("route", "the instance has no configuration yet")
		return x.answer, nil
	}
	route, ok := table.RouteNamed(query.Route)
	if !ok {
		return explainapi.Answer{}, ErrUnknownRoute
	}
	x.q = s.hypotheticalRequest(query, route)
	x.answer.Service = x.q.service
	x.answer.KnowledgeAgeMS = milliseconds(s.options.KnowledgeAge())
	x.identifyAccount(table)
	x.explainTrafficSplit()
	x.explainRefusals()
	x.explainTarget()
	x.askHolder(ctx)
	x.dropChoiceOfRefused()
	return x.answer, nil
}

// explanation is an answer in the making.
type explanation struct {
	q      *request
	answer explainapi.Answer
	// dataCentre is that of the chosen target.
	dataCentre string
}

// hypotheticalRequest returns a request that is only asked about.
func (s *Relay) hypotheticalRequest(query explainapi.Query, route *routes.Route) *request {
	q := &request{
		relay: s, hypothetical: true, route: route, account: query.Account, priority: route.Priority,
		service: heaviestService(route.TrafficSplit), arrived: time.Now(),
		call: exchange.CallerRequest{
			Timeout: query.Deadline, PromptTokens: query.PromptTokens, OutputTokens: query.OutputTokens,
			OutputHint: query.Hint, PieceCounts: query.Pieces,
		},
	}
	for _, part := range query.Prefix {
		q.call.Prefix = append(q.call.Prefix, routing.PrefixPart{ID: part.ID, Tokens: part.Tokens})
	}
	if d, ok := s.options.Dialect.(retryDelayer); ok {
		q.call.MaxRetryDelay = d.MaxRetryDelay(q.call.Timeout)
	}
	q.setDeadlines()
	q.updatePaced()
	return q
}

// retryDelayer is a dialect that knows the longest retry delay that a caller honours which waits so long.
// Otherwise any delay counts as honoured.
type retryDelayer interface {
	MaxRetryDelay(timeout time.Duration) time.Duration
}

// heaviestService returns the service that most requests of a route are sent to.
func heaviestService(split []routes.WeightedService) string {
	var heaviest routes.WeightedService
	for i, s := range split {
		if i == 0 || s.Weight > heaviest.Weight {
			heaviest = s
		}
	}
	return heaviest.Service
}

// refuse records the refusal that the caller would get, unless an earlier one is known.
func (x *explanation) refuse(reason string, after time.Duration) {
	if x.answer.Refusal == nil {
		x.answer.Refusal = &explainapi.Refusal{Reason: reason, RetryAfterMS: milliseconds(max(after, minRetryAfter))}
	}
}

func (x *explanation) unknown(what, why string) {
	x.answer.Unknown = append(x.answer.Unknown, explainapi.Unknown{What: what, Why: why})
}

// identifyAccount takes the priority of the client account.
func (x *explanation) identifyAccount(table *routes.Table) {
	if !table.RequiresKeys || x.q.route.Anonymous {
		return
	}
	account, ok := table.AccountNamed(x.q.account)
	switch {
	case x.q.account == "":
		x.unknown("priority", "no account was named, and the route requires one: the priority is the route's")
	case !ok:
		x.unknown("priority", "the configuration has no such account: the priority is the route's")
	case account.Priority != nil:
		x.q.priority = *account.Priority
	}
}

func (x *explanation) explainTrafficSplit() {
	if len(x.q.route.TrafficSplit) > 1 {
		x.unknown("service", "each request gets one of the route's services at random by weight; this is the one with the highest weight")
	}
}

// explainRefusals explains the refusals that come before the choice of a target, in the order in which
// a request meets them.
func (x *explanation) explainRefusals() {
	if x.q.isTooLateForStop() {
		x.refuse(reasonStopping, minRetryAfter)
	}
	if verdict := x.q.judgeShare(); verdict.Refused {
		x.refuse(reasonAccountShare, verdict.RetryAfter)
	}
	records := x.q.relay.options.Blocklist
	if records.Empty() {
		return
	}
	x.unknown("blocked content", "the body isn't asked for, so it isn't known whether it crashes targets")
	switch verdict := records.Judge(quarantine.Suspects{Parts: x.q.sharedParts()}); verdict.State {
	case quarantine.Blocked:
		x.refuse(reasonCrashes, verdict.Remaining)
	case quarantine.OnTrial:
		x.unknown("blocked part", "the prompt's part "+verdict.Digest.String()+" crashed targets, and only one run with it is allowed at a time: a trial isn't asked for")
	}
}

// dropChoiceOfRefused removes the choice, which a request that is refused doesn't come to.
func (x *explanation) dropChoiceOfRefused() {
	if x.answer.Refusal == nil {
		return
	}
	x.answer.Chosen, x.answer.Reason, x.answer.Random = "", "", false
	for i := range x.answer.Candidates {
		x.answer.Candidates[i].Chosen = false
	}
}

// explainTarget explains the choice of the target by this instance.
func (x *explanation) explainTarget() {
	e := x.chooseHere(x.q.targetQuery())
	x.answer.CandidatesOmitted = e.Omitted
	for i := range e.Targets {
		x.answer.Candidates = append(x.answer.Candidates, candidateOf(&e.Targets[i]))
	}
	if e.Err != nil {
		x.refuse(reasonNoTarget, time.Second)
	}
}

// chooseHere explains a choice by this instance, and records it in the answer.
func (x *explanation) chooseHere(query routing.Query) routing.Explanation {
	// A source of its own: the numbers of requests must not depend on queries.
	rng := rand.New(rand.NewPCG(uint64(x.q.arrived.UnixNano()), 0))
	e := x.q.relay.options.Router.Explain(time.Now(), rng, query)
	x.answer.Chosen, x.answer.Reason, x.answer.Random, x.dataCentre = "", "", false, ""
	if e.Err != nil {
		return e
	}
	x.answer.Reason, x.answer.Random = e.Reason.String(), e.Random
	for i := range e.Targets {
		if t := &e.Targets[i]; t.Chosen {
			x.answer.Chosen, x.dataCentre = t.Target.Incarnation, t.Target.DataCentre
		}
	}
	return e
}

func candidateOf(t *routing.Explained) explainapi.Candidate {
	c := explainapi.Candidate{
		Target: t.Target.Incarnation, DataCentre: t.Target.DataCentre, State: string(t.State),
		EjectedMS: milliseconds(t.EjectedFor), Chosen: t.Chosen, CachedTokens: t.CachedTokens,
	}
	if t.Age >= 0 {
		age := milliseconds(t.Age)
		c.AgeMS = &age
	}
	if cost := t.Cost; cost != nil {
		c.Cost = &explainapi.Cost{
			WaitMS: milliseconds(cost.Wait), OwnMS: milliseconds(cost.Own), ReadingMS: milliseconds(cost.Reading),
			MemoryMS: milliseconds(cost.Memory), Slowdown: cost.Slowdown, CrossingMS: milliseconds(cost.Crossing),
			SumMS: cost.Seconds() * 1000,
		}
	}
	if score := t.Score; score != nil {
		c.Score = &explainapi.Score{
			Load: score.Load, Slots: score.Slots, Utilization: score.Utilization, Slowdown: score.Slowdown,
			CacheDiscount: score.CacheDiscount, Sum: score.Score(),
		}
	}
	return c
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
