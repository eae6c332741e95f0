package placing

import "time"

// Part is a part of a prompt that other requests may read too.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what an engine reads of a request.
type Prompt struct {
	// Pool is the service whose engines may serve the request; empty where an engine
	// isn't to be chosen.
	Pool string
	// Parts are in their order. The last one belongs to the request or its session.
	Parts []Part
	// Tokens is the length of the whole prompt.
	Tokens int
	// Exclude lists incarnations that may not serve the request.
	Exclude []string
}

// Engine is one incarnation of an engine.
type Engine struct {
	Incarnation string
	// Name is kept when the engine starts again.
	Name       string
	DataCentre string
}

// Pool is how the engines of a service work.
type Pool struct {
	Name string
	// CacheTokens is the room for prompts at each engine; 0 where it isn't known.
	CacheTokens int
}

// Choice is the engine of a request.
type Choice struct {
	Engine Engine
	// First is the predicted time to its first event, Idle what that would be if the
	// engine read nothing before it.
	FirstEvent, FirstEventIdle time.Duration
	// unread is the number of tokens that the engine is to read.
	uncached  int
	queueWait time.Duration
}

// Served is what became of a request at an engine.
type RequestEnd struct {
	Request string
	// Engine is the incarnation that was asked last; empty if none was.
	Engine string
	// First is the time from the sending to the first event; 0 without one.
	FirstEvent time.Duration
}
