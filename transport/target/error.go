package target

import (
	"fmt"
)

// Outcome says what is known of the run after an attempt brought no answer.
type Outcome int

// The outcomes.
const (
	// Unknown: bytes left for the target and no whole answer came. The work may
	// have been done, may still be going on, or may never have started.
	Unknown Outcome = iota
	// NotRun: the target vouched that nothing was run, or no byte of the call
	// left this process.
	NotRun
	// Failed: the target ran the call and says that it failed.
	Failed
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not_run"
	case Failed:
		return "failed"
	default:
		return "unknown"
	}
}

// Reason says why an attempt brought no answer.
type Reason string

// The reasons.
const (
	// ReasonRefused: no connection was accepted, or the target refused the call.
	ReasonRefused Reason = "refused"
	// ReasonFull: the target has no room, or could not start it in time.
	ReasonFull Reason = "full"
	// ReasonWrongIncarnation: another incarnation serves at the address.
	ReasonWrongIncarnation Reason = "wrong_incarnation"
	// ReasonTruncated: the answer ended before it was whole.
	ReasonTruncated Reason = "truncated"
	// ReasonCrossed: the answer belongs to another attempt.
	ReasonCrossed Reason = "crossed"
	// ReasonGarbled: the answer can't be parsed or breaks the contract.
	ReasonGarbled Reason = "garbled"
	// ReasonTooLarge: the answer is larger than Options.MaxBody.
	ReasonTooLarge Reason = "too_large"
	// ReasonTimeout: the deadline or the connect timeout passed.
	ReasonTimeout Reason = "timeout"
	// ReasonSilent: the connection stayed without a byte for too long.
	ReasonSilent Reason = "silent"
	// ReasonReset: the connection broke before an answer.
	ReasonReset Reason = "reset"
	// ReasonCancelled: the caller gave up.
	ReasonCancelled Reason = "cancelled"
	// ReasonFailed: the target answered that the run failed.
	ReasonFailed Reason = "failed"
)

// Step is the part of a call in which an error arose.
type Step string

// The steps.
const (
	StepEncode  Step = "encode"
	StepConnect Step = "connect"
	StepSend    Step = "send"
	StepHeaders Step = "headers"
	StepBody    Step = "body"
	StepStream  Step = "stream"
	StepDeliver Step = "deliver"
)

// AttemptError is every error that Run and Stream return.
type AttemptError struct {
	Step    Step
	Peer    string
	Outcome Outcome
	Reason  Reason
	// RetryAfterMS is when the target asks to come back; 0 when unknown.
	RetryAfterMS int64
	Err          error
}

// Error names the step, the peer, the outcome and the reason.
func (e *AttemptError) Error() string {
	text := fmt.Sprintf("target %s: %s: %s (%s)", e.Peer, e.Step, e.Reason, e.Outcome)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }
