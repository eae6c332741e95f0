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

// recordTimeout bounds the wait for the store to record an outcome before the
// response is sent.
const recordTimeout = 500 * time.Millisecond

// handleSubmit serves POST /v1/pipelines/{pipeline}/requests.
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

// serveRequest writes the single response and returns the problem in it, if any.
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

// writeRefusal refuses a request that has no id yet. It returns the problem.
func writeRefusal(w http.ResponseWriter, p *callerapi.Problem) *callerapi.Problem {
	writeProblem(w, p)
	return p
}

// respondAdmitted gives an admitted request an id, executes it and writes the
// response.
func (s *Server) respondAdmitted(w http.ResponseWriter, r *http.Request, c *callerRequest, began time.Time) *callerapi.Problem {
	id := s.opts.IDs.Next()
	trace.SpanFromContext(r.Context()).SetAttributes(telemetry.AttrRequestID.String(id))
	resp := &responder{server: s, request: c, id: id, w: w}
	total := c.snapshot.DeadlineFor(c.pipeline, c.tier)
	deadline := began.Add(total)
	resp.ref = s.opts.Status.Begin(requests.Info{
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
		return s.execute(r.Context(), resp, deadline, nil)
	}
	return s.executeClaimed(r.Context(), resp, deadline)
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

// execute runs the job and writes the response. ticket is nil for a request without a
// claim.
func (s *Server) execute(ctx context.Context, resp *responder, deadline time.Time, ticket *claims.Ticket) *callerapi.Problem {
	job := resp.job(deadline)
	if ticket != nil {
		job.BeforeDispatch = ticket.MarkDispatched
		resp.detach(deadline)
	}
	returned := false
	defer func() {
		if !returned {
			s.finishPanicked(ctx, resp, ticket)
		}
	}()
	result, err := s.opts.Executor.Run(ctx, job)
	if err == nil {
		body := resp.responseBody(result)
		s.recordOutcome(ctx, ticket, claim.OutcomeRan, http.StatusOK, callerapi.MediaJSON, body)
		returned = true
		return resp.respond(body)
	}
	p := asProblem(err)
	p.RequestID = resp.id
	telemetry.DebugS(failureLogLevel, "request failed", telemetry.Event{RequestID: resp.id, Stage: p.Step, Peer: p.Peer})
	s.abandonOrRecordFailure(ctx, ticket, p, mayRunAgain(err))
	returned = true
	return resp.respondProblem(p)
}

// finishPanicked finishes a request whose goroutine panics. net/http recovers from the
// panic and closes the connection, but the claim would stay open: each retry with the
// key, on any instance, would wait for a response that never comes.
func (s *Server) finishPanicked(ctx context.Context, resp *responder, ticket *claims.Ticket) {
	p := asProblem(errPanicked)
	p.RequestID = resp.id
	s.abandonOrRecordFailure(ctx, ticket, p, false)
	resp.finishStatus(requests.StateFailed, requests.OutcomeUnknown)
	body, _ := json.Marshal(p) // can't fail: strings and numbers only
	s.joins.complete(resp.id, p.Status, callerapi.MediaProblem, body)
}

var errPanicked = errors.New("the request's goroutine panicked")

// failureLogLevel is the verbosity from which each failed request is logged. The
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

// executeClaimed claims the request before it executes it. If the claim forbids a run,
// it writes the response of the first run, or the reason why there is none.
func (s *Server) executeClaimed(ctx context.Context, resp *responder, deadline time.Time) *callerapi.Problem {
	// A caller that disconnects must not stop non-repeatable work halfway: its retry
	// with the same key gets the response.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	ctx, release := s.withStop(ctx)
	defer release()
	ctx = platform.WithWaitShare(ctx, resp.request.storeWaitShare())
	key := claims.Key{Account: resp.request.account.Name, IdempotencyKey: resp.request.idempotencyKey}
	begun, err := s.opts.Claims.Begin(ctx, key, resp.request.digest)
	if err != nil {
		return resp.respondProblem(asProblem(err))
	}
	switch begun.Verdict {
	case claims.Run:
		return s.execute(ctx, resp, deadline, begun.Ticket)
	case claims.Replay:
		s.metrics.replayed.Inc(1)
		return resp.replay(begun.Result)
	case claims.Conflict:
		detail := "this idempotency key was used with another body or pipeline"
		p := refusal(http.StatusUnprocessableEntity, typeKeyReused, detail)
		p.Field = callerapi.HeaderIdempotencyKey
		return resp.respondProblem(p)
	case claims.NotRun:
		return s.respondRefusedClaim(ctx, resp, deadline, begun)
	default:
		return s.respondUnknownClaim(ctx, resp, deadline, begun)
	}
}

// storeWaitShare returns the fraction of the longest wait for the store's call budget
// that claims of the request's tier may use: all of it for the highest tier, half for
// the next one, then a third.
func (c *callerRequest) storeWaitShare() float64 {
	ranks := make([]int, 0, len(c.snapshot.Tiers))
	for _, t := range c.snapshot.Tiers {
		ranks = append(ranks, t.Rank)
	}
	return 1 / float64(1+tiers.RankIndex(ranks, c.tier.Rank))
}

// respondUnknownClaim responds to a request whose first run has an unknown outcome. A
// repeatable request is run again: if it were refused, the failure of one instance
// would make its key unusable until the claim's retention ends.
func (s *Server) respondUnknownClaim(ctx context.Context, resp *responder, deadline time.Time, begun claims.BeginResult) *callerapi.Problem {
	if resp.request.pipeline.Repeatable() && ctx.Err() == nil {
		return s.execute(ctx, resp, deadline, nil)
	}
	p := refusal(http.StatusConflict, typeOutcomeUnknown, begun.Reason)
	p.Outcome = callerapi.OutcomeUnknown
	return resp.respondProblem(p)
}

// respondRefusedClaim responds to a request that could not be claimed. A repeatable
// request is executed without a claim: its key only saves work.
func (s *Server) respondRefusedClaim(ctx context.Context, resp *responder, deadline time.Time, begun claims.BeginResult) *callerapi.Problem {
	if resp.request.pipeline.Repeatable() {
		return s.execute(ctx, resp, deadline, nil)
	}
	detail := begun.Reason
	if begun.EarlierMayHaveRun {
		detail += "; this call ran nothing, an earlier one with the key may have: come back with the same key"
	}
	p := refusal(http.StatusServiceUnavailable, typeStore, detail)
	return resp.respondProblem(withRetryAfter(p, begun.RetryAfter))
}

// recordOutcome records the outcome in the claim before the response is sent, so that a
// retry finds it even if this instance fails between the two.
func (s *Server) recordOutcome(ctx context.Context, ticket *claims.Ticket, o claim.Outcome, status int, media string, body []byte) {
	if ticket == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	result := claims.StoredResult{Outcome: o, Status: status, ContentType: media, Body: body}
	if err := ticket.Finish(ctx, result); err != nil && !errors.Is(err, claims.ErrQueued) {
		telemetry.ErrorS(err, "outcome not kept", telemetry.Event{Reason: "finish claim", RequestID: ticket.Token().String()})
	}
}

// mayRunAgain reports whether a failed job has run no non-repeatable stage.
func mayRunAgain(err error) bool {
	var failure *execute.Failure
	return errors.As(err, &failure) && failure.MayRunAgain
}

// abandonOrRecordFailure abandons the claim if no non-repeatable stage has been
// dispatched, so that a retry may run, and otherwise records the failure. If
// mayRunAgain is set, the recorded outcome is not_run. With the outcome of a pipeline
// whose earlier, repeatable stages ran, the failure would be replayed to each retry
// although no target has started the non-repeatable stage.
func (s *Server) abandonOrRecordFailure(ctx context.Context, ticket *claims.Ticket, p *callerapi.Problem, mayRunAgain bool) {
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
	recorded := claim.Outcome(p.Outcome)
	if mayRunAgain {
		recorded = claim.OutcomeNotRun
	}
	s.recordOutcome(ctx, ticket, recorded, p.Status, callerapi.MediaProblem, body)
}
