// Package targetapi defines the typed messages of the targets' HTTP interface.
// docs/api/targets.md is the contract of the emulator and the client.
package targetapi

// Headers of a stage call and of its response.
const (
	// HeaderAttempt is the id of the attempt; the target echoes it.
	HeaderAttempt = "Attempt-Id"
	// HeaderRequest is the id of the request that the attempt belongs to.
	HeaderRequest = "Request-Id"
	// HeaderDeadline is the time until the deadline, in milliseconds.
	HeaderDeadline = "Deadline-Ms"
	// HeaderPriority ranges from 0 (most urgent) to 9.
	HeaderPriority = "Priority"
	HeaderTier     = "Tier"
	// HeaderExpectIncarnation is the incarnation that the call is meant for; any
	// other incarnation refuses it.
	HeaderExpectIncarnation = "Expect-Incarnation"
	// HeaderIncarnation is the incarnation that responds.
	HeaderIncarnation = "Target-Incarnation"
	// HeaderNotRun is "true" if the target guarantees that nothing was run.
	HeaderNotRun = "Not-Run"
	// HeaderLoad is "active,queued,slots", slightly out of date.
	HeaderLoad = "Target-Load"
	// HeaderLeaving is "true" if the target is shutting down.
	HeaderLeaving = "Target-Leaving"
)

// Paths of the interface.
const (
	PathRun         = "/v1/run"
	PathCancel      = "/v1/cancel"
	PathLoad        = "/v1/load"
	PathHealth      = "/healthz"
	PathOrders      = "/v1/orders"
	PathCacheEvents = "/v1/cache-events"
	PathKVExport    = "/v1/kv/export"
	PathKVImport    = "/v1/kv/import"
)

// Part is one part of a prompt; targets cache parts in order.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// RunRequest is the request to run one stage.
type RunRequest struct {
	Stage string `json:"stage"`
	// Inputs holds the outputs of the preceding stages, or the caller's input.
	Inputs    []string `json:"inputs"`
	Model     string   `json:"model,omitempty"`
	Adapter   string   `json:"adapter,omitempty"`
	MaxTokens int      `json:"max_tokens,omitempty"`
	Prefix    []Part   `json:"prefix,omitempty"`
	// ResumeFrom is the number of tokens that the caller already received.
	ResumeFrom int `json:"resume_from,omitempty"`
}

// RunResponse is the complete response of a stage that is not streamed.
type RunResponse struct {
	AttemptID string `json:"attempt_id"`
	Output    string `json:"output"`
	// Tokens is the number of generated tokens, 0 for stages that generate none.
	Tokens int `json:"tokens,omitempty"`
	// PrefillTokens is the number of prompt tokens that were not cached.
	PrefillTokens int `json:"prefill_tokens,omitempty"`
	// WorkMS is the processing time of the target, in milliseconds.
	WorkMS int64 `json:"work_ms"`
}

// Events of a streamed response (text/event-stream). A token event has the token's
// offset, counted from 0, as id and TokenEvent as data. The stream ends with one
// done event with RunResponse as data, whose Output is the complete text, or with
// an error event with Refusal as data.
const (
	EventToken = "token"
	EventDone  = "done"
	EventError = "error"
)

// TokenEvent is one generated token.
type TokenEvent struct {
	Token string `json:"token"`
}

// Refusal is the body of a response whose status is not 200.
type Refusal struct {
	Error string `json:"error"`
	// RetryAfterMS is the time until a retry is useful, in milliseconds; 0 if
	// unknown.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// CancelRequest is the request to stop a running or queued attempt.
type CancelRequest struct {
	AttemptID string `json:"attempt_id"`
}

// Load is a target's report of its load, a few hundred milliseconds old.
type Load struct {
	Incarnation string   `json:"incarnation"`
	Active      int      `json:"active"`
	Queued      int      `json:"queued"`
	Slots       int      `json:"slots"`
	Leaving     bool     `json:"leaving,omitempty"`
	Models      []string `json:"models,omitempty"`
	Adapters    []string `json:"adapters,omitempty"`
	Version     string   `json:"version,omitempty"`
	Role        string   `json:"role,omitempty"`
	// Fencing is the highest fencing number of the accepted orders.
	Fencing uint64 `json:"fencing,omitempty"`
}

// Order is the request to load weights or to change the role.
type Order struct {
	ID string `json:"id"`
	// Fencing is the fencing number of the lease holder. Some targets refuse a
	// number lower than the highest one that they have received with 409; others
	// ignore it.
	Fencing uint64 `json:"fencing"`
	// Action is ActionLoadModel, ActionLoadAdapter, ActionSetVersion or
	// ActionSetRole.
	Action string `json:"action"`
	// Value is the model, adapter, version or role.
	Value string `json:"value"`
}

// Actions of an Order.
const (
	ActionLoadModel   = "load_model"
	ActionLoadAdapter = "load_adapter"
	ActionSetVersion  = "set_version"
	ActionSetRole     = "set_role"
)

// CacheEvent reports that a part of a prompt was added to the cache or removed
// from it.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Added bool   `json:"added"`
	Part  string `json:"part"`
}

// CacheEvents is a page of cache events. Events are delayed, and some are lost.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	Next        uint64       `json:"next"`
	// Lost is set if events between the requested number and these are no longer
	// available.
	Lost bool `json:"lost,omitempty"`
}

// KVMove is the request to export or import the cache of one part of a prompt.
type KVMove struct {
	Part   string `json:"part"`
	Tokens int    `json:"tokens"`
	// Source is the address to import from.
	Source string `json:"source,omitempty"`
}
