package gather

import (
	"math"
	"time"
)

// State is what a planner holds, for the planner of another instance to go on with.
// It travels between instances; one that knows other fields than the sender refuses
// it, and each goes on with its own. All times are what is left of them, negative for
// the past, since clocks differ.
type State struct {
	Requests []RequestState
	Calls    []CallState
	Targets  []TargetState
	Times    []LearnedTimes
}

// unset stands for a time that isn't set.
const unset = time.Duration(math.MinInt64)

// left is what is left of a time.
func relativeTo(now, t time.Time) time.Duration {
	if t.IsZero() {
		return unset
	}
	return t.Sub(now)
}

// until is the time of which so much is left.
func absoluteFrom(now time.Time, d time.Duration) time.Time {
	if d == unset {
		return time.Time{}
	}
	return now.Add(d)
}

// HeldWork is an admitted request with what is made of it.
type RequestState struct {
	ID, Route, Key         string
	Priority, KindPriority int
	Stages                 []Stage
	Objective, Deadline    time.Duration
	Remaining              time.Duration
	DataCentre             string

	AdmittedAt time.Duration
	// Begun, Lifted, Bounded and Completed are as in work.
	Started, Boosted, DeadlineShortened, Completed bool
	// Progress has an entry for each stage.
	Progress []StageState
}

// HeldStage is how far a stage is. What is neither in Todo nor in Results is in a
// call.
type StageState struct {
	Pending                                   []int
	Results                                   []ResultState
	Resends                                   int
	ReadySince, InputsReadAt, SentAt, EndedAt time.Duration
}

// HeldResult is a result at its maker.
type ResultState struct {
	Index  int
	Handle string
	// Target is the maker's index in State.Targets.
	Target    int
	ExpiresAt time.Duration
	Freed     bool
}

// HeldCall is a call in progress. Who sent it passes its end on.
type CallState struct {
	// ID is the call's number at the planner that sent it.
	ID uint64
	// Target is an index in State.Targets.
	Target int
	Pieces []PieceState
	Bytes  int64
	// Started, Overdue, ReadBy and Expires are as in call.
	StartedAt, OverdueAt, InputsReadAt, TimeoutAt time.Duration
	ExpectedDuration                              time.Duration
	Hedged, InputsFreed                           bool
}

// HeldPiece is a piece in a call. One of a request that is no longer held takes room
// of the given size until the call ends.
type PieceState struct {
	Request      string
	Stage, Index int
	Bytes        int64
}

// HeldTarget is what is known of a target.
type TargetState struct {
	Service                                string
	Incarnation, Name, Address, DataCentre string
	// Ended tells that the process is gone, since another took its name.
	Replaced                           bool
	Slowness                           float64
	Answered                           bool
	DownUntil                          time.Duration
	UnansweredCalls, UnsuccessfulCalls int
	// Occupied is room that is taken by what nobody can free.
	Reserved []ReservedCapacity
}

// HeldRoom is room that is taken for a time.
type ReservedCapacity struct {
	Bytes int64
	Until time.Duration
}

// HeldTimes are the learned times of a service, as multiples of the configured ones.
type LearnedTimes struct {
	Service    string
	CallFactor float64
	Pieces     []LearnedPieceTime
}

// HeldPieceTime is the learned time of the pieces of one stage of a route.
type LearnedPieceTime struct {
	Route  string
	Stage  int
	Factor float64
}
