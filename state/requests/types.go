// Package requests keeps the status of an instance's requests in memory and
// aggregates their counters. Both are bounded in number and in bytes: new
// requests evict the oldest finished ones, and counters are kept separately for
// the busiest client accounts and together for the others.
package requests

import "time"

// State is the state of a request at this instance.
type State uint8

// The states of a request.
const (
	StateRunning State = iota
	StateAnswered
	StateFailed
)

var stateNames = [...]string{"running", "answered", "failed"}

// String implements fmt.Stringer with the name that callers see.
func (s State) String() string { return nameOf(stateNames[:], uint8(s)) }

// Outcome is whether a request was run.
type Outcome uint8

// The outcomes of a request; a running one has OutcomeNone.
const (
	OutcomeNone Outcome = iota
	OutcomeNotRun
	OutcomeRan
	OutcomeUnknown
)

var outcomeNames = [...]string{"", "not_run", "ran", "unknown"}

// String implements fmt.Stringer with the name that callers see.
func (o Outcome) String() string { return nameOf(outcomeNames[:], uint8(o)) }

// Result is how one attempt ended.
type Result uint8

// The results of an attempt.
const (
	ResultRunning Result = iota
	// ResultOK is a complete response that the request used.
	ResultOK
	// ResultNotRun is a refusal before any work.
	ResultNotRun
	ResultFailed
	// ResultLate is a complete response that arrived after another one was used.
	ResultLate
	ResultCancelled
)

var resultNames = [...]string{"running", "ok", "not_run", "failed", "late", "cancelled"}

// String implements fmt.Stringer with the name that callers see.
func (r Result) String() string { return nameOf(resultNames[:], uint8(r)) }

func nameOf(names []string, i uint8) string {
	if int(i) >= len(names) {
		return "invalid"
	}
	return names[i]
}

// Info describes a request at its start. Its strings and slice are kept and not
// copied: all but ID come from the accepted configuration.
type Info struct {
	ID            string
	Pipeline      string
	SchemaVersion int
	Account       string
	Tier          string
	// Stages are the names of the pipeline's stages, by stage index.
	Stages []string
	// Deadline is the end-to-end time limit, from StartedAt.
	Deadline  time.Duration
	StartedAt time.Time
}

// AttemptStart describes an attempt that is about to be sent.
type AttemptStart struct {
	// Stage is an index into Info.Stages.
	Stage  int
	ID     string
	Target string
	At     time.Time
}

// AttemptEnd describes how an attempt ended.
type AttemptEnd struct {
	Result Result
	// Work is the processing time that the target reports; 0 if it reports none.
	Work          time.Duration
	Tokens        int
	PrefillTokens int
	// Error is a short text without request content; it is truncated to 160 bytes.
	Error string
	At    time.Time
}

// End describes how a request ended.
type End struct {
	State   State
	Outcome Outcome
	At      time.Time
}

// Status is a copy of the record of a request.
type Status struct {
	Info
	State   State
	Outcome Outcome
	// Elapsed is the time from the start to the end, or to now while the request
	// runs.
	Elapsed  time.Duration
	Attempts []Attempt
	// Unrecorded counts the attempts that exceeded the bounds of a request or of
	// the table.
	Unrecorded int
}

// Attempt is the record of one attempt.
type Attempt struct {
	Stage  int
	ID     string
	Target string
	Result Result
	// StartOffset is the time from the start of the request to that of the
	// attempt.
	StartOffset time.Duration
	// Elapsed is the time from the attempt's start to its end, or to now while it
	// runs.
	Elapsed       time.Duration
	Work          time.Duration
	Tokens        int
	PrefillTokens int
	Error         string
}

// Ref refers to the record of a request without a lookup. The zero Ref stands
// for a request that is not recorded; every method accepts it and does nothing.
type Ref struct {
	shard      uint32
	slot       int32
	generation uint64
}

// Recorded reports whether the request was recorded at its start.
func (r Ref) Recorded() bool { return r.generation != 0 }
