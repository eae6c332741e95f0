package claim

import "time"

// Event is an input of a Call: a response of the store or of a peer, or a timer.
type Event interface{ event() }

// The events.
type (
	// Written: the store confirmed the Create or TakeOver.
	Written struct{ Revision uint64 }
	// Exists: the store holds this claim. It is the response to a Read, or the
	// reason why a Create or TakeOver was refused.
	Exists struct {
		Record   Record
		Revision uint64
	}
	// Absent: the store holds no claim for the key.
	Absent struct{}
	// StoreUnavailable: the store did not apply the write and never will.
	StoreUnavailable struct {
		// RetryAfter is the least time before another attempt, 0 if unknown.
		RetryAfter time.Duration
	}
	// ResponseLost: the write may have been applied, or may be applied later.
	ResponseLost struct{}
	// ReadFailed: a Read got no response.
	ReadFailed struct{}
	// PeerResponded: the claimant has responded.
	PeerResponded struct{ Response StatusResponse }
	// PeerUnreachable: the claimant has failed or can't be reached.
	PeerUnreachable struct{}
	// Waited: a Wait has ended.
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

// Action is what the driver does next. After each one but Decide it passes one
// event to Call.Step.
type Action interface{ action() }

// The actions.
type (
	// Create creates the claim in the store if it is absent.
	Create struct{ Record Record }
	// Read reads the claim from the store.
	Read struct{}
	// TakeOver replaces the claim in the store if it is still at Revision.
	TakeOver struct {
		Revision uint64
		Record   Record
	}
	// RequestStatus requests the status of a token from its claimant.
	RequestStatus struct{ Token Token }
	// Wait waits until the given time.
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

// Verdict is the result of a call's attempt to claim its key.
type Verdict int

// The verdicts.
const (
	// VerdictRun: the call holds the claim and may dispatch.
	VerdictRun Verdict = iota + 1
	// VerdictReplay: the key has run; Decision.Result is its result.
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

// Decision is the final result of a Call.
type Decision struct {
	Verdict Verdict
	// Revision of the claim in the store, with VerdictRun.
	Revision uint64
	// Result is the stored result to replay, with VerdictReplay.
	Result *StoredResult
	// Reason describes in a few words how the decision was reached.
	Reason string
	// RetryAfter, with VerdictNotRun, is the delay that the store asked for, 0 if
	// unknown.
	RetryAfter time.Duration
	// NoStoreResponse, with VerdictNotRun, means that the store gave no response
	// about the key: it is unknown whether an earlier call with the key ran.
	NoStoreResponse bool
}
