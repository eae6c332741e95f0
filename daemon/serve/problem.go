package serve

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/outcome"
	"github.com/ivyhollow/ivyhollow/daemon/execute"
	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
)

// Types of problem, relative to the page docs/api/callers.md.
const (
	typeUnauthenticated = "unauthenticated"
	typeBadRequest      = "bad-request"
	typeNotFound        = "not-found"
	typeTooLarge        = "too-large"
	typeKeyRequired     = "idempotency-key-required"
	typeKeyReused       = "idempotency-key-reused"
	typeBudget          = "budget-exhausted"
	typeOverload        = "overload"
	typeCrashes         = "crashes-targets"
	typeStore           = "store-unavailable"
	typeDeadline        = "deadline"
	typeTarget          = "target-failed"
	typeOutcomeUnknown  = "outcome-unknown"
	typeStarting        = "starting"
	typeNotKept         = "answer-not-kept"
)

// defaultRetryAfter is offered when nothing better is known.
const defaultRetryAfter = time.Second

// refusal makes a problem that promises that nothing was run.
func refusal(status int, kind, detail string) *callerapi.Problem {
	return &callerapi.Problem{
		Type:    kind,
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: callerapi.OutcomeNotRun,
	}
}

// fieldRefusal refuses a bad request and names the field.
func fieldRefusal(field, detail string) *callerapi.Problem {
	p := refusal(http.StatusBadRequest, typeBadRequest, detail)
	p.Field = field
	return p
}

// retryLater adds a time to come back.
func withRetryAfter(p *callerapi.Problem, after time.Duration) *callerapi.Problem {
	if after <= 0 {
		after = defaultRetryAfter
	}
	p.RetryAfterMS = int64(math.Ceil(after.Seconds() * 1000)) // never 0, which means no time
	return p
}

// internalFault is all that callers are told of a fault of the program.
const internalFault = "internal fault"

// failureProblem says what a failed job means to its caller.
func failureProblem(f *execute.Failure) *callerapi.Problem {
	p := refusal(failureStatus(f), failureType(f), f.Error())
	if f.Reason == execute.ReasonFault {
		p.Detail = internalFault // what a panic says may hold parts of a request
	}
	p.Outcome = callerOutcome(f.Verdict)
	p.Step = f.Step
	p.Peer = f.Peer
	if f.Verdict == outcome.NotRun {
		withRetryAfter(p, f.RetryAfter)
	}
	return p
}

func failureType(f *execute.Failure) string {
	switch f.Reason {
	case execute.ReasonOverload, execute.ReasonNoTarget, execute.ReasonStopping:
		return typeOverload
	case execute.ReasonDeadline:
		return typeDeadline
	case execute.ReasonCrashes:
		return typeCrashes
	case execute.ReasonClaim:
		return typeStore
	case execute.ReasonFault:
		return typeOutcomeUnknown
	default:
		return typeTarget
	}
}

// failureStatus keeps 503 for what did not run: callers may read 503 as a
// promise, so a request that ran or may have run never gets it.
func failureStatus(f *execute.Failure) int {
	if f.Verdict == outcome.NotRun {
		return http.StatusServiceUnavailable
	}
	if f.Reason == execute.ReasonDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func callerOutcome(v outcome.Verdict) callerapi.Outcome {
	switch v {
	case outcome.NotRun:
		return callerapi.OutcomeNotRun
	case outcome.Ran:
		return callerapi.OutcomeRan
	default:
		return callerapi.OutcomeUnknown
	}
}

// writeProblem writes a refusal or failure as application/problem+json.
func writeProblem(w http.ResponseWriter, p *callerapi.Problem) {
	h := w.Header()
	h.Set("Content-Type", callerapi.MediaProblem)
	if p.RequestID != "" {
		h.Set(callerapi.HeaderRequestID, p.RequestID)
	}
	if p.RetryAfterMS > 0 {
		seconds := math.Ceil(float64(p.RetryAfterMS) / 1000)
		h.Set(callerapi.HeaderRetryAfter, strconv.FormatFloat(seconds, 'f', 0, 64))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // the caller is gone if this fails
}
