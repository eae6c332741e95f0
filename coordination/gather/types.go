package gather

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/pacing"
)

// ServiceConfig describes the targets of one service.
type ServiceConfig struct {
	// Slots is the number of calls that one target runs at once.
	Slots int
	// MaxPieces bounds the pieces of a call.
	MaxPieces int
	// CallTime is the fixed time of a call, PieceTime what each piece adds to it.
	CallTime, PieceTime time.Duration
	// ResultCapacity is the capacity of one target for results, in bytes.
	ResultCapacity int64
	// ResultTTL is how long a result is kept unless it is freed earlier.
	ResultTTL time.Duration
	// LinkRate is the rate of a target's link in bits a second; 0 if unknown.
	LinkRate int64
	// Pace limits the calls to each target.
	Pace pacing.Pace
}

// Target is one incarnation of a stage target.
type Target struct {
	Incarnation string
	// Name is the name of the target, which it keeps across restarts.
	Name       string
	Address    string
	DataCentre string
}

// Stage is one stage of a request.
type Stage struct {
	Service string
	// After lists the stages that this one depends on: each piece reads all their results.
	After []int
	// Pieces is the number of pieces; a stage with zero pieces is left out.
	Pieces int
	// ResultBytes is the usual size of one result.
	ResultBytes int64
}

// Request is a request for all results of the stages that no other stage reads.
type Request struct {
	ID string
	// Route names the kind of request; pieces of one kind take about the same time.
	Route string
	// Key is passed to pieces that read no other piece's result.
	Key string
	// Priority is the priority that the client account pays for, or that of the kind of
	// request if the account has none; 0 goes first. KindPriority is the kind's own: among
	// requests of one Priority, no kind is served less than a less urgent one.
	Priority, KindPriority int
	Stages                 []Stage
	// Objective is the time by which the caller should have its answer, Deadline the time
	// after which the answer is of no use.
	Objective, Deadline time.Time
	// Remaining is the time that the request needs after its stages.
	Remaining time.Duration
	// DataCentre is where the final results are read.
	DataCentre string
	// Account is the client account; empty if there is none.
	Account string
	// Fingerprint identifies the content of the request, so that a caller's retry is known by it.
	// It is empty if retries aren't told from new requests.
	Fingerprint string
	// MaxRetryDelay is the longest retry delay that the caller honours; 0 means any.
	MaxRetryDelay time.Duration
}

// pieces returns the number of pieces of each stage.
func (r Request) pieces() []int {
	pieces := make([]int, len(r.Stages))
	for i, s := range r.Stages {
		pieces[i] = s.Pieces
	}
	return pieces
}

// Piece is one piece of a call.
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

// PieceResult is the result of one piece.
type PieceResult struct {
	// Handle names the result at the target that produced it; it is empty if there is none.
	Handle  string
	Failure PieceFailure
}

// PieceFailure is the reason why a piece has no result.
type PieceFailure uint8

// Reasons why a piece has no result.
const (
	// PieceOK means no failure.
	PieceOK PieceFailure = iota
	// PieceDeadlineExceeded means that the piece's deadline passed before its turn.
	PieceDeadlineExceeded
	// PieceInputMissing means that a result it reads no longer exists.
	PieceInputMissing
	// PieceNoCapacity means that its result didn't fit.
	PieceNoCapacity
	// PieceFailed means that the target failed to run it.
	PieceFailed
)

// CallOutcome is how a call as a whole ended.
type CallOutcome uint8

// Outcomes of a call.
const (
	// CallAnswered means that there is a result for each piece.
	CallAnswered CallOutcome = iota
	// CallTargetFull means that the target had no free slot and ran nothing.
	CallTargetFull
	// CallWrongTarget means that another process was reached at the address; nothing ran.
	CallWrongTarget
	// CallUnanswered means that no answer arrived; the pieces may have run.
	CallUnanswered
	// CallTargetCrashed is CallUnanswered of a target whose process has ended.
	CallTargetCrashed
)

// Action is what the driver has to do.
type Action interface{ gatherAction() }

// StartCall sends pieces to a target. The driver reports the end by CallDone.
type StartCall struct {
	ID     uint64
	Target Target
	// Service is the target's service.
	Service string
	Pieces  []Piece
	// Timeout is the time after which the call counts as unanswered.
	Timeout time.Duration
}

// Completed has the results of a request whose stages are done: the handles of all pieces
// of the final stages, in their order.
type Completed struct {
	Request string
	Handles []string
	// Times has the times of each stage, all zero for a stage without pieces.
	Times []StageTimes
	// Route names the kind of request.
	Route string
	// Bytes has the total sizes of the results by data centre.
	Bytes map[string]int64
	// Elapsed is the time from the request's admission until now. Predicted is what its
	// stages were predicted to take at admission, zero for a request imported from another
	// queue. TimeToObjective is the time from its admission to its objective.
	Elapsed, Predicted, TimeToObjective time.Duration
}

// StageTimes is when a stage could be sent, was last sent and last ended, relative to the
// request's admission.
type StageTimes struct {
	Ready, Sent, Done time.Duration
}

// Refused is the refusal of a request, whose own target has not been called.
type Refused struct {
	Request string
	Reason  Reason
	// RetryAfter is the time after which the request could be served.
	RetryAfter time.Duration
	// Needed is the predicted time that the rest of the request takes, TimeToDeadline the
	// time until its deadline. Both are zero for a refusal without a prediction.
	Needed, TimeToDeadline time.Duration
	// Account is the request's client account. Reserved is true if capacity is reserved for the
	// caller's retry.
	Account  string
	Reserved bool
}

// FreeResults asks a target to free results.
type FreeResults struct {
	Target  Target
	Service string
	Handles []string
	// Urgent is true if the target needs the capacity for its next call.
	Urgent bool
}

func (StartCall) gatherAction()   {}
func (Completed) gatherAction()   {}
func (Refused) gatherAction()     {}
func (FreeResults) gatherAction() {}

// Reason is why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	// ReasonQueueTooLong means that the work ahead leaves no time for the request.
	ReasonQueueTooLong Reason = "queue_too_long"
	// ReasonDeadlineTooNear means that the rest takes longer than the time to the deadline.
	ReasonDeadlineTooNear Reason = "deadline_too_near"
	// ReasonNoTarget means that a service has no target.
	ReasonNoTarget Reason = "no_stage_target"
	// ReasonStageFailed means that pieces failed too often.
	ReasonStageFailed Reason = "stage_failed"
	// ReasonCrashesStageTargets means that targets crashed under calls with its pieces, the
	// last of them under a call without other pieces.
	ReasonCrashesStageTargets Reason = "crashes_stage_targets"
	// ReasonIDInUse means that another request has the id.
	ReasonIDInUse Reason = "id_in_use"
	// ReasonTooManyRequests means that the planner holds the maximum number of requests.
	ReasonTooManyRequests Reason = "too_many_requests"
	// ReasonStopping means that the request won't be done before the planned stop of its
	// requester.
	ReasonStopping Reason = "stopping"
)
