// Package callerapi defines the typed messages between callers and an instance.
// docs/api/callers.md is the contract.
package callerapi

// Headers of a request and its response.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderSchemaVersion selects the schema version of the pipeline; the default
	// is the oldest version in force.
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

// Outcome states whether the work of a request was run.
type Outcome string

// Outcomes. A refusal with OutcomeNotRun is a guarantee: no stage that may not be
// repeated was run for the request, or ever will be.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeRan     Outcome = "ran"
	OutcomeUnknown Outcome = "unknown"
)

// Part is one shared part of a prompt; the order of parts matters.
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

// Response is the complete response to a request.
type Response struct {
	RequestID     string `json:"request_id"`
	Pipeline      string `json:"pipeline"`
	SchemaVersion int    `json:"schema_version"`
	Output        string `json:"output"`
	Tokens        int    `json:"tokens,omitempty"`
}

// Events of a streamed response. A token event has the offset as id and TokenEvent
// as data. The data of the done event is Response, that of the error event Problem.
const (
	EventToken = "token"
	EventDone  = "done"
	EventError = "error"
)

// TokenEvent is one token of a streamed response.
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
	// Step and Peer state where the failure occurred.
	Step string `json:"step,omitempty"`
	Peer string `json:"peer,omitempty"`
	// Field is the invalid field of a bad request.
	Field        string `json:"field,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// RequestStatus is the response body of GET /v1/requests/{id}.
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

// StageStatus is the status of one stage.
type StageStatus struct {
	Stage    string          `json:"stage"`
	Attempts []AttemptStatus `json:"attempts"`
}

// AttemptStatus is the status of one attempt.
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
