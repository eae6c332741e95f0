package target

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/sse"
)

// garbledError says that an answer breaks the contract.
type contractError struct{ cause error }

func (e contractError) Error() string { return "answer breaks the contract: " + e.cause.Error() }

func (e contractError) Unwrap() error { return e.cause }

// deliveryError says that the caller did not take a token.
type deliveryError struct{ cause error }

func (e *deliveryError) Error() string { return "token was not taken: " + e.cause.Error() }

func (e *deliveryError) Unwrap() error { return e.cause }

// failure says what is known after an error of the connection or the answer.
// It closes the connection: what may still come on it belongs to no call.
func (x *exchange) fail(step Step, err error) *AttemptError {
	x.closeConn()
	outcome := NotRun
	if x.mayHaveSent() {
		// The failure: an error after the call was sent is taken for a refusal
		// and the stage is run again. Whether the target got the call can't be
		// told from here, so it must not be called not run.
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

// answerReason tells the faults of an answer that did come.
func responseReason(err error) Reason {
	garbled := contractError{}
	delivery := (*deliveryError)(nil)
	switch {
	case errors.Is(err, errWrongAttempt):
		return ReasonCrossed
	case errors.Is(err, errTooLarge), errors.Is(err, sse.ErrEventTooLarge), errors.Is(err, sse.ErrLineTooLong):
		return ReasonTooLarge
	case errors.As(err, &garbled), errors.Is(err, errContentType):
		return ReasonGarbled
	case errors.As(err, &delivery):
		return ReasonCancelled
	default:
		return ""
	}
}

// contextReason tells why the exchange was given up.
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

// endedEarly tells an answer that ended in the middle from a broken connection.
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
