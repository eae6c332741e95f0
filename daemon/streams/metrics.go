package streams

import (
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/resumption"
)

type metrics struct {
	scope   tally.Scope
	records tally.Gauge
	notKept tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("streams")
	return metrics{scope: scope, records: scope.Gauge("records"), notKept: scope.Counter("not_kept")}
}

// located counts a stream that a caller takes up again.
func (m *metrics) located(why resumption.Reason) {
	m.scope.Tagged(map[string]string{"result": string(why)}).Counter("taken_up").Inc(1)
}
