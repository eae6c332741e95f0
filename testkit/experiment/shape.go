package experiment

import (
	"time"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Sizes that both organisations share.
const (
	Instances   = 8
	DataCentres = 3
	accounts    = 5
	documents   = 300
)

// Shape is the deployment and the traffic of an organisation.
type Shape struct {
	Name string
	// ClientDelay is the one-way delay between a client and an instance.
	ClientDelay time.Duration
	Objective   catalog.Objective
	Tiers       []TierShape
	Stages      []StageShape
}

// TierShape is a tier and its share of the traffic.
type TierShape struct {
	Name     string
	Deadline time.Duration
	Share    float64
}

// StageShape is a stage and the pool of targets that runs it.
type StageShape struct {
	Name    string
	Pool    string
	Kind    catalog.PoolKind
	Targets int
	Slots   int
	// MeanTime is the mean processing time of a request on an idle target. It is
	// 0 for an engine, where the time follows from the number of tokens.
	MeanTime time.Duration
	// ReportsLoad is whether the targets report their load.
	ReportsLoad bool
	// Share is the share of the requests that have the stage.
	Share      float64
	Repeatable bool
}

// The model of an engine. A prompt consists of a part shared by the account, a
// part shared by the document and a tail of its own; only the shared parts can
// be cached.
const (
	accountTokens    = 800
	documentTokens   = 900
	tailTokens       = 150
	meanOutputTokens = 50
	prefillTime      = 150 * time.Microsecond // per token
	decodeTime       = 10 * time.Millisecond  // per token
	cacheTokens      = 24_000
	// batchSlowdown is the slowdown of a full batch against a single request, as
	// a share of the time of the single one.
	batchSlowdown = 0.3
)

func stageShapes() []StageShape {
	return []StageShape{
		{"encode", "encoders", catalog.KindEncoder, 5, 4, 100 * time.Millisecond, true, 1, true},
		{"retrieve", "retrievers", catalog.KindRetriever, 4, 4, 80 * time.Millisecond, true, 1, true},
		{"rerank", "rerankers", catalog.KindReranker, 3, 4, 60 * time.Millisecond, true, 1, true},
		{"generate", "engines", catalog.KindEngine, 12, 8, 0, true, 1, true},
		{"file", "ledger", catalog.KindService, 4, 2, 100 * time.Millisecond, false, 0.2, false},
	}
}

func tierShapes() []TierShape {
	return []TierShape{
		{"gold", 2500 * time.Millisecond, 0.2},
		{"silver", 3500 * time.Millisecond, 0.3},
		{"bronze", 5 * time.Second, 0.5},
	}
}

// Periyar returns the shape of Periyar Pipeworks Consolidated, whose objective
// is attainment.
func Periyar() Shape {
	return Shape{"periyar", 3 * time.Millisecond, catalog.ObjectiveAttainment, tierShapes(), stageShapes()}
}

// Fjallaskali returns the shape of Fjallaskáli Catering, whose objective is cost.
func Fjallaskali() Shape {
	return Shape{"fjallaskali", 1 * time.Millisecond, catalog.ObjectiveCost, tierShapes(), stageShapes()}
}

// capacity returns the nominal capacity in requests per second: the throughput
// of the engines with full batches when the account's part of each prompt is
// cached and the document's part is not.
func (s *Shape) capacity() float64 {
	tokens := float64(documentTokens + tailTokens)
	work := tokens*prefillTime.Seconds() + meanOutputTokens*decodeTime.Seconds()
	for _, stage := range s.Stages {
		if stage.Kind == catalog.KindEngine {
			return float64(stage.Targets*stage.Slots) / (work * (1 + batchSlowdown))
		}
	}
	return 0
}

// enginePool is the pool whose targets cache prompt prefixes.
const enginePool = "engines"

// meanIdleTime returns the mean processing time of a request on an idle target.
func (s *StageShape) meanIdleTime() time.Duration {
	if s.Kind == catalog.KindEngine {
		return (documentTokens+tailTokens)*prefillTime + meanOutputTokens*decodeTime
	}
	return s.MeanTime
}
