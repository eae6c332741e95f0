package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/stages"
)

// prepare obtains all that the next attempt needs: the results of the stages, a target and a grant.
func (q *request) prepare(ctx context.Context) (routing.Target, error) {
	if err := q.checkBlocklist(ctx); err != nil {
		return routing.Target{}, err
	}
	q.updatePaced()
	choice, err := q.pickTarget()
	if err != nil {
		return routing.Target{}, err
	}
	if len(q.route.Stages) > 0 && q.resultHandles == nil {
		if err := q.runStages(ctx, choice.Target.DataCentre); err != nil {
			return routing.Target{}, err
		}
		// The stages may have taken seconds, so the target is chosen again.
		if err := q.checkBlocklist(ctx); err != nil {
			return routing.Target{}, err
		}
		q.updatePaced()
		// The holder may know of a limit that hasn't been heard of here.
		q.paced = q.paced || q.sendAt.After(time.Now())
		if !q.paced {
			if choice, err = q.pickTarget(); err != nil {
				return routing.Target{}, err
			}
		}
	}
	if q.paced {
		if choice, err = q.awaitGrant(ctx); err != nil {
			return routing.Target{}, err
		}
	}
	if q.pastSendDeadline(time.Now()) {
		return routing.Target{}, errNoTimeToSend
	}
	return choice.Target, nil
}

// pickTarget chooses a target for the request itself, as opposed to its stages.
func (q *request) pickTarget() (routing.Choice, error) { return q.pick(q.targetQuery()) }

func (q *request) pick(query routing.Query) (routing.Choice, error) {
	return q.relay.options.Router.Pick(time.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), query)
}

func (q *request) targetQuery() routing.Query {
	query := routing.Query{
		Work: q.predictWork(),
		Pool: q.service, Model: q.call.Model, Version: q.streamVersion, Exclude: q.unwanted(), Rank: q.priority, Preferred: q.preferredEngine,
	}
	if q.route.PrefixCaching {
		query.HomeKey = lastSharedPart(q.call.Prefix)
		query.HomeShares = q.inputShares()
	}
	return query
}

// unwanted returns the targets that another attempt must not go to: those that failed, and those of
// the attempts in progress.
func (q *request) unwanted() []string {
	if len(q.open) == 0 {
		return q.excluded
	}
	unwanted := slices.Clone(q.excluded)
	for _, a := range q.open {
		unwanted = append(unwanted, a.target.Incarnation)
	}
	return unwanted
}

// minLargeInput is the minimum size, in bytes, of a stage's result for which a target near it
// is preferred: transferring a result of this size between data centres costs as much as
// reading hundreds of tokens again.
const minLargeInput = 256 << 10

// inputShares returns, by data centre, the share of the targets that produce the request's first
// large input. It returns nil if the request has no large input.
func (q *request) inputShares() map[string]float64 {
	for _, i := range q.route.FinalStages() {
		if st := q.route.Stages[i]; st.ResultBytes >= minLargeInput {
			return q.relay.options.TargetShares(st.Service)
		}
	}
	return nil
}

// lastSharedPart returns the ID of the last part of a prompt that other requests read too. The
// very last part belongs to the request itself or to its session. The requests of a session
// have the parts before it in common.
func lastSharedPart(prefix []routing.PrefixPart) string {
	if len(prefix) == 0 {
		return ""
	}
	return prefix[max(len(prefix)-2, 0)].ID
}

