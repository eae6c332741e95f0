// Package catalog holds the domain types of an accepted configuration and the
// immutable snapshot that the request path reads. A snapshot is never changed
// once it is published, so that the request path loads a pointer and acquires no
// lock.
package catalog

import "time"

// PoolKind is the kind of work that the targets of a pool do.
type PoolKind string

// The kinds of pool.
const (
	KindEngine    PoolKind = "engine"
	KindEncoder   PoolKind = "encoder"
	KindRetriever PoolKind = "retriever"
	KindReranker  PoolKind = "reranker"
	KindService   PoolKind = "service"
)

// Objective is what the routing of a pool optimises for.
type Objective string

// The objectives of a pool.
const (
	// ObjectiveAttainment optimises for complete answers within their deadline: it
	// hedges and distributes the load.
	ObjectiveAttainment Objective = "attainment"
	// ObjectiveCost optimises for little work per answer: it hedges less and
	// prefers targets that have cached the request's prefix.
	ObjectiveCost Objective = "cost"
)

// PipelineKey identifies one definition. Callers choose the schema version, so
// several definitions of a pipeline can be in force at once.
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
	// MaxAttempts bounds the number of attempts of one stage.
	MaxAttempts int
}

// Repeatable reports whether every stage of the pipeline may run more than once.
// Requests of a pipeline that is not repeatable need an idempotency key and a
// claim.
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
	// ExpectedDuration is the operator's estimate of the stage's duration, used
	// until enough durations have been observed.
	ExpectedDuration time.Duration
	Repeatable       bool
	// Resumable streams may continue at another target from a token offset.
	Resumable bool
	// Model and Adapter constrain the engine; empty for other kinds of pool.
	Model   string
	Adapter string
	// MaxTokens bounds the output of a generation stage.
	MaxTokens int
}

// Tier is a class of service that client accounts pay for.
type Tier struct {
	Name     string
	Revision uint64
	// Rank orders the tiers; 0 is the highest.
	Rank int
	// Deadline is the end-to-end time limit, unless the pipeline overrides it.
	Deadline time.Duration
	// EnginePriority is passed to model engines; 0 is the most urgent.
	EnginePriority int
}

// Account is one client account.
type Account struct {
	Name     string
	Revision uint64
	Tier     string
	// KeyHashes are the SHA-256 digests of the valid caller keys. There are at
	// most two, so that a key can be rotated without interruption.
	KeyHashes [][32]byte
	// RequestsPerSecond is the budget over all instances; 0 means none.
	RequestsPerSecond float64
	// Burst is the number of requests that may arrive at once over all instances.
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
	// ChecksFencing means that the targets refuse orders with an old fencing
	// number.
	ChecksFencing bool
	// EjectionFloor is the least share of targets, 0 to 1, that stay routable
	// regardless of their health.
	EjectionFloor float64
	// Desired is the desired state of the targets; nil if the operators leave it
	// to other systems. Like the pool it is never changed once published.
	Desired *DesiredState
}

// DesiredState is the desired state of each target of a pool. Whatever it does
// not specify is left unchanged.
type DesiredState struct {
	Models   []string
	Adapters []string
	// Version and Role are empty if any value is acceptable.
	Version string
	Role    string
}

// Snapshot is one consistent, accepted configuration.
type Snapshot struct {
	// Revision is the platform's revision of the newest record in it.
	Revision  uint64
	Pipelines map[PipelineKey]*Pipeline
	// SchemaVersions lists the schema versions of each pipeline in ascending
	// order.
	SchemaVersions map[string][]int
	Tiers          map[string]*Tier
	Pools          map[string]*Pool
	// Accounts shares most of its data with the previous snapshot, because there
	// are far more accounts than other records.
	Accounts AccountTable
}

// Account returns an account by name.
func (s *Snapshot) Account(name string) (*Account, bool) { return s.Accounts.Get(name) }

// AccountByKey returns the account of the caller key with the given SHA-256 digest.
func (s *Snapshot) AccountByKey(hash [32]byte) (*Account, bool) { return s.Accounts.ByKey(hash) }

// Tier returns a tier by name.
func (s *Snapshot) Tier(name string) (*Tier, bool) {
	t, ok := s.Tiers[name]
	return t, ok
}

// Pool returns a pool by name.
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

// Pipeline returns a pipeline definition. Schema version 0 stands for a caller
// that specifies none; it selects the oldest version in force, so that adding a
// newer one changes nothing for existing callers.
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
