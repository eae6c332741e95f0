// Package exchange holds the typed messages of relayed requests: what a caller's
// headers say, what a target is told and what its reply says. A Dialect turns
// them into the headers and bodies of a wire; everything else of the product
// knows only these types.
package exchange

import (
	"net/http"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
)

// Call is what a caller's headers say of a request.
type CallerRequest struct {
	// ID is the caller's id of this attempt.
	ID string
	// Wait is how long the caller waits; 0 if it doesn't say.
	Timeout time.Duration
	// Key is the caller's secret; empty if it sent none.
	APIKey string
	// ResumeAfter is the last event that the caller has of a stream.
	ResumeAfter string
	Model       string
	// PromptTokens and OutputTokens are the size of a prompt and the bound of
	// its answer.
	PromptTokens, OutputTokens int
	Prefix                     []routing.PrefixPart
	// Pieces is the number of pieces of each stage.
	PieceCounts []int
	PieceKey    string
}

// Send is what a target is told of an attempt.
type TargetRequest struct {
	// Left is the time until the attempt is of no use any more.
	Remaining time.Duration
	// Target is the name of the only one that may take the attempt.
	Target string
	// Account is the client account's name; empty without one.
	Account  string
	Priority int
	// Prompt tells that the target is an engine, which orders by Priority.
	ToEngine bool
	// Inputs are the handles of the stages' results.
	Inputs []string
	// ResumeAfter is the last event that the caller has.
	ResumeAfter string
}

// Reply is what a target's headers say.
type TargetResponse struct {
	// ID is the request that the reply belongs to; empty if it doesn't say.
	ID string
	// NotRun tells that the target certainly didn't run the request.
	NotRun bool
	// WrongTarget tells that another process has the address.
	WrongTarget bool
	// Genuine tells that the reply bears the target's signature.
	Signed bool
	// InputsGone tells that results which the request needs no longer exist.
	InputsMissing bool
	// KeepIdle is how long the target keeps an idle connection; 0 if it doesn't
	// say.
	IdleTimeout time.Duration
}

// Dialect is how a wire spells the messages.
type Dialect interface {
	// ParseCall reads a caller's request. An error names the header at fault.
	ParseCallerRequest(r *http.Request) (CallerRequest, error)
	// TargetHeader is the header of an attempt: the caller's, without what the
	// system sets itself, with what it sets.
	TargetRequestHeader(caller http.Header, s TargetRequest) http.Header
	ParseTargetResponse(status int, h http.Header) TargetResponse
	// CallerHeader is a reply's header as the caller gets it.
	CallerResponseHeader(h http.Header) http.Header
	// StampAnswer sets the request's id on an answer of the system's own.
	SetRequestID(h http.Header, id string)
	// StageCall is the request for pieces, for the target of that name alone.
	NewStageRequest(address, target string, pieces []gather.Piece, now time.Time) (*http.Request, error)
	ParseStageResponse(body []byte) ([]gather.PieceResult, error)
	// FreeCall is the request that gives results back.
	NewFreeRequest(address, target string, handles []string) (*http.Request, error)
}
