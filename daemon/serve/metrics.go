package serve

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
)

// metrics counts answers by result. No label is an account or a request.
type metrics struct {
	answered tally.Counter
	notRun   tally.Counter
	ran      tally.Counter
	unknown  tally.Counter
	replayed tally.Counter
	duration tally.Timer
}

func newMetrics(scope tally.Scope) *metrics {
	result := func(name string) tally.Counter {
		return scope.Tagged(map[string]string{"result": name}).Counter("requests")
	}
	return &metrics{
		answered: result("answered"),
		notRun:   result("not_run"),
		ran:      result("ran"),
		unknown:  result("unknown"),
		replayed: result("replayed"),
		duration: scope.Timer("request_duration"),
	}
}

func (m *metrics) ended(p *callerapi.Problem, took time.Duration) {
	m.duration.Record(took)
	switch {
	case p == nil:
		m.answered.Inc(1)
	case p.Outcome == callerapi.OutcomeNotRun:
		m.notRun.Inc(1)
	case p.Outcome == callerapi.OutcomeRan:
		m.ran.Inc(1)
	default:
		m.unknown.Inc(1)
	}
}
