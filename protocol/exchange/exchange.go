// Package exchange defines the typed messages of relayed requests: the request of
// a caller, the request to a target and the response of the target. A Dialect
// converts them from and to the headers and bodies of a wire protocol; all other
// packages use only these types.
package exchange

import (
	"net/http"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/targetlimit"
)

// CallerRequest holds the fields of a caller's request headers.
type CallerRequest struct {
	// ID is the id that the caller gave this attempt.
	ID string
	// Timeout is how long the caller waits; 0 if the request does not state it.
	Timeout time.Duration
	// APIKey is the secret of the client account; empty if the request has none.
	APIKey string
	// ResumeAfter is the id of the last event of a stream that the caller received.
	ResumeAfter string
	// Resumes is the id of the attempt that brought the first event of that stream; empty if
	// the request doesn't state it.
	Resumes string
	Model   string
	// PromptTokens is the size of the prompt and OutputTokens the maximum size of
	// the response.
	PromptTokens, OutputTokens int
	Prefix                     []routing.PrefixPart
	// PieceCounts is the number of pieces of each stage.
	PieceCounts []int
	PieceKey    string
	// MaxRetryDelay is the longest retry delay that the caller honours; 0 means any.
	MaxRetryDelay time.Duration
	// OutputHint is the caller's estimate of the response's tokens; 0 if the request has none.
	OutputHint int
}

// TargetRequest holds the fields of an attempt that are sent to a target.
type TargetRequest struct {
	// Remaining is the time until the deadline of the attempt.
	Remaining time.Duration
	// Target is the name of the only target that may accept the attempt.
	Target string
	// Account is the client account's name; empty without one.
	Account  string
	Priority int
	// ToEngine is set if the target is an engine, which schedules by Priority.
	ToEngine bool
	// Inputs holds the handles of the stages' results.
	Inputs []string
	// ResumeAfter is the id of the last event that the caller received.
	ResumeAfter string
}

// TargetResponse holds the fields of a target's response headers.
type TargetResponse struct {
	// ID is the id of the request that the response belongs to; empty if the
	// response does not state it.
	ID string
	// NotRun is set if the target guarantees that it did not run the request.
	NotRun bool
	// WrongTarget is set if another process now has the target's address.
	WrongTarget bool
	// Signed is set if the response carries the target's signature.
	Signed bool
	// InputsMissing is set if results that the request needs no longer exist.
	InputsMissing bool
	// Limit is what the response says about the requests that the target accepts from all
	// instances together. LimitInvalid is set if that can't be read.
	Limit        targetlimit.Statement
	LimitInvalid bool
	// Load is what the response says about the target's load; nil if it says nothing.
	Load *TargetLoad
	// IdleTimeout is how long the target keeps an idle connection; 0 if the
	// response does not state it.
	IdleTimeout time.Duration
}

// TargetLoad is the load of a target, as the target states it.
type TargetLoad struct {
	// Running and Waiting are numbers of requests, Slots is how many may run at once.
	Running, Waiting, Slots int
	// Slowdown is how much longer than usual work takes at the moment: 1 is usual; 0 if not stated.
	Slowdown float64
}

// Dialect is the encoding of the messages in a wire protocol.
type Dialect interface {
	// ParseCallerRequest parses a caller's request. An error names the invalid
	// header.
	ParseCallerRequest(r *http.Request) (CallerRequest, error)
	// TargetRequestHeader returns the header of an attempt: the caller's header, in
	// which the fields that the system controls are replaced by those of r.
	TargetRequestHeader(caller http.Header, r TargetRequest) http.Header
	// ParseTargetResponse parses the status and header of a target's response.
	ParseTargetResponse(status int, h http.Header) TargetResponse
	// CallerResponseHeader returns the header of a target's response as it is sent
	// to the caller.
	CallerResponseHeader(h http.Header) http.Header
	// SetRequestID sets the request's id on a response that the system itself
	// generates.
	SetRequestID(h http.Header, id string)
	// NewStageRequest returns the request to run pieces, which only the target of
	// that name accepts.
	NewStageRequest(address, target string, pieces []gather.Piece, now time.Time) (*http.Request, error)
	// ParseStageResponse parses the body of the response to a stage request.
	ParseStageResponse(body []byte) ([]gather.PieceResult, error)
	// NewFreeRequest returns the request to free the results with the given handles.
	NewFreeRequest(address, target string, handles []string) (*http.Request, error)
}
