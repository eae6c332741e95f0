// Package callerapi holds the typed messages between callers and an instance.
// docs/api/callers.md is the contract.
package callerapi

// Headers of a request and its answer.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderSchemaVersion chooses the schema version of the pipeline; without
	// it the oldest one in force serves.
	HeaderSchemaVersion = "Ivyhollow-Schema-Version"
	HeaderRequestID     = "Request-Id"
	HeaderRetryAfter    = "Retry-After"
)

// Media types.
const (
	MediaJSON    = "application/json"
	MediaStream  = "text/event-stream"
	MediaProblem = "application/problem+json"
)

// Outcome says what became of the work behind a request.
type Outcome string

// The outcomes. A refusal with OutcomeNotRun is a promise: no stage that may
// not be repeated was or ever will be run for it.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeRan     Outcome = "ran"
	OutcomeUnknown Outcome = "unknown"
)

// Part is one shared part of a prompt, in order.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Request is the body of POST /v1/pipelines/{pipeline}/requests.
type Request struct {
	Input     string `json:"input"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Prefix    []Part `json:"prefix,omitempty"`
}

// Answer is the whole answer to a request.
type Response struct {
	RequestID     string `json:"request_id"`
	Pipeline      string `json:"pipeline"`
	SchemaVersion int    `json:"schema_version"`
	Output        string `json:"output"`
	Tokens        int    `json:"tokens,omitempty"`
}

// Events of a streamed answer: token events carry the offset as id and
// TokenEvent as data, one done event carries Answer, one error event Problem.
const (
	EventToken = "token"
	EventDone  = "done"
	EventError = "error"
)

// TokenEvent is one token of a streamed answer.
type TokenEvent struct {
	Token string `json:"token"`
}

// Problem is a refusal or failure, as application/problem+json (RFC 9457).
type Problem struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail,omitempty"`
	RequestID string  `json:"request_id,omitempty"`
	Outcome   Outcome `json:"outcome"`
	// Step and Peer tell where the failure arose.
	Step string `json:"step,omitempty"`
	Peer string `json:"peer,omitempty"`
	// Field names the offending field of a bad request.
	Field        string `json:"field,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// RequestStatus is the answer of GET /v1/requests/{id}.
type RequestStatus struct {
	RequestID     string `json:"request_id"`
	Pipeline      string `json:"pipeline"`
	SchemaVersion int    `json:"schema_version"`
	Account       string `json:"account"`
	Tier          string `json:"tier"`
	// State is "running", "answered" or "failed".
	State      string        `json:"state"`
	Outcome    Outcome       `json:"outcome,omitempty"`
	DeadlineMS int64         `json:"deadline_ms"`
	ElapsedMS  int64         `json:"elapsed_ms"`
	Stages     []StageStatus `json:"stages"`
}

// StageStatus tells how one stage fared.
type StageStatus struct {
	Stage    string          `json:"stage"`
	Attempts []AttemptStatus `json:"attempts"`
}

// AttemptStatus tells how one attempt fared.
type AttemptStatus struct {
	AttemptID string `json:"attempt_id"`
	Target    string `json:"target"`
	// Result is "ok", "not_run", "failed", "late", "cancelled" or "running".
	Result        string `json:"result"`
	ElapsedMS     int64  `json:"elapsed_ms"`
	WorkMS        int64  `json:"work_ms"`
	Tokens        int    `json:"tokens,omitempty"`
	PrefillTokens int    `json:"prefill_tokens,omitempty"`
	Error         string `json:"error,omitempty"`
}
