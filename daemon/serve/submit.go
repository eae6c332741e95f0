package serve

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
	"github.com/ivyhollow/ivyhollow/daemon/claims"
	"github.com/ivyhollow/ivyhollow/daemon/execute"
	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/state/requests"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// recordTimeout bounds the wait for the store to keep an outcome before the
// answer is sent.
const recordTimeout = 500 * time.Millisecond

// submit serves POST /v1/pipelines/{pipeline}/requests.
func (s *Server) handleSubmit(w http.ResponseWriter, r *http.Request) {
	began := s.opts.Now()
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.opts.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	ctx, release := s.withStop(ctx)
	defer release()
	problem := s.serveRequest(&timeoutWriter{ResponseWriter: w, timeout: s.opts.CallerWriteTimeout}, r.WithContext(ctx), began)
	s.metrics.record(problem, s.opts.Now().Sub(began))
	if problem != nil {
		span.SetAttributes(telemetry.AttrOutcome.String(string(problem.Outcome)))
	}
}

// serve writes the one answer and returns the problem in it, if any.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, began time.Time) *callerapi.Problem {
	if !s.inFlight.acquire() {
		return writeRefusal(w, withRetryAfter(refusal(http.StatusServiceUnavailable, typeOverload, "the instance serves its greatest number of requests"), 0))
	}
	defer s.inFlight.release()
	c, problem := s.readRequest(w, r)
	if problem != nil {
		return writeRefusal(w, problem)
	}
	if c.stream {
		if !s.streams.acquire() {
			return writeRefusal(w, withRetryAfter(refusal(http.StatusServiceUnavailable, typeOverload, "too many open streams"), 0))
		}
		defer s.streams.release()
	}
	if problem := s.spendBudget(r.Context(), c); problem != nil {
		return writeRefusal(w, problem)
	}
	return s.respondAdmitted(w, r, c, began)
}

// refuse writes a refusal of a request that got no id.
func writeRefusal(w http.ResponseWriter, p *callerapi.Problem) *callerapi.Problem {
	writeProblem(w, p)
	return p
}

// answerCall gives an admitted request its id and its answer.
func (s *Server) respondAdmitted(w http.ResponseWriter, r *http.Request, c *callerRequest, began time.Time) *callerapi.Problem {
	id := s.opts.IDs.Next()
	trace.SpanFromContext(r.Context()).SetAttributes(telemetry.AttrRequestID.String(id))
	a := &responder{server: s, request: c, id: id, w: w}
	total := c.snapshot.DeadlineFor(c.pipeline, c.tier)
	deadline := began.Add(total)
	a.ref = s.opts.Status.Begin(requests.Info{
		ID:            id,
		Pipeline:      c.pipeline.Key.Name,
		SchemaVersion: c.pipeline.Key.SchemaVersion,
		Account:       c.account.Name,
		Tier:          c.tier.Name,
		Stages:        stageNames(c.pipeline),
		Deadline:      total,
		StartedAt:     began,
	})
	if c.idempotencyKey == "" {
		return s.execute(r.Context(), a, deadline, nil)
	}
	return s.executeClaimed(r.Context(), a, deadline)
}

func stageNames(p *catalog.Pipeline) []string {
	names := make([]string, len(p.Stages))
	for i := range p.Stages {
		names[i] = p.Stages[i].Name
	}
	return names
}

func (s *Server) spendBudget(ctx context.Context, c *callerRequest) *callerapi.Problem {
	ok, after := s.opts.Budgets.Take(ctx, c.account)
	if ok {
		return nil
	}
	p := refusal(http.StatusTooManyRequests, typeBudget, "the client account's budget is spent")
	return withRetryAfter(p, after)
}

// executeOnce runs the job and writes its answer. Ticket is nil for a request
// without a claim.
func (s *Server) execute(ctx context.Context, a *responder, deadline time.Time, ticket *claims.Ticket) *callerapi.Problem {
	job := a.job(deadline)
	if ticket != nil {
		job.BeforeDispatch = ticket.MarkDispatched
		a.detach(deadline)
	}
	over := false
	defer func() {
		if !over {
			s.finishPanicked(ctx, a, ticket)
		}
	}()
	result, err := s.opts.Executor.Run(ctx, job)
	if err == nil {
		body := a.responseBody(result)
		s.recordOutcome(ctx, ticket, claim.OutcomeRan, http.StatusOK, callerapi.MediaJSON, body)
		over = true
		return a.respond(body)
	}
	p := asProblem(err)
	p.RequestID = a.id
	telemetry.DebugS(failureLogLevel, "request failed", telemetry.Event{RequestID: a.id, Stage: p.Step, Peer: p.Peer})
	s.abandonOrRecordFailure(ctx, ticket, p, mayRunAgain(err))
	over = true
	return a.respondProblem(p)
}

// endPanicked ends a request whose goroutine panics. net/http recovers from the
// panic and closes the connection, but the claim would stay open: each retry
// with the key, on any instance, would wait for an answer that never comes.
func (s *Server) finishPanicked(ctx context.Context, a *responder, ticket *claims.Ticket) {
	p := asProblem(errPanicked)
	p.RequestID = a.id
	s.abandonOrRecordFailure(ctx, ticket, p, false)
	a.finishStatus(requests.StateFailed, requests.OutcomeUnknown)
	body, _ := json.Marshal(p) // strings and numbers only: it can't fail
	s.joins.complete(a.id, p.Status, callerapi.MediaProblem, body)
}

