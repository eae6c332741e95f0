package experiment

import (
	"time"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Sizes shared by both organisations.
const (
	Instances   = 8
	DataCentres = 3
	accounts    = 5
	documents   = 300
)

// Shape is an organisation's set-up.
type Shape struct {
	Name string
	// ClientDelay is one way between a client and an instance.
	ClientDelay time.Duration
	Objective   catalog.Objective
	Tiers       []TierShape
	Stages      []StageShape
}

// TierShape is a class of service and its part of the traffic.
type TierShape struct {
	Name     string
	Deadline time.Duration
	Share    float64
}

// StageShape is a stage and the pool that runs it.
type StageShape struct {
	Name    string
	Pool    string
	Kind    catalog.PoolKind
	Targets int
	Slots   int
	// Time is the mean work of a request on an idle target; for an engine it
	// follows from the tokens instead.
	MeanTime time.Duration
	// Reports tells whether the targets report their load.
	ReportsLoad bool
	// Share is the part of the requests that have the stage.
	Share      float64
	Repeatable bool
}

// The model of an engine: prompts are an account's part, a document's part and
// a tail of their own; only the first two can be cached.
const (
	accountTokens    = 800
	documentTokens   = 900
	tailTokens       = 150
	meanOutputTokens = 50
	prefillTime      = 150 * time.Microsecond // for a token
	decodeTime       = 10 * time.Millisecond  // for a token
	cacheTokens      = 24_000
	// batchSlowdown is how much slower a full batch is than a single request.
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

// Periyar is Periyar Pipeworks Consolidated: attainment first.
func Periyar() Shape {
	return Shape{"periyar", 3 * time.Millisecond, catalog.ObjectiveAttainment, tierShapes(), stageShapes()}
}

// Fjallaskali is Fjallaskáli Catering: cost first.
func Fjallaskali() Shape {
	return Shape{"fjallaskali", 1 * time.Millisecond, catalog.ObjectiveCost, tierShapes(), stageShapes()}
}

// capacity returns the nominal requests a second: what the engines carry with
// full batches when the account's part is cached and the document's is not.
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

// enginePool is the pool whose targets cache prompts.
const enginePool = "engines"

// mean returns the usual work of a request on an idle target.
func (s *StageShape) meanIdleTime() time.Duration {
	if s.Kind == catalog.KindEngine {
		return (documentTokens+tailTokens)*prefillTime + meanOutputTokens*decodeTime
	}
	return s.MeanTime
}
