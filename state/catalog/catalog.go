// Package catalog holds the domain types of an accepted configuration and the
// immutable snapshot that the request path reads. A snapshot is never changed
// once it is published: the request path loads a pointer and takes no lock.
package catalog

import "time"

// PoolKind says what the targets of a pool do.
type PoolKind string

// The kinds of pool.
const (
	KindEngine    PoolKind = "engine"
	KindEncoder   PoolKind = "encoder"
	KindRetriever PoolKind = "retriever"
	KindReranker  PoolKind = "reranker"
	KindService   PoolKind = "service"
)

// Objective says what a pool's routing weighs first.
type Objective string

// The objectives of a pool.
const (
	// ObjectiveAttainment prefers whole answers in time: it hedges and spreads.
	ObjectiveAttainment Objective = "attainment"
	// ObjectiveCost prefers little work per answer: it hedges less and keeps
	// requests near cached prefixes.
	ObjectiveCost Objective = "cost"
)

// PipelineKey names one definition: callers choose the schema version, so two
// definitions of one pipeline are in force side by side.
type PipelineKey struct {
	Name          string
	SchemaVersion int
}

// Pipeline is one accepted pipeline definition.
type Pipeline struct {
	Key      PipelineKey
	Revision uint64
	Stages   []Stage
	// Deadlines overrides the deadline of a tier for this pipeline.
	Deadlines map[string]time.Duration
	// MaxAttempts bounds how often one stage is sent to a target.
	MaxAttempts int
}

// Repeatable tells whether every stage of the pipeline may run more than once.
// A pipeline that is not repeatable needs an idempotency key and a claim.
func (p *Pipeline) Repeatable() bool {
	for i := range p.Stages {
		if !p.Stages[i].Repeatable {
			return false
		}
	}
	return true
}

// Stage is one step of a pipeline, run on one target of a pool.
type Stage struct {
	Name string
	Pool string
	// After lists the indices of the stages whose outputs this one needs; they
	// are always smaller than the stage's own index.
	After []int
	// Expected is the operator's estimate of the stage time, used until the
	// time is learned.
	ExpectedDuration time.Duration
	Repeatable       bool
	// Resumable streams may go on at another target from a token offset.
	Resumable bool
	// Model and Adapter constrain the engine; empty for other kinds of pool.
	Model   string
	Adapter string
	// MaxTokens bounds what a generation stage may produce.
	MaxTokens int
}

// Tier is a class of service that client accounts pay for.
type Tier struct {
	Name     string
	Revision uint64
	// Rank orders the tiers; 0 is the highest.
	Rank int
	// Deadline is end to end, unless the pipeline overrides it.
	Deadline time.Duration
	// EnginePriority is passed to model engines; 0 is the most urgent.
	EnginePriority int
}

// Account is one client account.
type Account struct {
	Name     string
	Revision uint64
	Tier     string
	// KeyHashes are the SHA-256 digests of the valid caller keys: two at most,
	// so that a key can be changed without a gap.
	KeyHashes [][32]byte
	// RequestsPerSecond is the budget over all instances; 0 means none.
	RequestsPerSecond float64
	// Burst is the number of requests that may come at once over all instances.
	Burst float64
}

// Pool is a set of targets that do the same work.
type Pool struct {
	Name      string
	Revision  uint64
	Kind      PoolKind
	Objective Objective
	// Slots is the number of requests that a target runs at once.
	Slots int
	// ChecksFencing tells whether the targets refuse orders with an old
	// fencing number.
	ChecksFencing bool
	// EjectionFloor is the least share of targets, 0 to 1, that stay routable
	// however badly they do.
	EjectionFloor float64
	// Desired is what the targets shall have; nil when the operators leave
	// that to others. Like the pool it is never changed once published.
	Desired *DesiredState
}

// Desired is what each target of a pool shall have. What it doesn't name is
// left as it is.
type DesiredState struct {
	Models   []string
	Adapters []string
	// Version and Role are empty when any will do.
	Version string
	Role    string
}

// Snapshot is one consistent, accepted configuration.
type Snapshot struct {
	// Revision is the platform's revision of the newest record in it.
	Revision  uint64
	Pipelines map[PipelineKey]*Pipeline
	// Versions lists the schema versions of a pipeline in rising order.
	SchemaVersions map[string][]int
	Tiers          map[string]*Tier
	Pools          map[string]*Pool
	// Accounts is shared in most of its parts between one snapshot and the
	// next, because there are far more accounts than other records.
	Accounts AccountTable
}

// Account finds an account by name.
func (s *Snapshot) Account(name string) (*Account, bool) { return s.Accounts.Get(name) }

// AccountByKey finds the account that a caller key's SHA-256 digest belongs to.
func (s *Snapshot) AccountByKey(hash [32]byte) (*Account, bool) { return s.Accounts.ByKey(hash) }

// Tier finds a tier by name.
func (s *Snapshot) Tier(name string) (*Tier, bool) {
	t, ok := s.Tiers[name]
	return t, ok
}

// Pool finds a pool by name.
func (s *Snapshot) Pool(name string) (*Pool, bool) {
	p, ok := s.Pools[name]
	return p, ok
}

// DeadlineFor returns the end-to-end deadline of a pipeline for a tier.
func (s *Snapshot) DeadlineFor(p *Pipeline, t *Tier) time.Duration {
	if d, ok := p.Deadlines[t.Name]; ok {
		return d
	}
	return t.Deadline
}

// Pipeline finds a definition. Schema version 0 stands for a caller that names
// none and gets the oldest one in force, so that applying a newer one never
// changes what an unchanged caller sees.
func (s *Snapshot) Pipeline(name string, schemaVersion int) (*Pipeline, bool) {
	if schemaVersion == 0 {
		versions := s.SchemaVersions[name]
		if len(versions) == 0 {
			return nil, false
		}
		schemaVersion = versions[0]
	}
	p, ok := s.Pipelines[PipelineKey{Name: name, SchemaVersion: schemaVersion}]
	return p, ok
}
