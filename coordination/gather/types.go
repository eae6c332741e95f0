package gather

import "time"

// Shape is how one target of a service works.
type ServiceConfig struct {
	// Slots is the number of calls that one target works on at once.
	Slots int
	// MaxPieces bounds the pieces of a call.
	MaxPieces int
	// CallTime is what a call takes, PieceTime what each piece adds to it.
	CallTime, PieceTime time.Duration
	// ResultBytes is a target's room for results.
	ResultCapacity int64
	// KeepFor is how long a result is kept that nobody frees.
	ResultTTL time.Duration
}

// Target is one incarnation of a stage target.
type Target struct {
	Incarnation string
	// Name is what the target answers to, and keeps when it starts again.
	Name       string
	Address    string
	DataCentre string
}

// Stage is one stage of a request.
type Stage struct {
	Service string
	// After lists the stages whose results each piece reads, all of them.
	After []int
	// Pieces is the number of pieces; a stage of none is left out.
	Pieces int
	// ResultBytes is the usual size of one result.
	ResultBytes int64
}

// Request asks for all results of the stages that no other stage reads.
type Request struct {
	ID string
	// Route names the kind of request, whose pieces take alike time.
	Route string
	// Key is passed to pieces that read no other piece's result.
	Key string
	// Priority is what the client account pays for, or that of the kind of request
	// where its account has none; 0 goes first. KindPriority is the kind's own: among
	// requests of one Priority, no kind gets less than a less urgent one.
	Priority, KindPriority int
	Stages                 []Stage
	// Objective is when the caller's answer is due to be on time, Deadline when
	// it is of no use any more.
	Objective, Deadline time.Time
	// Rest is what the request still takes after its stages.
	Remaining time.Duration
	// DataCentre is where the final results are read.
	DataCentre string
}

// pieces returns the number of pieces of each stage.
func (r Request) pieces() []int {
	pieces := make([]int, len(r.Stages))
	for i, s := range r.Stages {
		pieces[i] = s.Pieces
	}
	return pieces
}

// PieceOrder is one piece of a call.
type Piece struct {
	Request string
	Stage   int
	Index   int
	// Key is set for pieces that read no results, Inputs for the others.
	Key    string
	Inputs []string
	// Deadline is when the piece is of no use any more.
	Deadline time.Time
}

// PieceResult is what became of one piece.
type PieceResult struct {
	// Handle names the result at its maker; it is empty if there is none.
	Handle  string
	Failure PieceFailure
}

// PieceFailure is why a piece has no result.
type PieceFailure uint8

// The failures of a piece.
const (
	// PieceOK is no failure.
	PieceOK PieceFailure = iota
	// PieceLate ran out of time before its turn.
	PieceDeadlineExceeded
	// PieceInputGone reads a result that its maker no longer has.
	PieceInputMissing
	// PieceNoRoom found no room for its result.
	PieceNoCapacity
	// PieceFailed failed at the target.
	PieceFailed
)

// CallOutcome is how a call as a whole ended.
type CallOutcome uint8

// The outcomes of a call.
const (
	// CallAnswered has a result for each piece.
	CallAnswered CallOutcome = iota
	// CallFull was refused: the target has no place and ran nothing.
	CallTargetFull
	// CallWrongTarget reached another process at the address; nothing was run.
	CallWrongTarget
	// CallLost got no answer; the pieces may have been made.
	CallUnanswered
	// CallCrashed is CallLost, and its target has ended.
	CallTargetCrashed
)

// Action is what the driver is to do.
type Action interface{ gatherAction() }

// StartCall sends pieces to a target. The driver reports the end by CallDone.
type StartCall struct {
	ID     uint64
	Target Target
	// Service is the target's.
	Service string
	Pieces  []Piece
	// Timeout is when the call counts as lost.
	Timeout time.Duration
}

// Completed hands out the results of a request: the handles of all pieces of the
// final stages, in their order.
type Completed struct {
	Request string
	Handles []string
	// Times tells for each stage when it could be sent, was sent and was done,
	// counted from the request's admission; all zero for one without pieces.
	Times []StageTimes
	// Route names the kind of request.
	Route string
	// Bytes are the sizes of the results by the data centre in which they are.
	Bytes map[string]int64
	// Taken is the time from the request's admission to now, Predicted what its
	// stages were predicted to take then, zero for a request that was taken over from
	// another queue. Left is the time that there was then for an answer in time.
	Elapsed, Predicted, TimeToObjective time.Duration
}

// StageTimes are the times of one stage.
type StageTimes struct {
	Ready, Sent, Done time.Duration
}

// Refused gives a request up. Its own target has not been asked.
type Refused struct {
	Request string
	Reason  Reason
	// RetryAfter is when the request could be served.
	RetryAfter time.Duration
	// Needed is how long the rest of it was predicted to take, Left the time until
	// its deadline. Both are zero for a refusal that no prediction decided.
	Needed, TimeToDeadline time.Duration
}

// FreeResults gives back the room of results.
type FreeResults struct {
	Target  Target
	Handles []string
}

func (StartCall) gatherAction()   {}
func (Completed) gatherAction()   {}
func (Refused) gatherAction()     {}
func (FreeResults) gatherAction() {}

// Reason is why a request was given up.
type Reason string

// The reasons of a refusal.
const (
	// ReasonQueue tells that the work ahead leaves no time.
	ReasonQueueTooLong Reason = "queue_too_long"
	// ReasonDeadline tells that what is left takes longer than there is time.
	ReasonDeadlineTooNear Reason = "deadline_too_near"
	// ReasonNoTarget tells that a service has no target.
	ReasonNoTarget Reason = "no_stage_target"
	// ReasonRetries tells that pieces failed too often.
	ReasonStageFailed Reason = "stage_failed"
	// ReasonCrashes tells that targets ended under calls of its pieces, the last of them
	// under one that had no others.
	ReasonCrashesStageTargets Reason = "crashes_stage_targets"
	// ReasonIDInUse tells that another request has the id.
	ReasonIDInUse Reason = "id_in_use"
	// ReasonBound tells that the planner holds all requests that it may.
	ReasonTooManyRequests Reason = "too_many_requests"
	// ReasonStopping tells that it won't be done before its asker's planned stop.
	ReasonStopping Reason = "stopping"
)
