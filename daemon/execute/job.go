// Package execute runs the stages of one request on targets. The decisions are made by the
// pure packages below coordination; this package turns them into calls, and the results of
// the calls into their inputs.
package execute

import (
	"fmt"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/outcome"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/state/requests"
)

// Job is one request to run through the stages of its pipeline.
type Job struct {
	ID string
	// Ref refers to the request's status; the status of the zero Ref is not recorded.
	Ref      requests.Ref
	Pipeline *catalog.Pipeline
	Tier     *catalog.Tier
	Account  string
	// Input is the caller's input, passed to the stages without predecessors.
	Input string
	// MaxTokens limits the generated tokens; with 0 only the stage's own limit applies.
	MaxTokens int
	Prefix    []Part
	// Deadline is the end-to-end deadline.
	Deadline time.Time
	// BeforeDispatch is called before the first byte of a stage that is not
	// repeatable is sent; an error prevents the dispatch. It may be nil.
	BeforeDispatch func() error
	// OnToken receives the tokens of the last stage in order, each offset
	// once. It is nil if the caller wants a single response without streaming.
	OnToken func(offset int, token string) error
}

// Part is one part of a prompt's shared prefix.
type Part struct {
	ID     string
	Tokens int
}

// Result is the complete response of the last stage.
type Result struct {
	Output string
	Tokens int
}

// Reason is the cause of a Failure. Callers receive its text.
type Reason string

// The reasons of a Failure.
const (
	// ReasonOverload: no slot becomes free within the time remaining until the deadline.
	ReasonOverload Reason = "overload"
	// ReasonDeadline: the deadline passed, or the remaining time is too short.
	ReasonDeadline Reason = "deadline"
	// ReasonNoTarget: the pool has no target that is able to run the stage.
	ReasonNoTarget Reason = "no_target"
	// ReasonTarget: the targets that were tried failed.
	ReasonTarget Reason = "target_failed"
	// ReasonClaim: the claim prevented the dispatch.
	ReasonClaim Reason = "claim"
	// ReasonCaller: the caller disconnected.
	ReasonCaller Reason = "caller_gone"
	// ReasonCrashes: the request crashes the targets that run it.
	ReasonCrashes Reason = "crashes_targets"
	// ReasonStopping: the instance stopped before the request ended.
	ReasonStopping Reason = "stopping"
	// ReasonFault: an internal error of the daemon ended the stage.
	ReasonFault Reason = "internal_fault"
)

// Failure is the error of a job that ended without a complete response: its cause, where it
// arose, and what may be promised about the work of the job.
type Failure struct {
	Reason  Reason
	Verdict outcome.Verdict
	// MayRunAgain is true if no stage that is not repeatable has run or may have
	// run. The Verdict also covers the repeatable stages.
	MayRunAgain bool
	// Step is the stage and Peer the target at which the failure arose.
	Step string
	Peer string
	// RetryAfter is the delay after which the caller should retry; 0 if unknown.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (f *Failure) Error() string {
	text := fmt.Sprintf("stage %s: %s", f.Step, f.Reason)
	if f.Peer != "" {
		text += " at " + f.Peer
	}
	if f.Cause != nil {
		text += ": " + f.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }
