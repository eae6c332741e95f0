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

// Bounds of attempts.
const (
	// maxRefused bounds the targets that refuse one request in turn.
	maxRefused = 3
	// silentFirst is how long a target that may be replaced has for its first
	// byte: several times what an engine takes for the longest prompts.
	silentFirst = 1200 * time.Millisecond
	// silentGap is how long a stream that may go on elsewhere may pause: a few
	// times the pause at which it is late.
	silentGap = 1200 * time.Millisecond
	// hedgeShare is the share of the objective that a target which may be
	// replaced has for a plain answer, so that a second one can be on time.
	hedgeShare = 0.7
	// bufferedAnswer is the size, in bytes, up to which an answer is read whole
	// before its head is passed on: until then another target may replace one
	// that breaks off.
	bufferedAnswer = 64 << 10
)

var errSilent = errors.New("the target was silent for too long")

// attempt sends the request to one target. It tells whether another attempt is
// to follow; otherwise either the answer has been passed on or the error says
// why there is none.
func (q *request) attempt(ctx context.Context) (again bool, err error) {
	if err := q.admitContent(ctx); err != nil {
		return false, err
	}
	choice, err := q.pick()
	if err != nil {
		return false, err
	}
	if len(q.route.Stages) > 0 && q.handles == nil {
		if err := q.makeStages(ctx, choice.Target.DataCentre); err != nil {
			return false, err
		}
		// Seconds may have passed since the choice.
		if err := q.admitContent(ctx); err != nil {
			return false, err
		}
		if choice, err = q.pick(); err != nil {
			return false, err
		}
	}
	started := time.Now()
	if q.tooLateToSend(started) {
		return false, errNoTimeToSend
	}
	q.target, q.targetName, q.address = choice.Target.Incarnation, choice.Target.Name, choice.Target.Address
	q.known = q.relay.options.Known()
	q.parts.sent = started
	handle := q.relay.options.Router.Started(started, q.target, 1)
	outcome, err := q.exchange(ctx, choice.Target)
	handle.Done(time.Now(), routing.Result{Outcome: outcome, Latency: time.Since(started)})
	q.noteEnd(ctx, err)
	if err == nil {
		if outcome == routing.OutcomeOK {
			q.relay.durations.observe(q.route.Name, time.Since(started))
		}
		return false, nil
	}
	return q.judge(ctx, err)
}

// pick chooses a target for the request itself.
func (q *request) pick() (routing.Choice, error) {
	query := routing.Query{
		Pool: q.service, Model: q.call.Model, Exclude: q.excluded, Rank: q.priority, Preferred: q.engine,
	}
	if q.route.PrefixCaching {
		query.HomeKey = subject(q.call.Prefix)
		query.HomeShares = q.inputShares()
	}
	return q.relay.options.Router.Pick(time.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), query)
}

// largeInput is the size in bytes from which on a stage's result is worth a nearby
// target: crossing data centres with one costs as much as reading hundreds of
// tokens again.
const largeInput = 256 << 10

// inputShares tells where the large inputs of the request are made, as shares of
// data centres; nil if it has none.
func (q *request) inputShares() map[string]float64 {
	for _, i := range q.route.FinalStages() {
		if st := q.route.Stages[i]; st.ResultBytes >= largeInput {
			return q.relay.options.Shares(st.Service)
		}
	}
	return nil
}

// subject is the last part of a prompt that other requests read too. The last
// part of all belongs to the request itself, or to its session, whose requests
// have the subject in common.
func subject(prefix []routing.PrefixPart) string {
	if len(prefix) == 0 {
		return ""
	}
	return prefix[max(len(prefix)-2, 0)].ID
}

// makeStages has the stages run.
func (q *request) makeStages(ctx context.Context, dataCentre string) error {
	ctx, span := q.relay.options.Tracer.Start(ctx, "stages "+q.route.Name)
	defer span.End()
	ctx, release := q.untilSendBy(ctx)
	defer release()
	q.relay.waiting.add(q)
	defer q.relay.waiting.remove(q)
	objective := q.objective
	if q.headerSent {
		objective = time.Now().Add(resumeObjective)
	}
	r := gather.Request{
		ID: q.call.ID, Route: q.route.Name, Key: q.call.PieceKey, Priority: q.priority, KindPriority: q.route.Priority,
		Objective: objective, Deadline: q.stagesDue(time.Now()), Remaining: engineTime, DataCentre: dataCentre,
	}
	for i, s := range q.route.Stages {
		pieces := 0
		if i < len(q.call.PieceCounts) {
			pieces = q.call.PieceCounts[i]
		}
		r.Stages = append(r.Stages, gather.Stage{Service: s.Service, After: s.After, Pieces: pieces, ResultBytes: s.ResultBytes})
	}
	asked := time.Now()
	made, err := q.relay.options.Stages.Make(ctx, r, q.prompt())
	q.handles, q.owner, q.engine = made.Handles, made.Owner, made.Engine
	q.parts.stages += time.Since(asked)
	if err == nil && q.handles == nil {
		q.handles = []string{}
	}
	q.noteStages(err)
	if isIDInUse(err) {
		q.owner = "" // what the holder has under the id is another request's
	}
	if err != nil && errors.Is(context.Cause(ctx), errNoTimeToSend) {
		return errNoTimeToSend
	}
	var refused *stages.RefusedError
	if errors.As(err, &refused) {
		// Another instance has the time that the stop takes from this one.
		refused.RetryAfter -= q.nextEventDue(time.Now()).Sub(r.Deadline)
	}
	return err
}

