package stages

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
)

// metrics are the metrics of the holder of the queue.
type metrics struct {
	scope tally.Scope
	// elapsed is the time that the stages of a request took. longer and shorter are the
	// amounts by which this time was above or below the prediction.
	elapsed, longer, shorter tally.Timer
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("stages")
	return metrics{
		scope:   scope,
		elapsed: scope.Timer("taken"),
		longer:  scope.Timer("longer_than_predicted"),
		shorter: scope.Timer("shorter_than_predicted"),
	}
}

// call records the end of a call to a stage target.
func (m metrics) call(outcome string, elapsed time.Duration) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("calls").Inc(1)
	m.scope.Timer("call_duration").Record(elapsed)
}

// pieces counts pieces by result: produced, or why they weren't.
func (m metrics) pieces(result string, n int) {
	if n > 0 {
		m.scope.Tagged(map[string]string{"result": result}).Counter("pieces").Inc(int64(n))
	}
}

// completed records the time that the stages of a request took, and the amount by which it was
// above or below the prediction.
func (m metrics) completed(c gather.Completed) {
	m.elapsed.Record(c.Elapsed)
	if c.Predicted <= 0 {
		return
	}
	if over := c.Elapsed - c.Predicted; over > 0 {
		m.longer.Record(over)
	} else {
		m.shorter.Record(-over)
	}
}

// refused counts refused requests.
func (m metrics) refused(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("refused").Inc(1)
}

// reservations counts reservations for callers' retries by what became of them.
func (m metrics) reservations(c gather.ReservationCounts) {
	for event, n := range map[string]int{"given": c.Given, "used": c.Used, "expired": c.Expired} {
		if n > 0 {
			m.scope.Tagged(map[string]string{"event": event}).Counter("reservations").Inc(int64(n))
		}
	}
}
