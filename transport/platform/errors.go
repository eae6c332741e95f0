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
	// ErrNotFound says that there is no such object.
	ErrNotFound = errors.New("object not found")
	// ErrCompacted says that the watch's history is gone: list again.
	ErrCompacted = errors.New("history is gone")
	// ErrTooLarge says that the value exceeds platformapi.MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
	// ErrRefused says that the platform doesn't accept the call as it is.
	ErrRefused = errors.New("call refused")
)

// Causes inside an *UnavailableError that never left the process.
var (
	// ErrOutage says that calls are held back because the last ones failed.
	ErrOutage = errors.New("calls are held back after failures")
	// ErrBudget says that the wait for the budget of calls would be too long.
	ErrBudget = errors.New("budget of calls is spent")
)

// Call names a call in errors: its step, such as "update claims", and its peer.
// The object's name stays out, since it may derive from a caller's key.
type Call struct {
	Step string
	Peer string
	// Write is true for calls that may change the store.
	Write bool
}

func (c Call) String() string { return fmt.Sprintf("%s at %s", c.Step, c.Peer) }

// CallError is a definite answer of the platform; nothing was done.
type CallError struct {
	Call Call
	Err  error
}

func (e *CallError) Error() string { return fmt.Sprintf("%s: %v", e.Call, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// ConflictError says that a write's condition didn't hold; nothing was done.
type ConflictError struct {
	Call Call
	// Current is the object as it is now; nil when the answer had none.
	Current *platformapi.Object
}

func (e *ConflictError) Error() string { return fmt.Sprintf("%s: conflict", e.Call) }

// UnavailableError says that the platform couldn't be asked; nothing was done.
type UnavailableError struct {
	Call Call
	// RetryAfter is the least time before another try, 0 when unknown.
	RetryAfter time.Duration
	Err        error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: platform unavailable: %v", e.Call, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownEffectError says that a write's answer was lost: the write may have
// been done, or may be done later. Read back before relying on either.
type UnknownEffectError struct {
	Call Call
	Err  error
}

func (e *UnknownEffectError) Error() string {
	return fmt.Sprintf("%s: effect unknown: %v", e.Call, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownEffectError) Unwrap() error { return e.Err }

// LostAnswer is the error of a call that was sent and got no answer. A read
// changes nothing, so only a write's effect is unknown.
func NoResponseError(call Call, cause error) error {
	if call.Write {
		return &UnknownEffectError{Call: call, Err: cause}
	}
	return &UnavailableError{Call: call, Err: cause}
}

// StatusError is the error of an HTTP answer other than success. The contract
// promises for 429, 503 and the other refusals below that nothing was done; any
// other status may come from a hop behind which the write went on.
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
