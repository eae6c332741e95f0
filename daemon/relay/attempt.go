package relay

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/stages"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/forward"
)

const (
	// maxRefusals limits the targets that refuse one request in turn.
	maxRefusals = 3
	// maxFirstByteDelay is the time to the first byte after which a target is replaced, if
	// that is allowed: several times what an engine takes for the longest prompts.
	maxFirstByteDelay = 1200 * time.Millisecond
	// maxEventGap is the pause after which a stream that may be resumed is resumed at another
	// target. It is a few times as long as a pause that misses the objective.
	maxEventGap = 1200 * time.Millisecond
	// hedgeShare is the share of the objective after which a plain request may be sent to
	// another target, so that the second response can still meet the objective.
	hedgeShare = 0.7
	// maxBufferedReply is the size, in bytes, up to which a reply is read completely before
	// its head is forwarded. Until then another target may replace one that breaks off.
	maxBufferedReply = 64 << 10
)

var errTargetSilent = errors.New("the target was silent for too long")

// attempt sends the request to one target. It reports whether another attempt is to follow.
// If not, either the response has been forwarded or the error says why there is no response.
func (q *request) attempt(ctx context.Context) (retry bool, err error) {
	if err := q.checkBlocklist(ctx); err != nil {
		return false, err
	}
	q.updatePaced()
	q.grantedBy = ""
	choice, err := q.pickTarget()
	if err != nil {
		return false, err
	}
	if len(q.route.Stages) > 0 && q.resultHandles == nil {
		if err := q.runStages(ctx, choice.Target.DataCentre); err != nil {
			return false, err
		}
		// The stages may have taken seconds, so the target is chosen again.
		if err := q.checkBlocklist(ctx); err != nil {
			return false, err
		}
		q.updatePaced()
		// The holder may know of a limit that hasn't been heard of here.
		q.paced = q.paced || q.sendAt.After(time.Now())
		if !q.paced {
			if choice, err = q.pickTarget(); err != nil {
				return false, err
			}
		}
	}
	if q.paced {
		if choice, err = q.awaitGrant(ctx); err != nil {
			return false, err
		}
		q.grantedBy = cmp.Or(q.grant.holder, q.owner)
	}
	started := time.Now()
	if q.pastSendDeadline(started) {
		return false, errNoTimeToSend
	}
	q.target, q.targetName, q.address = choice.Target.Incarnation, choice.Target.Name, choice.Target.Address
	q.targetVersion = choice.Target.Version
	q.knowledgeAge = q.relay.options.KnowledgeAge()
	q.timings.attemptStart = started
	attempt := q.relay.options.Router.Started(started, q.target, 1)
	outcome, err := q.sendAttempt(ctx, choice.Target)
	attempt.Done(time.Now(), routing.Result{Outcome: outcome, Latency: time.Since(started)})
	q.recordAttemptEnd(ctx, err)
	if err == nil {
		if outcome == routing.OutcomeOK {
			q.relay.durations.observe(q.route.Name, time.Since(started))
		}
		return false, nil
	}
	return q.decideRetry(ctx, err)
}

// pickTarget chooses a target for the request itself, as opposed to its stages.
func (q *request) pickTarget() (routing.Choice, error) { return q.pick(q.targetQuery()) }

func (q *request) pick(query routing.Query) (routing.Choice, error) {
	return q.relay.options.Router.Pick(time.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), query)
}

func (q *request) targetQuery() routing.Query {
	query := routing.Query{
		Pool: q.service, Model: q.call.Model, Version: q.streamVersion, Exclude: q.excluded, Rank: q.priority, Preferred: q.preferredEngine,
	}
	if q.route.PrefixCaching {
		query.HomeKey = lastSharedPart(q.call.Prefix)
		query.HomeShares = q.inputShares()
	}
	return query
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
	objective := q.objective
	if q.headerSent {
		objective = time.Now().Add(resumeObjective)
	}
	r := gather.Request{
		ID: q.call.ID, Route: q.route.Name, Key: q.call.PieceKey, Priority: q.priority, KindPriority: q.route.Priority,
		Objective: objective, Deadline: q.stagesDeadline(time.Now()), Remaining: engineFirstEventTime, DataCentre: dataCentre,
	}
	for i, s := range q.route.Stages {
		pieces := 0
		if i < len(q.call.PieceCounts) {
			pieces = q.call.PieceCounts[i]
		}
		r.Stages = append(r.Stages, gather.Stage{Service: s.Service, After: s.After, Pieces: pieces, ResultBytes: s.ResultBytes})
	}
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
		// A retry goes to another instance. If this one is stopping, the other one's deadline is
		// later, so the retry delay is shorter by the difference.
		refused.RetryAfter -= q.eventDeadline(time.Now()).Sub(r.Deadline)
	}
	return err
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

