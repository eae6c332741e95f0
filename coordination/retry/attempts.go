package retry

import (
	"math/rand/v2"
	"time"
)

// Stage is what the decisions have to know of a stage.
type Stage struct {
	// Repeatable stages may run more than once.
	Repeatable bool
	// Streams tells that tokens are delivered as they come.
	Streaming bool
	// Resumable streams go on behind the tokens that were delivered.
	Resumable bool
	// MaxAttempts bounds the attempts, the first included; at least 1.
	MaxAttempts int
}

// Result says how an attempt ended without a whole answer.
type FailureKind uint8

// The results of an attempt.
const (
	// NoConnection means that no byte found a connection to leave on.
	NoConnection FailureKind = iota + 1
	// Refused means that the target is known not to have started the stage.
	Refused
	// Failed means that the stage may have run.
	Failed
	// Preempted means that a higher tier took the slot. Of a stage that can't
	// be resumed it counts as Failed.
	Preempted
)

// End is the end of an attempt that brought no whole answer.
type Failure struct {
	Kind FailureKind
	// RetryAfter is when the target asks to come back; 0 when unknown.
	RetryAfter time.Duration
	// Delivered tells that some tokens of the stage were delivered.
	TokensDelivered bool
}

// Decision says what follows an attempt that brought no whole answer.
type Decision struct {
	// Again asks for one more attempt after Delay.
	Retry bool
	Delay time.Duration
	// Paid tells that the attempt is to be paid from the Budget of the pool;
	// where that has no token, the stage ends with ReasonBudget.
	UsesBudget bool
	// Reason says why the stage ends.
	Reason Reason
}

// Reason says why a stage is not sent once more.
type Reason string

// The reasons to end a stage.
const (
	ReasonNotRepeatable   Reason = "not_repeatable"
	ReasonTokensDelivered Reason = "tokens_delivered"
	ReasonAttemptsUsedUp  Reason = "attempts_used_up"
	ReasonBudgetUsedUp    Reason = "retry_budget_used_up"
)

// Attempts decides on the attempts of one stage. The caller serialises the
// calls.
type Attempts struct {
	stage    Stage
	sent     int
	refusals int
	// mayHaveRun is set once an attempt ended without a word on whether it ran.
	mayHaveRun bool
}

// NewAttempts makes the decisions of a stage that was not sent yet.
func NewAttempts(stage Stage) *Attempts {
	stage.MaxAttempts = max(stage.MaxAttempts, 1)
	return &Attempts{stage: stage}
}

// Sent counts an attempt, hedges too, before it is sent.
func (a *Attempts) AddAttempt() { a.sent++ }

// MayHedge tells whether a second attempt may run beside the one that was sent.
// A stream is never hedged: the tokens of two runs must not mix.
func (a *Attempts) MayHedge() bool {
	return a.stage.Repeatable && !a.stage.Streaming && a.sent < a.stage.MaxAttempts
}

// Ended decides what follows when no attempt is open any more and the last one
// brought no whole answer. latestStart is the last moment at which an attempt is
// of use.
//
// A preempted attempt is none of the stage's own: it costs no attempt and no
// token. Nor does one without a connection cost a token. The failure: several
// targets of a pool are killed at once and stand in the platform's list for some
// time more. Attempts meet them until the budget is empty, and then most
// requests fail though other targets are well. Such an attempt gave the pool no
// work, so the next one multiplies no load; its number is bounded all the same.
func (a *Attempts) AfterFailure(now, latestStart time.Time, rng *rand.Rand, end Failure) Decision {
	if end.Kind == Preempted && a.stage.Repeatable && a.stage.Resumable {
		a.sent--
		return Decision{Retry: true}
	}
	a.mayHaveRun = a.mayHaveRun || end.Kind == Failed || end.Kind == Preempted
	if reason := a.stopReason(end); reason != "" {
		return Decision{Reason: reason}
	}
	decision := Decision{Retry: true, UsesBudget: end.Kind != NoConnection}
	if end.Kind == Refused {
		a.refusals++
		decision.Delay = backoff(rng, a.refusals, latestStart.Sub(now), end.RetryAfter)
	}
	return decision
}

// over returns the reason to end the stage, or none. What may not be repeated
// is sent again only while each attempt is known not to have started. Delivered
// tokens forbid a fresh run: its text could differ, and the joined answer would
// be of two runs; only a resumed stream is whole.
func (a *Attempts) stopReason(end Failure) Reason {
	switch {
	case !a.stage.Repeatable && a.mayHaveRun:
		return ReasonNotRepeatable
	case end.TokensDelivered && !a.stage.Resumable:
		return ReasonTokensDelivered
	case a.sent >= a.stage.MaxAttempts:
		return ReasonAttemptsUsedUp
	}
	return ""
}

// Bounds of the wait after a refusal.
const (
	backoffBase = 5 * time.Millisecond
	backoffMax  = 200 * time.Millisecond
)

// backoff is how long to wait after a refusal: a pool that is full for a moment
// would else use up all attempts within that moment. It doubles with each
// refusal, with full jitter, so that stages that were refused together do not
// come back together. It is at most what the target asks for, and half of the
// time to the latest start: the other half is kept for the queue.
func backoff(rng *rand.Rand, refusals int, room, retryAfter time.Duration) time.Duration {
	ceiling := min(backoffBase<<min(refusals, 10), backoffMax, max(room, 0)/2)
	if retryAfter > 0 {
		ceiling = min(ceiling, retryAfter)
	}
	return time.Duration(rng.Int64N(int64(ceiling) + 1))
}
