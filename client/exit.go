package client

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/record"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// Exit codes of the client. docs/operations/records.md lists them for operators.
const (
	ExitOK               = 0
	ExitFault            = 1
	ExitUsage            = 2
	ExitInvalid          = 3
	ExitNotFound         = 4
	ExitConflict         = 5
	ExitStoreUnavailable = 6
	// ExitNotRun reports a refusal that guarantees that nothing was run.
	ExitNotRun = 7
	// ExitUnknown reports that a write or a request may have taken effect.
	ExitUnknown = 8
)

// UsageError reports an invalid command line.
type UsageError struct{ Reason string }

func (e *UsageError) Error() string { return e.Reason }

func usagef(format string, args ...any) error {
	return &UsageError{Reason: fmt.Sprintf(format, args...)}
}

// InvalidError reports invalid records; none of them was written.
type InvalidError struct {
	File   string
	Faults record.Faults
}

func (e *InvalidError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d faults, nothing written", e.File, len(e.Faults))
	for _, fault := range e.Faults {
		b.WriteString("\n  ")
		b.WriteString(fault.Error())
	}
	return b.String()
}

// ConflictError reports that a record was changed or deleted concurrently.
type ConflictError struct {
	Kind string
	Name string
	// Current is the newer record; nil if it was deleted.
	Current *platformapi.Object
}

func (e *ConflictError) Error() string {
	if e.Current == nil {
		return fmt.Sprintf("%s/%s: conflict: the record was deleted meanwhile", e.Kind, e.Name)
	}
	return fmt.Sprintf("%s/%s: conflict: the record is at revision %d now:\n%s",
		e.Kind, e.Name, e.Current.Metadata.Revision, indent(e.Current.Spec))
}

// RequestError is a refusal or failure that an instance returned, or the failure
// of a call to one.
type RequestError struct{ Problem callerapi.Problem }

func (e *RequestError) Error() string {
	p := e.Problem
	var b strings.Builder
	fmt.Fprintf(&b, "%s (%s)", p.Title, p.Outcome)
	for _, part := range []struct{ name, text string }{
		{"detail", p.Detail}, {"field", p.Field}, {"step", p.Step}, {"peer", p.Peer}, {"request", p.RequestID},
	} {
		if part.text != "" {
			fmt.Fprintf(&b, "; %s: %s", part.name, part.text)
		}
	}
	if p.RetryAfterMS > 0 {
		fmt.Fprintf(&b, "; come back in %d ms", p.RetryAfterMS)
	}
	return b.String()
}

// ExitCode returns the exit code for err.
func ExitCode(err error) int {
	var usage *UsageError
	var invalid *InvalidError
	var conflict *ConflictError
	var request *RequestError
	var unavailable *platform.UnavailableError
	var unknown *platform.UnknownEffectError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &invalid):
		return ExitInvalid
	case errors.As(err, &request):
		return requestExitCode(request.Problem)
	case errors.Is(err, platform.ErrNotFound):
		return ExitNotFound
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unavailable):
		return ExitStoreUnavailable
	case errors.As(err, &unknown):
		return ExitUnknown
	}
	return ExitFault
}

func requestExitCode(p callerapi.Problem) int {
	switch p.Outcome {
	case callerapi.OutcomeNotRun:
		return ExitNotRun
	case callerapi.OutcomeUnknown:
		return ExitUnknown
	}
	return ExitFault
}
