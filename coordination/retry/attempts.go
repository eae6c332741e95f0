package retry

import (
	"math/rand/v2"
	"time"
)

// Stage holds the properties of a stage that retry decisions depend on.
type Stage struct {
	// Repeatable stages may run more than once.
	Repeatable bool
	// Streaming stages deliver their tokens while they run.
	Streaming bool
	// Resumable streams continue after the tokens that were delivered.
	Resumable bool
	// MaxAttempts bounds the attempts, including the first; it is at least 1.
	MaxAttempts int
}

// FailureKind is how an attempt ended without a complete response.
type FailureKind uint8

// The kinds of failure.
const (
	// NoConnection means that there was no connection and no byte was sent.
	NoConnection FailureKind = iota + 1
	// Refused means that the target is known not to have started the stage.
	Refused
	// Failed means that the stage may have run.
	Failed
	// Preempted means that the attempt was cancelled for a higher tier. For a
	// stage that isn't both repeatable and resumable it counts as Failed.
	Preempted
)

// Failure describes an attempt that ended without a complete response.
type Failure struct {
	Kind FailureKind
	// RetryAfter is the delay that the target asks for; 0 if it is unknown.
	RetryAfter time.Duration
	// TokensDelivered means that some tokens of the stage were delivered.
	TokensDelivered bool
}

// Decision is what to do after an attempt failed.
type Decision struct {
	// Retry means that another attempt follows after Delay.
	Retry bool
	Delay time.Duration
	// UsesBudget means that the attempt costs a token of the pool's Budget; if
	// there is none, the stage ends with ReasonBudgetUsedUp.
	UsesBudget bool
	// Reason is why the stage is not retried; empty if it is.
	Reason Reason
}

// Reason is why a stage is not retried.
type Reason string

// The reasons not to retry a stage.
const (
	ReasonNotRepeatable   Reason = "not_repeatable"
	ReasonTokensDelivered Reason = "tokens_delivered"
	ReasonAttemptsUsedUp  Reason = "attempts_used_up"
	ReasonBudgetUsedUp    Reason = "retry_budget_used_up"
)

// Attempts tracks the attempts of one stage and decides on retries and hedges.
// The caller serialises the calls.
type Attempts struct {
	stage    Stage
	sent     int
	refusals int
	// mayHaveRun is set once an attempt ended and it is unknown whether it ran.
	mayHaveRun bool
}

// NewAttempts returns the state of a stage without attempts.
func NewAttempts(stage Stage) *Attempts {
	stage.MaxAttempts = max(stage.MaxAttempts, 1)
	return &Attempts{stage: stage}
}

// AddAttempt counts an attempt. Call it before each attempt is sent, including
// hedges.
func (a *Attempts) AddAttempt() { a.sent++ }

// MayHedge reports whether a second attempt may run beside the one in flight. A
// stream is never hedged, because the tokens of two runs must not be mixed.
func (a *Attempts) MayHedge() bool {
	return a.stage.Repeatable && !a.stage.Streaming && a.sent < a.stage.MaxAttempts
}

// MayRetry reports whether another attempt may follow one that may have run.
func (a *Attempts) MayRetry(tokensDelivered bool) bool {
	return a.stage.Repeatable && a.stopReason(Failure{TokensDelivered: tokensDelivered}) == ""
}

// AfterFailure decides whether to retry once no attempt is in flight and the
// last one failed. latestStart is the last moment at which an attempt can start
// and still meet the deadline.
//
// A preempted attempt of a stage that is repeatable and resumable doesn't count
// as an attempt, and its retry costs no token. The retry after an attempt without
// a connection costs none either: when several targets of a pool are killed at
// once, the platform still lists them for some time, and the retries of attempts
// at them would empty the budget, so that most requests would fail although other
// targets are healthy. An attempt without a connection caused the pool no work, so
// its retry does not multiply the load. It still counts as an attempt.
func (a *Attempts) AfterFailure(now, latestStart time.Time, rng *rand.Rand, failure Failure) Decision {
	if failure.Kind == Preempted && a.stage.Repeatable && a.stage.Resumable {
		a.sent--
		return Decision{Retry: true}
	}
	a.mayHaveRun = a.mayHaveRun || failure.Kind == Failed || failure.Kind == Preempted
	if reason := a.stopReason(failure); reason != "" {
		return Decision{Reason: reason}
	}
	decision := Decision{Retry: true, UsesBudget: failure.Kind != NoConnection}
	if failure.Kind == Refused {
		a.refusals++
		decision.Delay = backoff(rng, a.refusals, latestStart.Sub(now), failure.RetryAfter)
	}
	return decision
}

// stopReason returns the reason not to retry the stage, or an empty one. A stage
// that is not repeatable is retried only while each attempt is known not to have
// started. After tokens were delivered, only a resumed stream may continue: the
// text of a new run could differ, and the response would mix two runs.
func (a *Attempts) stopReason(failure Failure) Reason {
	switch {
	case !a.stage.Repeatable && a.mayHaveRun:
		return ReasonNotRepeatable
	case failure.TokensDelivered && !a.stage.Resumable:
		return ReasonTokensDelivered
	case a.sent >= a.stage.MaxAttempts:
		return ReasonAttemptsUsedUp
	}
	return ""
}

// Bounds of the backoff after a refusal.
const (
	backoffBase = 5 * time.Millisecond
	backoffMax  = 200 * time.Millisecond
)

// backoff returns the delay after a refusal; without it a pool that is briefly
// full would use up all attempts at once. The delay is exponential with full
// jitter, so that stages that were refused together are not retried together. It
// is at most what the target asks for and at most half of the time to the latest
// start; the other half is left for queueing.
func backoff(rng *rand.Rand, refusals int, timeToStart, retryAfter time.Duration) time.Duration {
	ceiling := min(backoffBase<<min(refusals, 10), backoffMax, max(timeToStart, 0)/2)
	if retryAfter > 0 {
		ceiling = min(ceiling, retryAfter)
	}
	return time.Duration(rng.Int64N(int64(ceiling) + 1))
}
