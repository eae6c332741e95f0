package stages

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics count what the holder of the queue does.
type metrics struct {
	scope tally.Scope
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{scope: scope.SubScope("stages")}
}

// call counts the end of a call to a stage target.
func (m metrics) call(outcome string, elapsed time.Duration) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("calls").Inc(1)
	m.scope.Timer("call_duration").Record(elapsed)
}

// pieces counts pieces that were made, or why they weren't.
func (m metrics) pieces(result string, n int) {
	if n > 0 {
		m.scope.Tagged(map[string]string{"result": result}).Counter("pieces").Inc(int64(n))
	}
}

// refused counts requests whose stages were given up.
func (m metrics) refused(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("refused").Inc(1)
}