// engineFirstEventTime is how long an engine takes to its first event, as measured at the
// usual load.
const engineFirstEventTime = 250 * time.Millisecond

// failure is an attempt without a complete response.
type failure struct {
	cause error
	// notRun is true if the target certainly didn't run the request.
	notRun bool
	// notConnected is true if there was no connection to the target, so that the target had
	// no part in the attempt. nothingListens is true if no process listens at its address.
	notConnected, nothingListens bool
	// connectionBroken is true if the peer ended the connection after the request was sent.
	connectionBroken bool
	// inputsGone is true if the stages' results no longer exist.
	inputsGone bool
	// reply is an error response of the target, which is sent if no other target does better.
	reply *bufferedReply
}

// bufferedReply is a complete reply of a target.
type bufferedReply struct {
	status int
	header http.Header
	body   []byte
}

func (f *failure) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f *failure) Unwrap() error { return f.cause }

// decideRetry handles a failed attempt. It reports whether another attempt is to follow.
func (q *request) decideRetry(ctx context.Context, err error) (retry bool, _ error) {
	var f *failure
	if !errors.As(err, &f) {
		return false, err
	}
	telemetry.InfoS("Attempt failed", telemetry.Event{
		RequestID: q.call.ID, Digest: q.digest().String(), Pipeline: q.route.Name, Target: q.target, Version: q.targetVersion, Reason: f.cause.Error(),
		Elapsed: time.Since(q.arrived), Count: q.possibleRuns + q.refusals,
		LastEvent: q.lastEventID, Framing: string(q.framing),
	})
	q.relay.metrics.recordFailedAttempt(f.notRun)
	q.excluded = append(q.excluded, q.target)
	if f.notRun {
		q.refusals++
	} else {
		q.possibleRuns++
		q.mayHaveRun = true
	}
	if holder := cmp.Or(q.owner, q.grant.holder); f.nothingListens && holder != "" {
		q.relay.options.Stages.ReportUnreachable(holder, q.service, q.target)
	}
	if f.inputsGone || errors.Is(f.cause, forward.ErrWithdrawn) {
		q.excluded = q.excluded[:len(q.excluded)-1] // the target had no part in the failure
	}
	if f.inputsGone {
		q.freeResults()
	}
	switch {
	case ctx.Err() != nil, q.refusals > maxRefusals, q.pastSendDeadline(time.Now()):
		return false, err
	case q.notResumable:
		return false, err
	case !f.notRun && (!q.route.Repeatable() || q.possibleRuns >= q.route.MaxAttempts):
		return false, err
	case !f.notConnected && !q.payForRetry():
		// The budget limits the additional load on the targets. An attempt that reached no target
		// caused no load, so its retry is free.
		return false, err
	}
	q.retryPaid.Store(false)
	if q.lastEventID != "" || !f.notRun {
		// The results have been freed, at the first byte or some time ago.
		q.freeResults()
	}
	return true, nil
}

// payForRetry takes a retry from the budget, once for each attempt. It reports whether the
// budget allows it.
func (q *request) payForRetry() bool {
	if q.retryPaid.Load() {
		return true
	}
	if !q.relay.options.Budgets.TakeRetry(time.Now(), q.service) {
		return false
	}
	q.retryPaid.Store(true)
	return true
}

// sendAttempt sends the request to a target and forwards its reply.
func (q *request) sendAttempt(ctx context.Context, t routing.Target) (routing.Outcome, error) {
	ctx, span := q.relay.options.Tracer.Start(ctx, "attempt "+t.Pool)
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	q.framing = ""
	q.updateContinuation()
	deadline := q.deadline
	silence := newSilenceTimer(q.firstByteTimeout(), func() bool {
		// Without a retry, or without time for it, the cancelled request would certainly fail.
		if time.Until(deadline) < minTimeElsewhere || !q.canContinueElsewhere() || !q.payForRetry() {
			return false
		}
		cancel(errTargetSilent)
		return true
	})
	defer silence.Stop()
	options := forward.Options{
		Service: q.service, MayProbe: q.mayRetry(),
		Incarnation: t.Incarnation, Matches: q.isOwnReply, KeepIdle: q.keepIdle,
		Allowed: func() bool {
			return q.relay.usable(t.Incarnation) && q.grantValid(time.Now()) && (q.paced || !q.relay.isPaced(q.service))
		},
	}
	if !q.route.Repeatable() {
		options.MaxIdle = forward.NonRepeatableMaxIdle
	}
	reply, err := q.relay.options.Client.Do(ctx, t.Address, q.targetRequest(t), options)
	if err != nil {
		return q.classifyError(ctx, err)
	}
	defer reply.Close()
	q.framing = reply.Framing()
	parsed := q.relay.options.Dialect.ParseTargetResponse(reply.Status, reply.Header)
	if q.relay.options.OnResponse != nil {
		q.relay.options.OnResponse(t.Incarnation, parsed)
	}
	if parsed.WrongTarget {
		q.relay.options.OnLeaving(t.Incarnation)
	}
	switch {
	case parsed.NotRun:
		_, _ = io.Copy(io.Discard, io.LimitReader(reply, maxBufferedReply)) // allows the connection to be reused
		return routing.OutcomeNotRun, &failure{cause: errors.Newf("target refused with status %d", reply.Status), notRun: true, inputsGone: parsed.InputsMissing}
	case !parsed.Signed:
		return routing.OutcomeFailed, &failure{cause: errors.Newf("reply with status %d has no signature", reply.Status)}
	case reply.Header.Get("Content-Encoding") != "":
		return routing.OutcomeFailed, &failure{cause: errors.New("reply is encoded")}
	}
	return q.forwardReply(ctx, reply, silence)
}

