// Package explainapi defines the query and the answer of GET /explain on the admin address of an
// instance. docs/api/explain.md is the contract.
package explainapi

// Path is the path on the admin address.
const Path = "/explain"

// Names of the parameters of a query.
const (
	ParamRoute    = "route"
	ParamAccount  = "account"
	ParamPrefix   = "prefix"
	ParamTokens   = "tokens"
	ParamHint     = "hint"
	ParamPieces   = "pieces"
	ParamDeadline = "deadline"
)

// Deciders of a choice.
const (
	// RoleInstance is the instance that was asked.
	RoleInstance = "instance"
	// RoleHolder is the instance that holds the stage queue.
	RoleHolder = "holder"
)

// MaxCandidates bounds the candidates of an answer.
const MaxCandidates = 64

// Answer says where a request would be sent now, and why.
type Answer struct {
	Route string `json:"route"`
	// Service is the one of the route's services that the answer is about.
	Service   string  `json:"service,omitempty"`
	Account   string  `json:"account,omitempty"`
	DecidedBy Decider `json:"decided_by"`
	// StagesDecidedBy decides on the stages; nil if the route has none.
	StagesDecidedBy *Decider `json:"stages_decided_by,omitempty"`
	// KnowledgeAgeMS is the age of the asked instance's knowledge of the targets.
	KnowledgeAgeMS float64 `json:"knowledge_age_ms"`
	// Chosen is the incarnation of the chosen target, Reason the rule that chose it. Random is true if
	// another request may be sent elsewhere by chance.
	Chosen string `json:"chosen,omitempty"`
	Reason string `json:"reason,omitempty"`
	Random bool   `json:"random,omitempty"`
	// Candidates are in the order of increasing cost, those that can't be chosen last.
	Candidates []Candidate `json:"candidates"`
	// CandidatesOmitted counts the candidates beyond MaxCandidates.
	CandidatesOmitted int     `json:"candidates_omitted"`
	Stages            []Stage `json:"stages,omitempty"`
	// Refusal is set if the request would be refused.
	Refusal *Refusal  `json:"refusal,omitempty"`
	Unknown []Unknown `json:"unknown,omitempty"`
}

// Decider is who chooses the target.
type Decider struct {
	Role string `json:"role"`
	// Name is the instance's name; empty if it isn't known.
	Name string `json:"name,omitempty"`
}

// Candidate is a target of the service.
type Candidate struct {
	Target     string `json:"target"`
	DataCentre string `json:"data_centre,omitempty"`
	// State is "usable" or the reason for which the target is passed over.
	State        string  `json:"state"`
	EjectedMS    float64 `json:"ejected_ms,omitempty"`
	Chosen       bool    `json:"chosen"`
	CachedTokens int     `json:"cached_tokens,omitempty"`
	// Cost or Score has the terms of the choice, depending on how targets are chosen.
	Cost  *Cost  `json:"cost,omitempty"`
	Score *Score `json:"score,omitempty"`
	// AgeMS is the age of the latest information about the target; nil if there is none.
	AgeMS *float64 `json:"age_ms,omitempty"`
}

// Cost has the terms of a predicted cost, in milliseconds. The slowdown is the factor of the first four.
type Cost struct {
	WaitMS     float64 `json:"wait_ms"`
	OwnMS      float64 `json:"own_ms"`
	ReadingMS  float64 `json:"reading_ms"`
	MemoryMS   float64 `json:"memory_ms"`
	Slowdown   float64 `json:"slowdown"`
	CrossingMS float64 `json:"crossing_ms"`
	// PenaltyMS is added if the target can't be reached or gets no send in time; HomeMS is subtracted at
	// the home of the prompt.
	PenaltyMS float64 `json:"penalty_ms,omitempty"`
	HomeMS    float64 `json:"home_ms,omitempty"`
	// IncludedSlowdown is a slowdown that the first four contain already; 0 if they don't.
	IncludedSlowdown float64 `json:"included_slowdown,omitempty"`
	SumMS            float64 `json:"sum_ms"`
}

// Score has the terms of the score by which targets are chosen without a predicted cost: the estimated
// time of a request relative to an idle target.
type Score struct {
	Load          float64 `json:"load"`
	Slots         float64 `json:"slots"`
	Utilization   float64 `json:"utilization"`
	Slowdown      float64 `json:"slowdown"`
	CacheDiscount float64 `json:"cache_discount"`
	Sum           float64 `json:"sum"`
}

// Stage is the prediction for one stage of the request.
type Stage struct {
	Service string  `json:"service"`
	Pieces  int     `json:"pieces"`
	WaitMS  float64 `json:"wait_ms"`
	TimeMS  float64 `json:"time_ms"`
}

// Refusal is what the caller would be told.
type Refusal struct {
	Reason       string  `json:"reason"`
	RetryAfterMS float64 `json:"retry_after_ms"`
}

// Unknown is something that the instance can't know, and why.
type Unknown struct {
	What string `json:"what"`
	Why  string `json:"why"`
}
