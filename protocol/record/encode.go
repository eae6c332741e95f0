package record

import (
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

type tierSpec struct {
	SchemaVersion  int   `json:"schema_version"`
	Rank           int   `json:"rank"`
	DeadlineMS     int64 `json:"deadline_ms"`
	EnginePriority int   `json:"engine_priority"`
}

type accountSpec struct {
	SchemaVersion  int       `json:"schema_version"`
	Tier           string    `json:"tier"`
	Keys           []keySpec `json:"keys"`
	RequestsPerSec float64   `json:"requests_per_s"`
	Burst          float64   `json:"burst"`
}

type keySpec struct {
	SHA256 string `json:"sha256"`
}

type pipelineSpec struct {
	SchemaVersion int              `json:"schema_version"`
	Pipeline      string           `json:"pipeline"`
	Stages        []stageSpec      `json:"stages"`
	DeadlinesMS   map[string]int64 `json:"deadlines_ms,omitempty"`
	MaxAttempts   int              `json:"max_attempts"`
}

type stageSpec struct {
	Name       string   `json:"name"`
	Pool       string   `json:"pool"`
	After      []string `json:"after,omitempty"`
	ExpectedMS int64    `json:"expected_ms"`
	Repeatable bool     `json:"repeatable"`
	Resumable  bool     `json:"resumable,omitempty"`
	Model      string   `json:"model,omitempty"`
	Adapter    string   `json:"adapter,omitempty"`
	MaxTokens  int      `json:"max_tokens,omitempty"`
}

// Encode returns the kind, the object name in the store and the spec of an item.
// A pipeline is encoded in the schema version of its key, a pool in the oldest
// version that can express it.
func Encode(item catalog.Item) (kind catalog.RecordKind, name string, spec json.RawMessage, err error) {
	var wire any
	switch it := item.(type) {
	case *catalog.Tier:
		kind, name, wire = catalog.RecordTiers, it.Name, encodeTier(it)
	case *catalog.Pool:
		kind, name, wire = catalog.RecordPools, it.Name, encodePool(it)
	case *catalog.Account:
		kind, name, wire = catalog.RecordAccounts, it.Name, encodeAccount(it)
	case *catalog.Pipeline:
		kind, name = catalog.RecordPipelines, PipelineObjectName(it.Key)
		wire, err = encodePipeline(it)
	default:
		err = errors.Newf("encode record: unknown item %T", item)
	}
	if err != nil {
		return kind, name, nil, err
	}
	spec, err = json.Marshal(wire)
	return kind, name, spec, errors.Wrap(err, "encode record")
}

func encodeTier(t *catalog.Tier) tierSpec {
	return tierSpec{SchemaVersion: 1, Rank: t.Rank, DeadlineMS: t.Deadline.Milliseconds(), EnginePriority: t.EnginePriority}
}

func encodeAccount(a *catalog.Account) accountSpec {
	spec := accountSpec{SchemaVersion: 1, Tier: a.Tier, RequestsPerSec: a.RequestsPerSecond, Burst: a.Burst}
	for _, hash := range a.KeyHashes {
		spec.Keys = append(spec.Keys, keySpec{SHA256: hex.EncodeToString(hash[:])})
	}
	return spec
}

func encodePipeline(p *catalog.Pipeline) (pipelineSpec, error) {
	spec := pipelineSpec{SchemaVersion: p.Key.SchemaVersion, Pipeline: p.Key.Name, MaxAttempts: p.MaxAttempts}
	spec.DeadlinesMS = encodeDeadlines(p.Deadlines)
	for i := range p.Stages {
		if p.Key.SchemaVersion == PipelineV1 && !fitsV1(p.Stages, i) {
			return spec, errors.Newf("encode record %s: stage %s needs schema version %d",
				PipelineObjectName(p.Key), p.Stages[i].Name, PipelineV2)
		}
		spec.Stages = append(spec.Stages, encodeStage(p, i))
	}
	return spec, nil
}

// fitsV1 reports whether schema version 1 can express a stage: it depends on
// exactly the stage before it and uses no field of a later version.
func fitsV1(stages []catalog.Stage, i int) bool {
	s := &stages[i]
	if s.Resumable || s.Adapter != "" {
		return false
	}
	if i == 0 {
		return len(s.After) == 0
	}
	return len(s.After) == 1 && s.After[0] == i-1
}

func encodeStage(p *catalog.Pipeline, i int) stageSpec {
	s := &p.Stages[i]
	spec := stageSpec{Name: s.Name, Pool: s.Pool, ExpectedMS: s.ExpectedDuration.Milliseconds(), Repeatable: s.Repeatable,
		Resumable: s.Resumable, Model: s.Model, Adapter: s.Adapter, MaxTokens: s.MaxTokens}
	if p.Key.SchemaVersion > PipelineV1 {
		for _, before := range s.After {
			spec.After = append(spec.After, p.Stages[before].Name)
		}
	}
	return spec
}

func encodeDeadlines(deadlines map[string]time.Duration) map[string]int64 {
	if len(deadlines) == 0 {
		return nil
	}
	wire := make(map[string]int64, len(deadlines))
	for tier, deadline := range deadlines {
		wire[tier] = deadline.Milliseconds()
	}
	return wire
}
