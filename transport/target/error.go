package target

import (
	"fmt"
)

// Outcome is what is known about the run of a failed attempt.
type Outcome int

// The outcomes.
const (
	// Unknown: bytes were sent to the target and no complete response arrived. The
	// work may be finished, still running, or never started.
	Unknown Outcome = iota
	// NotRun: the target reported that nothing was run, or no byte of the request
	// left this process.
	NotRun
	// Failed: the target ran the call and reported that it failed.
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

// Reason is why an attempt failed.
type Reason string

// The reasons.
const (
	// ReasonRefused: no connection was accepted, or the target refused the call.
	ReasonRefused Reason = "refused"
	// ReasonFull: the target has no capacity, or could not start the call before its
	// deadline.
	ReasonFull Reason = "full"
	// ReasonWrongIncarnation: another incarnation serves at the address.
	ReasonWrongIncarnation Reason = "wrong_incarnation"
	// ReasonTruncated: the response ended before it was complete.
	ReasonTruncated Reason = "truncated"
	// ReasonCrossed: the response carries the ID of another attempt.
	ReasonCrossed Reason = "crossed"
	// ReasonGarbled: the response can't be parsed or violates the contract.
	ReasonGarbled Reason = "garbled"
	// ReasonTooLarge: the response is larger than Options.MaxBody.
	ReasonTooLarge Reason = "too_large"
	// ReasonTimeout: the deadline or the connect timeout expired.
	ReasonTimeout Reason = "timeout"
	// ReasonSilent: no byte arrived within the header or body idle timeout.
	ReasonSilent Reason = "silent"
	// ReasonReset: the connection failed before the response was complete.
	ReasonReset Reason = "reset"
	// ReasonCancelled: the caller cancelled the attempt.
	ReasonCancelled Reason = "cancelled"
	// ReasonFailed: the target reported that the run failed.
	ReasonFailed Reason = "failed"
)

// Step is the step of a call in which an error occurred.
type Step string

// The steps of an attempt.
const (
	StepEncode  Step = "encode"
	StepConnect Step = "connect"
	StepSend    Step = "send"
	StepHeaders Step = "headers"
	StepBody    Step = "body"
	StepStream  Step = "stream"
	StepDeliver Step = "deliver"
)

// AttemptError is the type of all errors that Run and Stream return.
type AttemptError struct {
	Step    Step
	Peer    string
	Outcome Outcome
	Reason  Reason
	// RetryAfterMS is the delay before a retry that the target requests, in
	// milliseconds; 0 if it requests none.
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
