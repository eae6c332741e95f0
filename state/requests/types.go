// Package requests keeps the status of an instance's requests in memory, and
// sums up how they fared. Both are bounded in number and in bytes: the newest
// finished requests push out the oldest, and the sums keep the busiest client
// accounts by name and the others together.
package requests

import "time"

// State is how far a request or the instance's work on it is.
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

// Outcome says what became of the work behind a request.
type Outcome uint8

// The outcomes of a request; a running one has none.
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
	// ResultOK is the answer that the request used.
	ResultOK
	// ResultNotRun is a refusal before any work.
	ResultNotRun
	ResultFailed
	// ResultLate is a whole answer that came after another was used.
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

// Info is what is known of a request when it begins. Its strings and slice are
// kept, not copied: they come from the accepted configuration.
type Info struct {
	ID            string
	Pipeline      string
	SchemaVersion int
	Account       string
	Tier          string
	// Stages are the names of the pipeline's stages, by stage index.
	Stages []string
	// Deadline is end to end, from Begun.
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
	// Work is the time that the target reports to have worked; 0 is not reported.
	Work          time.Duration
	Tokens        int
	PrefillTokens int
	// Error is a short text without request content; it is cut at 160 bytes.
	Error string
	At    time.Time
}

// End describes how a request ended.
type End struct {
	State   State
	Outcome Outcome
	At      time.Time
}

// Status is a copy of what is known of a request.
type Status struct {
	Info
	State   State
	Outcome Outcome
	// Elapsed is the time to the end, or to now while the request runs.
	Elapsed  time.Duration
	Attempts []Attempt
	// Unrecorded counts attempts beyond the bound of a request or the table.
	Unrecorded int
}

// Attempt is a copy of what is known of one attempt.
type Attempt struct {
	Stage  int
	ID     string
	Target string
	Result Result
	// Started is the time from the begin of the request.
	StartOffset time.Duration
	// Elapsed is the time to the end, or to now while the attempt runs.
	Elapsed       time.Duration
	Work          time.Duration
	Tokens        int
	PrefillTokens int
	Error         string
}

// Ref finds a recorded request without a search. The zero Ref stands for a
// request that is not recorded: every method takes it and does nothing.
type Ref struct {
	shard      uint32
	slot       int32
	generation uint64
}

// Recorded tells whether the request was recorded at its begin.
func (r Ref) Recorded() bool { return r.generation != 0 }