// stagesDue is when the first event must be there that the stages are for. In a planned
// stop it is early enough for the rest of the answer.
func (q *request) stagesDue(now time.Time) time.Time {
	due := q.nextEventDue(now)
	if window, stopping := q.relay.draining(); stopping {
		due = earlier(due, window.SendDeadline(q.drainRequest()).Add(engineTime))
	}
	return due
}

// Callers give a stream up that brings no event for so long: the longest of a least
// time, times of the objective and times of the longest pause that is on time.
const (
	abandonLeast      = 2 * time.Second
	abandonObjectives = 4
	abandonPauses     = 8
)

// nextEventDue is when the next event must be there, the first one or, of a stream
// that broke off, the one it goes on with: work that ends later is of use to nobody.
func (q *request) nextEventDue(now time.Time) time.Time {
	if !q.streams() {
		return q.deadline
	}
	from := q.arrived
	if q.headerSent {
		from = now
	}
	wait := max(abandonLeast, abandonObjectives*q.route.LatencyObjective, abandonPauses*q.route.MaxEventGap)
	if due := from.Add(wait - answerMargin); due.Before(q.deadline) {
		return due
	}
	return q.deadline
}

// resumeObjective is when a stream that broke off should go on. Its caller has a part
// of the answer and waits: counted as late by the request's own objective, its stages
// would run behind all requests that have not begun, until the caller gives up.
const resumeObjective = 2 * time.Second

// engineTime is what an engine takes to its first event, as measured at the
// usual load.
const engineTime = 250 * time.Millisecond

// failure is an attempt without a whole answer.
type failure struct {
	cause error
	// notRun tells that the target certainly didn't run the request.
	notRun bool
	// unreached tells that there was no connection to the target, so that it has no part
	// in the attempt; nothingListens that there is no process at its address.
	unreached, nothingListens bool
	// broken tells that the other end of the connection ended it after the request was sent.
	broken bool
	// inputsGone tells that the stages' results are gone.
	inputsGone bool
	// reply is set for a target's own failure that another target may better.
	reply *heldReply
}

// heldReply is a target's own failure, kept in case no better answer comes.
type heldReply struct {
	status int
	header http.Header
	body   []byte
}

func (f *failure) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f *failure) Unwrap() error { return f.cause }

// judge decides what follows a failed attempt.
func (q *request) judge(ctx context.Context, err error) (again bool, _ error) {
	var f *failure
	if !errors.As(err, &f) {
		return false, err
	}
	telemetry.InfoS("Attempt failed", telemetry.Event{
		RequestID: q.call.ID, Digest: q.digest().String(), Pipeline: q.route.Name, Target: q.target, Reason: f.cause.Error(),
		Elapsed: time.Since(q.arrived), Count: q.sent + q.refused,
		LastEvent: q.lastEvent, Framing: string(q.framing),
	})
	q.relay.metrics.attempt(f.notRun)
	q.excluded = append(q.excluded, q.target)
	if f.notRun {
		q.refused++
	} else {
		q.sent++
		q.mayHaveRun = true
	}
	if f.nothingListens && q.owner != "" {
		q.relay.options.Stages.EngineGone(q.owner, q.service, q.target)
	}
	if f.inputsGone {
		q.excluded = q.excluded[:len(q.excluded)-1]
		q.dropResults()
	}
	switch {
	case ctx.Err() != nil, q.refused > maxRefused, q.tooLateToSend(time.Now()):
		return false, err
	case q.notResumable:
		return false, err
	case !f.notRun && (!q.route.Repeatable() || q.sent >= q.route.MaxAttempts):
		return false, err
	case !f.unreached && !q.payResend():
		// The budget bounds what targets get beyond their share; an attempt that
		// reached none adds nothing.
		return false, err
	}
	q.paid.Store(false)
	if q.lastEvent != "" || !f.notRun {
		// The results were freed with the first byte, or a while ago.
		q.dropResults()
	}
	return true, nil
}

