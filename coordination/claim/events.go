package claim

import "time"

// Event is what a Call is told: an answer of the store or of a peer.
type Event interface{ event() }

// The events.
type (
	// Written: the store has confirmed the Create or TakeOver.
	Written struct{ Revision uint64 }
	// Exists: the store holds this claim: the answer to a Read, or the reason
	// why a Create or TakeOver was refused.
	Exists struct {
		Record   Record
		Revision uint64
	}
	// Absent: the store holds no claim of the key.
	Absent struct{}
	// StoreAway: the store did nothing and never will.
	StoreUnavailable struct {
		// RetryAfter is the least time before another try, 0 when unknown.
		RetryAfter time.Duration
	}
	// AnswerLost: the write may have been done, or may be done later.
	ResponseLost struct{}
	// ReadFailed: a Read got no answer.
	ReadFailed struct{}
	// PeerSaid: the claimant has answered.
	PeerResponded struct{ Response StatusResponse }
	// PeerAway: the claimant is dead or can't be reached.
	PeerUnreachable struct{}
	// Waited: the time of a Wait has come.
	Waited struct{}
)

func (Written) event()          {}
func (Exists) event()           {}
func (Absent) event()           {}
func (StoreUnavailable) event() {}
func (ResponseLost) event()     {}
func (ReadFailed) event()       {}
func (PeerResponded) event()    {}
func (PeerUnreachable) event()  {}
func (Waited) event()           {}

// Action is what the driver does next. Each but Decide is answered by one
// event to Call.Step.
type Action interface{ action() }

// The actions.
type (
	// Create asks the store to create the claim if it is absent.
	Create struct{ Record Record }
	// Read asks the store for the claim.
	Read struct{}
	// TakeOver asks the store to replace the claim at Revision.
	TakeOver struct {
		Revision uint64
		Record   Record
	}
	// Ask asks the token's claimant what became of it.
	RequestStatus struct{ Token Token }
	// Wait waits until a time.
	Wait struct{ Until time.Time }
	// Decide ends the call.
	Decide struct{ Decision Decision }
)

func (Create) action()        {}
func (Read) action()          {}
func (TakeOver) action()      {}
func (RequestStatus) action() {}
func (Wait) action()          {}
func (Decide) action()        {}

// Verdict is how a call's claim ends.
type Verdict int

// The verdicts.
const (
	// VerdictRun: the call holds the claim and may dispatch.
	VerdictRun Verdict = iota + 1
	// VerdictReplay: the key has run; Decision.Kept is its outcome.
	VerdictReplay
	// VerdictConflict: the key was used with another body.
	VerdictConflict
	// VerdictNotRun: this call has dispatched nothing and never will.
	VerdictNotRun
	// VerdictUnknown: an earlier call of the key may have run.
	VerdictUnknown
)

var verdictNames = [...]string{"none", "run", "replay", "conflict", "not_run", "unknown"}

// String returns the verdict's name.
func (v Verdict) String() string { return verdictNames[v] }

// Decision is the end of a Call.
type Decision struct {
	Verdict Verdict
	// Revision of the claim in the store, with VerdictRun.
	Revision uint64
	// Kept is the outcome to replay, with VerdictReplay.
	Result *StoredResult
	// Reason says in a few words how the decision came about.
	Reason string
	// RetryAfter is the store's wish with VerdictNotRun, 0 when unknown.
	RetryAfter time.Duration
	// StoreSilent, with VerdictNotRun, says that the store gave no answer
	// about the key: whether an earlier call with it ran isn't known.
	NoStoreResponse bool
}