// runStages runs the request's stages and waits for their results.
func (q *request) runStages(ctx context.Context, dataCentre string) error {
	ctx, span := q.relay.options.Tracer.Start(ctx, "stages "+q.route.Name)
	defer span.End()
	ctx, release := q.withSendDeadline(ctx)
	defer release()
	q.relay.stageWaiters.add(q)
	defer q.relay.stageWaiters.remove(q)
	r := q.stagesRequest(dataCentre)
	started := time.Now()
	produced, err := q.relay.options.Stages.Execute(ctx, r, q.prompt())
	q.resultHandles, q.owner = produced.Handles, produced.Holder
	q.preferredEngine, q.sendAt = produced.Engine, produced.SendAt
	q.timings.stagesWait += time.Since(started)
	if err == nil && q.resultHandles == nil {
		q.resultHandles = []string{}
	}
	q.recordStageCrashes(err)
	if isIDInUse(err) {
		q.owner = "" // what the holder has under the id is another request's
	}
	if err != nil && errors.Is(context.Cause(ctx), errNoTimeToSend) {
		return errNoTimeToSend
	}
	var refused *stages.RefusedError
	if errors.As(err, &refused) {
		refused.RetryAfter = q.retryAfter(time.Now(), r, refused)
	}
	return err
}

// stagesRequest returns what the holder of the stage queue gets to know of the request. dataCentre is where
// the results are read.
func (q *request) stagesRequest(dataCentre string) gather.Request {
	objective := q.objective
	if q.headerSent {
		objective = time.Now().Add(resumeObjective)
	}
	r := gather.Request{
		ID: q.call.ID, Route: q.route.Name, Key: q.call.PieceKey, Priority: q.priority, KindPriority: q.route.Priority,
		Objective: objective, Deadline: q.stagesDeadline(time.Now()), Remaining: engineFirstEventTime, DataCentre: dataCentre,
		Account: q.account, Fingerprint: q.fingerprint(), MaxRetryDelay: q.maxRetryDelay(time.Now()),
	}
	for i, s := range q.route.Stages {
		pieces := 0
		if i < len(q.call.PieceCounts) {
			pieces = q.call.PieceCounts[i]
		}
		r.Stages = append(r.Stages, gather.Stage{Service: s.Service, After: s.After, Pieces: pieces, ResultBytes: s.ResultBytes})
	}
	return r
}

// fingerprint returns what a caller's retry is known by; empty if nobody asks for it.
func (q *request) fingerprint() string {
	if !q.relay.options.RetryReservations || q.hypothetical {
		return ""
	}
	return q.digest().String()
}

// maxRetryDelay returns the longest retry delay that the caller honours if it is refused now.
func (q *request) maxRetryDelay(now time.Time) time.Duration {
	if q.call.Timeout <= 0 {
		return 0
	}
	remaining := q.call.Timeout - now.Sub(q.arrived)
	return max(time.Duration(float64(q.call.MaxRetryDelay)*float64(remaining)/float64(q.call.Timeout)), time.Millisecond)
}

// stagesDeadline returns the deadline for the first event that needs the stages' results.
// During a planned stop it is early enough to leave time for the rest of the response.
func (q *request) stagesDeadline(now time.Time) time.Time {
	due := q.eventDeadline(now)
	if window, stopping := q.relay.stopWindow(); stopping {
		due = earlier(due, window.SendDeadline(q.drainRequest()).Add(engineFirstEventTime))
	}
	return due
}

// Callers abandon a stream without an event after the longest of a minimum time, a multiple of
// the objective and a multiple of the longest pause that meets its objective.
const (
	abandonMin        = 2 * time.Second
	abandonObjectives = 4
	abandonPauses     = 8
)

// eventDeadline returns when the next event is due: the first one or, if a stream was broken
// off, the event with which it resumes. Work that ends later is of no use.
func (q *request) eventDeadline(now time.Time) time.Time {
	if !q.isStream() {
		return q.deadline
	}
	from := q.arrived
	if q.headerSent {
		from = now
	}
	wait := max(abandonMin, abandonObjectives*q.route.LatencyObjective, abandonPauses*q.route.MaxEventGap)
	if due := from.Add(wait - answerMargin); due.Before(q.deadline) {
		return due
	}
	return q.deadline
}

// resumeObjective is the time in which a stream that was broken off should resume. Its caller has
// a part of the response and waits. By the original objective the request would already be late:
// its stages would run after those of all requests whose responses have not begun, until the
// caller gives up.
const resumeObjective = 2 * time.Second

// engineFirstEventTime is how long an engine is expected to take to its first event.
const engineFirstEventTime = 250 * time.Millisecond
