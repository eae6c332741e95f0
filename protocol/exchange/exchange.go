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
type Call struct {
	// ID is the caller's id of this attempt.
	ID string
	// Wait is how long the caller waits; 0 if it doesn't say.
	Wait time.Duration
	// Key is the caller's secret; empty if it sent none.
	Key string
	// ResumeAfter is the last event that the caller has of a stream.
	ResumeAfter string
	Model       string
	// PromptTokens and OutputTokens are the size of a prompt and the bound of
	// its answer.
	PromptTokens, OutputTokens int
	Prefix                     []routing.PrefixPart
	// Pieces is the number of pieces of each stage.
	Pieces   []int
	PieceKey string
}

// Send is what a target is told of an attempt.
type Send struct {
	// Left is the time until the attempt is of no use any more.
	Left time.Duration
	// Target is the name of the only one that may take the attempt.
	Target string
	// Account is the client account's name; empty without one.
	Account  string
	Priority int
	// Prompt tells that the target is an engine, which orders by Priority.
	Prompt bool
	// Inputs are the handles of the stages' results.
	Inputs []string
	// ResumeAfter is the last event that the caller has.
	ResumeAfter string
}

// Reply is what a target's headers say.
type Reply struct {
	// ID is the request that the reply belongs to; empty if it doesn't say.
	ID string
	// NotRun tells that the target certainly didn't run the request.
	NotRun bool
	// WrongTarget tells that another process has the address.
	WrongTarget bool
	// Genuine tells that the reply bears the target's signature.
	Genuine bool
	// InputsGone tells that results which the request needs no longer exist.
	InputsGone bool
	// KeepIdle is how long the target keeps an idle connection; 0 if it doesn't
	// say.
	KeepIdle time.Duration
}

// Dialect is how a wire spells the messages.
type Dialect interface {
	// ParseCall reads a caller's request. An error names the header at fault.
	ParseCall(r *http.Request) (Call, error)
	// TargetHeader is the header of an attempt: the caller's, without what the
	// system sets itself, with what it sets.
	TargetHeader(caller http.Header, s Send) http.Header
	ParseReply(status int, h http.Header) Reply
	// CallerHeader is a reply's header as the caller gets it.
	CallerHeader(h http.Header) http.Header
	// StampAnswer sets the request's id on an answer of the system's own.
	StampAnswer(h http.Header, id string)
	// StageCall is the request for pieces, for the target of that name alone.
	StageCall(address, target string, pieces []gather.Piece, now time.Time) (*http.Request, error)
	ParseStageReply(body []byte) ([]gather.PieceResult, error)
	// FreeCall is the request that gives results back.
	FreeCall(address, target string, handles []string) (*http.Request, error)
}
