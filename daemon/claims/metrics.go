package claims

import "github.com/uber-go/tally/v4"

// metrics are the metrics of a Service, in the scope "claims".
type metrics struct {
	scope        tally.Scope
	queued       tally.Gauge
	dropped      tally.Counter
	recordedLate tally.Counter
	swept        tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	sub := scope.SubScope("claims")
	return metrics{
		scope:        sub,
		queued:       sub.Gauge("outcomes_queued"),
		dropped:      sub.Counter("outcomes_dropped"),
		recordedLate: sub.Counter("outcomes_recorded_late"),
		swept:        sub.Counter("swept"),
	}
}

// countBegin counts a Begin by its verdict.
func (m metrics) countBegin(b BeginResult) {
	m.scope.Tagged(map[string]string{"verdict": b.Verdict.String()}).Counter("begun").Inc(1)
}