// usable reports whether a target may receive new work.
func (s *Relay) usable(incarnation string) bool {
	return s.options.Usable == nil || s.options.Usable(incarnation)
}

// noTimeout limits the silence of a target that no other one can replace: the request's own
// deadline always comes first.
const noTimeout = 24 * time.Hour

// firstByteTimeout returns how long the target may take to its first byte.
func (q *request) firstByteTimeout() time.Duration {
	if !q.mayRetry() {
		return noTimeout
	}
	remaining := time.Until(q.deadline)
	if q.isStream() {
		return min(maxFirstByteDelay, remaining/2)
	}
	return min(time.Duration(hedgeShare*float64(q.route.LatencyObjective)), remaining/2)
}

// mayRetry reports whether another target may be tried if the present one fails.
func (q *request) mayRetry() bool {
	return q.route.Repeatable() && !q.notResumable && q.possibleRuns+1 < q.route.MaxAttempts
}

func (q *request) isStream() bool { return q.route.MaxEventGap > 0 }

// classifyError returns the outcome of an attempt that ended with an error.
func (q *request) classifyError(ctx context.Context, err error) (routing.Outcome, error) {
	var f *forward.Error
	notRun := errors.As(err, &f) && !f.Sent
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errTargetSilent):
		return routing.OutcomeFailed, &failure{cause: errors.CombineErrors(errTargetSilent, err), notRun: notRun}
	case errors.Is(cause, errDeadline):
		return routing.OutcomeDeadlineMissed, &failure{cause: errDeadline, notRun: notRun}
	case cause != nil:
		return routing.OutcomeCancelled, &failure{cause: cause, notRun: notRun}
	}
	unreached := f != nil && f.Step == forward.StepConnect
	if errors.Is(err, forward.ErrWithdrawn) {
		return routing.OutcomeCancelled, &failure{cause: err, notRun: notRun, notConnected: unreached}
	}
	return routing.OutcomeFailed, &failure{
		cause: err, notRun: notRun, notConnected: unreached, nothingListens: unreached && f.Refused,
		connectionBroken: !notRun && forward.ClosedByPeer(err),
	}
}

// targetRequest returns the request to send to the target.
func (q *request) targetRequest(t routing.Target) *http.Request {
	header := q.relay.options.Dialect.TargetRequestHeader(q.r.Header, exchange.TargetRequest{
		Remaining:   time.Until(q.deadline),
		Target:      t.Name,
		Account:     q.account,
		Priority:    q.priority,
		ToEngine:    q.route.PrefixCaching,
		Inputs:      q.resultHandles,
		ResumeAfter: q.resumeID(),
	})
	out := &http.Request{
		Method: q.r.Method, URL: q.r.URL, Host: q.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(q.body)),
	}
	if len(q.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(q.body))
	}
	return out
}

// resumeID returns the ID of the last event that the caller has, from this response or from an
// earlier one that it asks to resume.
func (q *request) resumeID() string { return cmp.Or(q.lastEventID, q.call.ResumeAfter) }

// isOwnReply reports whether a reply belongs to this request.
func (q *request) isOwnReply(status int, h http.Header) bool {
	id := q.relay.options.Dialect.ParseTargetResponse(status, h).ID
	return id == "" || id == q.call.ID
}

func (q *request) keepIdle(h http.Header) time.Duration {
	return q.relay.options.Dialect.ParseTargetResponse(http.StatusOK, h).IdleTimeout
}
