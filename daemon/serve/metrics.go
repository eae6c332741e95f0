package serve

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
)

// metrics counts responses by result. To bound the number of series, no label is an
// account or a request.
type metrics struct {
	answered tally.Counter
	notRun   tally.Counter
	ran      tally.Counter
	unknown  tally.Counter
	replayed tally.Counter
	duration tally.Timer
	// problems holds a counter for each known type of problem; other counts the
	// problems of any other type.
	problems map[string]tally.Counter
	other    tally.Counter
}

// problemTypes are the types of problem that callers can get.
var problemTypes = []string{
	typeUnauthenticated, typeBadRequest, typeNotFound, typeTooLarge,
	typeKeyRequired, typeKeyReused, typeBudget, typeOverload, typeCrashes, typeStore,
	typeDeadline, typeTarget, typeOutcomeUnknown, typeStarting, typeNotKept,
}

func newMetrics(scope tally.Scope) *metrics {
	result := func(name string) tally.Counter {
		return scope.Tagged(map[string]string{"result": name}).Counter("requests")
	}
	problem := func(kind string) tally.Counter {
		return scope.Tagged(map[string]string{"reason": kind}).Counter("request_problems")
	}
	problems := make(map[string]tally.Counter, len(problemTypes))
	for _, kind := range problemTypes {
		problems[kind] = problem(kind)
	}
	return &metrics{
		answered: result("answered"),
		notRun:   result("not_run"),
		ran:      result("ran"),
		unknown:  result("unknown"),
		replayed: result("replayed"),
		duration: scope.Timer("request_duration"),
		problems: problems,
		other:    problem("other"),
	}
}

func (m *metrics) record(p *callerapi.Problem, took time.Duration) {
	m.duration.Record(took)
	if p != nil {
		m.problemCounter(p.Type).Inc(1)
	}
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

// problemCounter returns the counter for a type of problem.
func (m *metrics) problemCounter(kind string) tally.Counter {
	if c, ok := m.problems[kind]; ok {
		return c
	}
	return m.other
}
