// Package targetapi holds the typed messages of the interface that targets
// offer. docs/api/targets.md is the contract that stand-in and client both meet.
package targetapi

// Headers of a stage call and of its answer.
const (
	// HeaderAttempt carries the id of the attempt; the target echoes it.
	HeaderAttempt = "Attempt-Id"
	// HeaderRequest carries the id of the request the attempt belongs to.
	HeaderRequest = "Request-Id"
	// HeaderDeadline is how many milliseconds the answer is still of use.
	HeaderDeadline = "Deadline-Ms"
	// HeaderPriority is 0 (most urgent) to 9.
	HeaderPriority = "Priority"
	HeaderTier     = "Tier"
	// HeaderExpect names the incarnation the caller means; another one refuses.
	HeaderExpectIncarnation = "Expect-Incarnation"
	// HeaderIncarnation names the incarnation that answers.
	HeaderIncarnation = "Target-Incarnation"
	// HeaderNotRun is "true" when the target vouches that nothing was run.
	HeaderNotRun = "Not-Run"
	// HeaderLoad is "active,queued,slots" as of some moments ago.
	HeaderLoad = "Target-Load"
	// HeaderLeaving is "true" when the target is shutting down.
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

// RunRequest asks a target to run one stage.
type RunRequest struct {
	Stage string `json:"stage"`
	// Inputs are the outputs of the stages before, or the caller's input.
	Inputs    []string `json:"inputs"`
	Model     string   `json:"model,omitempty"`
	Adapter   string   `json:"adapter,omitempty"`
	MaxTokens int      `json:"max_tokens,omitempty"`
	Prefix    []Part   `json:"prefix,omitempty"`
	// ResumeFrom is the number of tokens that the caller already has.
	ResumeFrom int `json:"resume_from,omitempty"`
}

// RunAnswer is the whole answer of a stage that is not streamed.
type RunResponse struct {
	AttemptID string `json:"attempt_id"`
	Output    string `json:"output"`
	// Tokens generated, 0 for stages that generate none.
	Tokens int `json:"tokens,omitempty"`
	// PrefillTokens read because no cache held them.
	PrefillTokens int `json:"prefill_tokens,omitempty"`
	// WorkMS is how long the target worked, in milliseconds.
	WorkMS int64 `json:"work_ms"`
}

// Names of the events of a streamed answer (text/event-stream). A token event
// carries the token's offset, counted from 0, as its id and TokenEvent as its
// data; the stream ends with one done event carrying RunAnswer, whose Output
// is the whole text, or with an error event carrying Refusal.
const (
	EventToken = "token"
	EventDone  = "done"
	EventError = "error"
)

// TokenEvent is one generated token.
type TokenEvent struct {
	Token string `json:"token"`
}

// Refusal is the body of an answer that is not 200.
type Refusal struct {
	Error string `json:"error"`
	// RetryAfterMS is when to come back, in milliseconds; 0 when unknown.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// CancelRequest stops a running or queued attempt.
type CancelRequest struct {
	AttemptID string `json:"attempt_id"`
}

// Load is a target's own report, some hundred milliseconds old.
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
	// Fencing is the highest fencing number of the orders accepted.
	Fencing uint64 `json:"fencing,omitempty"`
}

// Order asks a target to load weights or to change its role.
type Order struct {
	ID string `json:"id"`
	// Fencing is the holder's fencing number. Some targets refuse an older
	// one than they have seen with 409; others ignore it.
	Fencing uint64 `json:"fencing"`
	// Action is one of the Action constants.
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

// CacheEvent tells that a part of a prompt came into the cache or left it.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Added bool   `json:"added"`
	Part  string `json:"part"`
}

// CacheEvents is a page of cache events: late, and some never arrive.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	Next        uint64       `json:"next"`
	// Lost says that events between the asked number and these are gone.
	Lost bool `json:"lost,omitempty"`
}

// KVMove exports or imports the cache of one part of a prompt.
type KVMove struct {
	Part   string `json:"part"`
	Tokens int    `json:"tokens"`
	// Source is the address to import from.
	Source string `json:"source,omitempty"`
}
