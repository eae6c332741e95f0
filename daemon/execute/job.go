// Package execute runs the stages of one request on targets: it turns the pure
// decisions of coordination into calls, and what comes back into events.
package execute

import (
	"fmt"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/outcome"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/state/requests"
)

// Job is one request that was admitted to the pipeline.
type Job struct {
	ID string
	// Ref finds the request's status; the zero Ref is not recorded.
	Ref      requests.Ref
	Pipeline *catalog.Pipeline
	Tier     *catalog.Tier
	Account  string
	// Input is the caller's input, given to the stages without predecessors.
	Input string
	// MaxTokens bounds the generation; 0 leaves the stage's own bound.
	MaxTokens int
	Prefix    []Part
	// Deadline is end to end.
	Deadline time.Time
	// BeforeDispatch is called before the first byte of a stage that may not
	// be repeated leaves; an error forbids the dispatch. May be nil.
	BeforeDispatch func() error
	// OnToken receives the tokens of the last stage in order, each offset
	// once. Nil when the caller wants one whole answer.
	OnToken func(offset int, token string) error
}

// Part is one shared part of the prompt, in order.
type Part struct {
	ID     string
	Tokens int
}

// Result is the whole answer of the last stage.
type Result struct {
	Output string
	Tokens int
}

// Reason says why a request could not be answered whole.
type Reason string

// The reasons of a Failure.
const (
	// ReasonOverload: no slot within what is left of the deadline.
	ReasonOverload Reason = "overload"
	// ReasonDeadline: the deadline passed, or what is left can't suffice.
	ReasonDeadline Reason = "deadline"
	// ReasonNoTarget: the pool has no target that may serve the stage.
	ReasonNoTarget Reason = "no_target"
	// ReasonTarget: the targets that were tried failed.
	ReasonTarget Reason = "target_failed"
	// ReasonClaim: the claim forbade the dispatch.
	ReasonClaim Reason = "claim"
	// ReasonCaller: the caller went away.
	ReasonCaller Reason = "caller_gone"
	// ReasonCrashes: the request crashes the targets that run it.
	ReasonCrashes Reason = "crashes_targets"
	// ReasonStopping: the instance stops before the request has ended.
	ReasonStopping Reason = "stopping"
	// ReasonFault: a fault of the daemon itself ended the stage.
	ReasonFault Reason = "internal_fault"
)

// Failure tells why a job ended without a whole answer, where, and what may be
// promised about the work behind it.
type Failure struct {
	Reason  Reason
	Verdict outcome.Verdict
	// MayRunAgain tells that no stage that may not be repeated has run or may
	// have, whatever the Verdict says of the others.
	MayRunAgain bool
	// Step is the stage and Peer the target at which it arose.
	Step string
	Peer string
	// RetryAfter is when to come back; 0 when unknown.
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
