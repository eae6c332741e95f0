package target

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/sse"
)

// contractError is a violation of the contract by a response.
type contractError struct{ cause error }

func (e contractError) Error() string { return "answer breaks the contract: " + e.cause.Error() }

func (e contractError) Unwrap() error { return e.cause }

// deliveryError is an error that onToken returned.
type deliveryError struct{ cause error }

func (e *deliveryError) Error() string { return "token was not taken: " + e.cause.Error() }

func (e *deliveryError) Unwrap() error { return e.cause }

// fail classifies an error of the connection or the response. It closes the
// connection, since late bytes on it would be read as the response to another call.
func (x *exchange) fail(step Step, err error) *AttemptError {
	x.closeConn()
	outcome := NotRun
	if x.mayHaveSent() {
		// Prevents a second run of the stage: whether the target received the call
		// is unknown here, and NotRun would allow a retry.
		outcome = Unknown
	}
	return &AttemptError{
		Step:    step,
		Peer:    x.call.Address,
		Outcome: outcome,
		Reason:  x.reason(step, err),
		Err:     err,
	}
}

func (x *exchange) reason(step Step, err error) Reason {
	if reason := responseReason(err); reason != "" {
		return reason
	}
	if x.ctx.Err() != nil {
		return contextReason(context.Cause(x.ctx))
	}
	if dial := (*dialError)(nil); errors.As(err, &dial) {
		return dialReason(dial)
	}
	if step == StepEncode {
		return ReasonRefused
	}
	if isTruncated(step, err) {
		return ReasonTruncated
	}
	return ReasonReset
}

// responseReason returns the reason for an error in a received response or in its
// delivery; "" for other errors.
func responseReason(err error) Reason {
	violation := contractError{}
	delivery := (*deliveryError)(nil)
	switch {
	case errors.Is(err, errWrongAttempt):
		return ReasonCrossed
	case errors.Is(err, errTooLarge), errors.Is(err, sse.ErrEventTooLarge), errors.Is(err, sse.ErrLineTooLong):
		return ReasonTooLarge
	case errors.As(err, &violation), errors.Is(err, errContentType):
		return ReasonGarbled
	case errors.As(err, &delivery):
		return ReasonCancelled
	default:
		return ""
	}
}

// contextReason returns the reason for the cancellation of the exchange.
func contextReason(cause error) Reason {
	switch {
	case errors.Is(cause, errSilent):
		return ReasonSilent
	case errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		return ReasonTimeout
	default:
		return ReasonCancelled
	}
}

func dialReason(err *dialError) Reason {
	if err.timeout {
		return ReasonTimeout
	}
	return ReasonRefused
}

// isTruncated reports whether a response body ended early, as opposed to a failed
// connection.
func isTruncated(step Step, err error) bool {
	if step != StepBody && step != StepStream {
		return false
	}
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, sse.ErrTruncated) || errors.Is(err, errNoDoneEvent)
}

func asAttemptError(err error) *AttemptError {
	failed := (*AttemptError)(nil)
	if errors.As(err, &failed) {
		return failed
	}
	return nil
}
