package placing

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/pacing"
)

// Part is a segment of a prompt. Several requests may have it in common.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the prompt of a request to an engine.
type Prompt struct {
	// Pool is the service whose engines may serve the request; empty if no engine is to
	// be chosen.
	Pool string
	// Parts are in the order of the prompt. The last one is specific to the request or
	// its session.
	Parts []Part
	// Tokens is the length of the whole prompt.
	Tokens int
	// Exclude lists incarnations that may not serve the request.
	Exclude []string
	// Route and Account tell kinds of requests apart in the prediction of costs; they aren't sent with the prompt.
	Route   string `msgpack:"-"`
	Account string `msgpack:"-"`
	// Hint is the caller's estimate of the output tokens, MaxOutput their greatest number; 0 if unknown.
	Hint      int `msgpack:"-"`
	MaxOutput int `msgpack:"-"`
}

// Engine identifies one incarnation of an engine.
type Engine struct {
	Incarnation string
	// Name stays the same when the engine restarts.
	Name       string
	DataCentre string
}

// Pool describes the engines of a service.
type Pool struct {
	Name string
	// CacheTokens is the capacity of each engine's prompt cache; 0 if unknown.
	CacheTokens int
	// Slots is the number of requests that each engine runs at once; 0 if unknown.
	Slots int
	// Pace limits the requests to each engine.
	Pace pacing.Pace
}

// Choice is the engine chosen for a request.
type Choice struct {
	Engine Engine
	// FirstEvent is the predicted time to the request's first event, FirstEventIdle the
	// prediction for an engine without other prompts to process.
	FirstEvent, FirstEventIdle time.Duration
	// SendAfter is how long the request has to wait before it may be sent.
	SendAfter time.Duration
	// Limited is true if the engine names a limit.
	Limited bool
	// uncached is the number of prompt tokens that the engine has to process.
	uncached  int
	queueWait time.Duration
}

// RequestEnd reports the end of a request at an engine.
type RequestEnd struct {
	Request string
	// Engine is the last incarnation that the request was sent to; empty if there was none.
	Engine string
	// FirstEvent is the time from sending the request to its first event; 0 if none came.
	FirstEvent time.Duration

	// Running is true if the stream goes on, and its end will be reported too.
	Running bool `msgpack:"-"`
	// Duration is the time from sending the request to the end of its stream; 0 in a report of the
	// first event. Events is the number of its events, and Complete is true if it ended well.
	Duration time.Duration `msgpack:"-"`
	Events   int           `msgpack:"-"`
	Complete bool          `msgpack:"-"`
}

// EndsStream reports whether this is the second report of a request: the first one, of its first event,
// has released all else that the holder keeps for it.
func (e *RequestEnd) EndsStream() bool { return e.Duration > 0 }
