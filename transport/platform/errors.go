package platform

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// Causes inside a *CallError.
var (
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("object not found")
	// ErrCompacted means that the platform no longer has the history of the
	// watch; the caller must list again.
	ErrCompacted = errors.New("history is gone")
	// ErrResponseTooLarge means that a response exceeds what is read. A watch gets one when
	// many large objects have changed; the caller must list instead.
	ErrResponseTooLarge = errors.New("response too large")
	// ErrTooLarge means that the value exceeds platformapi.MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
	// ErrRefused means that the platform does not accept the call, for example
	// because it is invalid or not permitted.
	ErrRefused = errors.New("call refused")
)

// Causes inside an *UnavailableError of a call that was not sent.
var (
	// ErrOutage means that calls are held back because the last ones failed.
	ErrOutage = errors.New("calls are held back after failures")
	// ErrBudget means that the call would have to wait too long for the budget.
	ErrBudget = errors.New("budget of calls is spent")
)

// Call identifies a call in errors: its step, such as "update claims", and its peer.
// It does not contain the object's name, which may derive from a caller's key.
type Call struct {
	Step string
	Peer string
	// Write is true if the call may change the store.
	Write bool
}

func (c Call) String() string { return fmt.Sprintf("%s at %s", c.Step, c.Peer) }

// CallError means that the platform definitely refused the call; nothing was done.
type CallError struct {
	Call Call
	Err  error
}

func (e *CallError) Error() string { return fmt.Sprintf("%s: %v", e.Call, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// ConflictError means that the condition of a write did not hold; nothing was done.
type ConflictError struct {
	Call Call
	// Current is the current object; nil if the response did not contain it.
	Current *platformapi.Object
}

func (e *ConflictError) Error() string { return fmt.Sprintf("%s: conflict", e.Call) }

// UnavailableError means that the platform could not execute the call; nothing was
// done.
type UnavailableError struct {
	Call Call
	// RetryAfter is the minimum time before a retry, 0 if unknown.
	RetryAfter time.Duration
	Err        error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: platform unavailable: %v", e.Call, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownEffectError means that a write got no valid response: it may have been
// done, or may be done later. The caller must read the object to find out.
type UnknownEffectError struct {
	Call Call
	Err  error
}

func (e *UnknownEffectError) Error() string {
	return fmt.Sprintf("%s: effect unknown: %v", e.Call, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownEffectError) Unwrap() error { return e.Err }

// NoResponseError returns the error of a call that was sent and got no valid
// response. A read changes nothing, so the effect is unknown only for a write.
func NoResponseError(call Call, cause error) error {
	if call.Write {
		return &UnknownEffectError{Call: call, Err: cause}
	}
	return &UnavailableError{Call: call, Err: cause}
}

// StatusError returns the error of an HTTP response other than success. The contract
// guarantees for 429, 503 and the other refusals below that nothing was done. Any
// other status may come from a proxy that had already forwarded the write.
func StatusError(call Call, status int, retryAfter time.Duration, current *platformapi.Object) error {
	switch status {
	case http.StatusConflict:
		return &ConflictError{Call: call, Current: current}
	case http.StatusNotFound:
		return &CallError{Call: call, Err: ErrNotFound}
	case http.StatusGone:
		return &CallError{Call: call, Err: ErrCompacted}
	case http.StatusRequestEntityTooLarge:
		return &CallError{Call: call, Err: ErrTooLarge}
	}
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return &UnavailableError{Call: call, RetryAfter: retryAfter, Err: errors.Newf("status %d", status)}
	case http.StatusBadRequest, http.StatusForbidden, http.StatusUnauthorized, http.StatusMethodNotAllowed:
		return &CallError{Call: call, Err: errors.Wrapf(ErrRefused, "status %d", status)}
	}
	return NoResponseError(call, errors.Newf("status %d", status))
}