var errPanicked = errors.New("the request's goroutine panicked")

// failureLogLevel is the verbosity at which each failed request is logged; the
// metrics count them at any verbosity.
const failureLogLevel = 2

func asProblem(err error) *callerapi.Problem {
	var failure *execute.Failure
	if errors.As(err, &failure) {
		return failureProblem(failure)
	}
	p := refusal(http.StatusInternalServerError, typeOutcomeUnknown, "internal fault")
	p.Outcome = callerapi.OutcomeUnknown
	return p
}

// executeClaimed claims the request first. What a claim forbids to run gets the
// answer of the first run, or the reason why there is none.
func (s *Server) executeClaimed(ctx context.Context, a *responder, deadline time.Time) *callerapi.Problem {
	// A caller that goes away must not stop work that may not be repeated
	// half way: its retry with the same key gets the answer.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	ctx, release := s.withStop(ctx)
	defer release()
	ctx = platform.WithWaitShare(ctx, a.request.storeWaitShare())
	key := claims.Key{Account: a.request.account.Name, IdempotencyKey: a.request.idempotencyKey}
	begun, err := s.opts.Claims.Begin(ctx, key, a.request.digest)
	if err != nil {
		return a.respondProblem(asProblem(err))
	}
	switch begun.Verdict {
	case claims.Run:
		return s.execute(ctx, a, deadline, begun.Ticket)
	case claims.Replay:
		s.metrics.replayed.Inc(1)
		return a.replay(begun.Result)
	case claims.Conflict:
		detail := "this idempotency key was used with another body or pipeline"
		p := refusal(http.StatusUnprocessableEntity, typeKeyReused, detail)
		p.Field = callerapi.HeaderIdempotencyKey
		return a.respondProblem(p)
	case claims.NotRun:
		return s.respondRefusedClaim(ctx, a, deadline, begun)
	default:
		return s.respondUnknownClaim(ctx, a, deadline, begun)
	}
}

// waitShare is the part of the line for the store that claims of the call's tier
// may book: all of it for the highest, half for the next, then a third.
func (c *callerRequest) storeWaitShare() float64 {
	ranks := make([]int, 0, len(c.snapshot.Tiers))
	for _, t := range c.snapshot.Tiers {
		ranks = append(ranks, t.Rank)
	}
	return 1 / float64(1+tiers.RankIndex(ranks, c.tier.Rank))
}

// claimUnknown answers a request of whose first run nothing is known. What may
// be repeated is run again: refused, its key would be of no use for as long as
// claims are kept because one instance died.
func (s *Server) respondUnknownClaim(ctx context.Context, a *responder, deadline time.Time, begun claims.BeginResult) *callerapi.Problem {
	if a.request.pipeline.Repeatable() && ctx.Err() == nil {
		return s.execute(ctx, a, deadline, nil)
	}
	p := refusal(http.StatusConflict, typeOutcomeUnknown, begun.Reason)
	p.Outcome = callerapi.OutcomeUnknown
	return a.respondProblem(p)
}

// claimRefused answers a request whose claim could not be made. A request that
// may be repeated is served all the same: its key only spared work.
func (s *Server) respondRefusedClaim(ctx context.Context, a *responder, deadline time.Time, begun claims.BeginResult) *callerapi.Problem {
	if a.request.pipeline.Repeatable() {
		return s.execute(ctx, a, deadline, nil)
	}
	detail := begun.Reason
	if begun.EarlierMayHaveRun {
		detail += "; this call ran nothing, an earlier one with the key may have: come back with the same key"
	}
	p := refusal(http.StatusServiceUnavailable, typeStore, detail)
	return a.respondProblem(withRetryAfter(p, begun.RetryAfter))
}

// keep records the outcome in the claim before the answer is sent: a retry
// finds it even when this instance dies between the two.
func (s *Server) recordOutcome(ctx context.Context, ticket *claims.Ticket, o claim.Outcome, status int, media string, body []byte) {
	if ticket == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	kept := claims.StoredResult{Outcome: o, Status: status, ContentType: media, Body: body}
	if err := ticket.Finish(ctx, kept); err != nil && !errors.Is(err, claims.ErrQueued) {
		telemetry.ErrorS(err, "outcome not kept", telemetry.Event{Reason: "finish claim", RequestID: ticket.Token().String()})
	}
}

// mayRunAgain tells whether a failed job left what may not be repeated undone.
func mayRunAgain(err error) bool {
	var failure *execute.Failure
	return errors.As(err, &failure) && failure.MayRunAgain
}

// keepFailure gives the claim up when nothing that may not be repeated can have
// run, so that a retry may run, and else keeps the failure. Kept for a pipeline
// whose earlier, repeatable stages ran, the failure would answer each retry of
// an order that no target has begun.
func (s *Server) abandonOrRecordFailure(ctx context.Context, ticket *claims.Ticket, p *callerapi.Problem, again bool) {
	if ticket == nil {
		return
	}
	if ticket.Abandon(ctx) == nil {
		return
	}
	body, err := json.Marshal(p)
	if err != nil {
		return
	}
	kept := claim.Outcome(p.Outcome)
	if again {
		kept = claim.OutcomeNotRun
	}
	s.recordOutcome(ctx, ticket, kept, p.Status, callerapi.MediaProblem, body)
}