// payResend takes one more attempt from the budget, once for each attempt. It
// tells whether the budget allows it.
func (q *request) payResend() bool {
	if q.paid.Load() {
		return true
	}
	if !q.relay.options.Budgets.Retry(time.Now(), q.service) {
		return false
	}
	q.paid.Store(true)
	return true
}

// exchange is one attempt at one target.
func (q *request) exchange(ctx context.Context, t routing.Target) (routing.Outcome, error) {
	ctx, span := q.relay.options.Tracer.Start(ctx, "attempt "+t.Pool)
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	q.framing = ""
	silence := time.AfterFunc(q.firstByteBound(), func() {
		// Cut off without a second attempt the request would fail for sure.
		if q.payResend() {
			cancel(errSilent)
		}
	})
	defer silence.Stop()
	options := forward.Options{Process: t.Incarnation, Belongs: q.belongs, KeepIdle: q.keepIdle}
	if !q.route.Repeatable() {
		options.MaxIdle = forward.FreshIdle
	}
	reply, err := q.relay.options.Client.Do(ctx, t.Address, q.outgoing(t), options)
	if err != nil {
		return q.failed(ctx, err)
	}
	defer reply.Close()
	q.framing = reply.Framing()
	said := q.relay.options.Dialect.ParseTargetResponse(reply.Status, reply.Header)
	if said.WrongTarget {
		q.relay.options.Leaving(t.Incarnation)
	}
	switch {
	case said.NotRun:
		_, _ = io.Copy(io.Discard, io.LimitReader(reply, bufferedAnswer)) // only so that the connection can be kept
		return routing.OutcomeNotRun, &failure{cause: errors.Newf("target refused with status %d", reply.Status), notRun: true, inputsGone: said.InputsMissing}
	case !said.Signed:
		return routing.OutcomeFailed, &failure{cause: errors.Newf("reply with status %d has no signature", reply.Status)}
	case reply.Header.Get("Content-Encoding") != "":
		return routing.OutcomeFailed, &failure{cause: errors.New("reply is encoded")}
	}
	return q.passOn(ctx, reply, silence)
}

// unbounded is the bound of a target's silence where no other target may take over:
// the request's own deadline comes first.
const unbounded = 24 * time.Hour

// firstByteBound is how long the target may be silent at first.
func (q *request) firstByteBound() time.Duration {
	if !q.mayBetter() {
		return unbounded
	}
	left := time.Until(q.deadline)
	if q.streams() {
		return min(silentFirst, left/2)
	}
	return min(time.Duration(hedgeShare*float64(q.route.LatencyObjective)), left/2)
}

// mayBetter tells whether another target may be asked if this one doesn't answer
// well.
func (q *request) mayBetter() bool {
	return q.route.Repeatable() && !q.notResumable && q.sent+1 < q.route.MaxAttempts
}

func (q *request) streams() bool { return q.route.MaxEventGap > 0 }

// failed tells what an attempt without a reply means.
func (q *request) failed(ctx context.Context, err error) (routing.Outcome, error) {
	var f *forward.Error
	notRun := errors.As(err, &f) && !f.Sent
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSilent):
		return routing.OutcomeFailed, &failure{cause: errors.CombineErrors(errSilent, err), notRun: notRun}
	case errors.Is(cause, errDeadline):
		return routing.OutcomeDeadlineMissed, &failure{cause: errDeadline, notRun: notRun}
	case cause != nil:
		return routing.OutcomeCancelled, &failure{cause: cause, notRun: notRun}
	}
	unreached := f != nil && f.Step == forward.StepConnect
	return routing.OutcomeFailed, &failure{
		cause: err, notRun: notRun, unreached: unreached, nothingListens: unreached && f.Refused,
		broken: !notRun && forward.EndedByPeer(err),
	}
}

// outgoing is the request as the target gets it.
func (q *request) outgoing(t routing.Target) *http.Request {
	header := q.relay.options.Dialect.TargetRequestHeader(q.r.Header, exchange.TargetRequest{
		Remaining:   time.Until(q.deadline),
		Target:      t.Name,
		Account:     q.account,
		Priority:    q.priority,
		ToEngine:    q.route.PrefixCaching,
		Inputs:      q.handles,
		ResumeAfter: q.lastID(),
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

// lastID is the id of the last event that the caller has, in this answer or in an earlier
// one that it asks to go on with.
func (q *request) lastID() string { return cmp.Or(q.lastEvent, q.call.ResumeAfter) }

// belongs tells whether a reply is this request's.
func (q *request) belongs(status int, h http.Header) bool {
	id := q.relay.options.Dialect.ParseTargetResponse(status, h).ID
	return id == "" || id == q.call.ID
}

func (q *request) keepIdle(h http.Header) time.Duration {
	return q.relay.options.Dialect.ParseTargetResponse(http.StatusOK, h).IdleTimeout
}
