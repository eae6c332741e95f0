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

// Types of problem, as URIs relative to the page docs/api/callers.md.
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

// defaultRetryAfter is used where no better delay is known.
const defaultRetryAfter = time.Second

// refusal returns a problem whose outcome guarantees that nothing was run.
func refusal(status int, kind, detail string) *callerapi.Problem {
	return &callerapi.Problem{
		Type:    kind,
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: callerapi.OutcomeNotRun,
	}
}

// fieldRefusal returns a refusal of a bad request that names the invalid field.
func fieldRefusal(field, detail string) *callerapi.Problem {
	p := refusal(http.StatusBadRequest, typeBadRequest, detail)
	p.Field = field
	return p
}

// withRetryAfter sets the delay after which the caller may retry.
func withRetryAfter(p *callerapi.Problem, after time.Duration) *callerapi.Problem {
	if after <= 0 {
		after = defaultRetryAfter
	}
	p.RetryAfterMS = int64(math.Ceil(after.Seconds() * 1000)) // rounded up: 0 would mean that no delay is given
	return p
}

// internalFault is the only detail that callers get about a fault of the program.
const internalFault = "internal fault"

// failureProblem converts the failure of a job into a problem.
func failureProblem(f *execute.Failure) *callerapi.Problem {
	p := refusal(failureStatus(f), failureType(f), f.Error())
	if f.Reason == execute.ReasonFault {
		p.Detail = internalFault // the text of a panic may contain parts of a request
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

// failureStatus returns the HTTP status of a failure. Callers may read 503 as a
// guarantee that nothing ran, so a request that ran or may have run never gets it.
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

// writeProblem writes a problem as application/problem+json.
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
	_ = json.NewEncoder(w).Encode(p) // fails only if the caller has disconnected
}
