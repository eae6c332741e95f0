package gather

import (
	"math"
	"time"
)

// State is the exported state of a planner, which the planner of another instance
// continues. It is sent between instances. If the receiver's State has other fields than the
// sender's, the receiver rejects it, and both instances continue with their own queues. All
// times are relative to the export, negative for the past, since clocks differ.
type State struct {
	Requests []RequestState
	Calls    []CallState
	Targets  []TargetState
	Times    []LearnedTimes
}

// unset represents a zero time.
const unset = time.Duration(math.MinInt64)

// relativeTo returns the time from now until t.
func relativeTo(now, t time.Time) time.Duration {
	if t.IsZero() {
		return unset
	}
	return t.Sub(now)
}

// absoluteFrom is the inverse of relativeTo.
func absoluteFrom(now time.Time, d time.Duration) time.Time {
	if d == unset {
		return time.Time{}
	}
	return now.Add(d)
}

// RequestState is an admitted request with its progress.
type RequestState struct {
	ID, Route, Key         string
	Priority, KindPriority int
	Stages                 []Stage
	Objective, Deadline    time.Duration
	Remaining              time.Duration
	DataCentre             string

	AdmittedAt time.Duration
	// Started, Boosted, DeadlineShortened and Completed are as in heldRequest.
	Started, Boosted, DeadlineShortened, Completed bool
	// Progress has an entry for each stage.
	Progress []StageState
}

// StageState is the progress of a stage. Pieces that are neither in Pending nor in Results
// are in a call.
type StageState struct {
	Pending                                   []int
	Results                                   []ResultState
	Resends                                   int
	ReadySince, InputsReadAt, SentAt, EndedAt time.Duration
}

// ResultState is a result at the target that produced it.
type ResultState struct {
	Index  int
	Handle string
	// Target is the target's index in State.Targets.
	Target    int
	ExpiresAt time.Duration
	Freed     bool
}

// CallState is a call in progress. The instance that started the call reports its end to the
// instance that imports the state.
type CallState struct {
	// ID is the call's id at the planner that sent it.
	ID uint64
	// Target is an index in State.Targets.
	Target int
	Pieces []PieceState
	Bytes  int64
	// StartedAt, OverdueAt, InputsReadAt and TimeoutAt are as in call.
	StartedAt, OverdueAt, InputsReadAt, TimeoutAt time.Duration
	ExpectedDuration                              time.Duration
	Hedged, InputsFreed                           bool
}

// PieceState is a piece in a call.
type PieceState struct {
	// Request is empty if the exporting planner no longer holds the request.
	Request      string
	Stage, Index int
	// Bytes is the size of the piece's result. It is needed if the request isn't held: the
	// result then occupies this capacity until it is freed.
	Bytes int64
}

// TargetState is what is known of a target.
type TargetState struct {
	Service                                string
	Incarnation, Name, Address, DataCentre string
	// Replaced is true if another process has taken over the target's name.
	Replaced                           bool
	Slowness                           float64
	Answered                           bool
	DownUntil                          time.Duration
	UnansweredCalls, UnsuccessfulCalls int
	// Reserved is capacity that is occupied by results nobody can free.
	Reserved []ReservedCapacity
}

// ReservedCapacity is capacity that is reserved for a limited time.
type ReservedCapacity struct {
	Bytes int64
	Until time.Duration
}

// LearnedTimes are the learned times of a service, as multiples of the configured ones.
type LearnedTimes struct {
	Service    string
	CallFactor float64
	Pieces     []LearnedPieceTime
}

// LearnedPieceTime is the learned time of the pieces of one stage of a route.
type LearnedPieceTime struct {
	Route  string
	Stage  int
	Factor float64
}
