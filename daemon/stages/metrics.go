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
	// services has the services that have metrics of their own. It is used under the queue's mu.
	services map[string]bool
}

// maxServiceLabels bounds the services that have metrics of their own; a configuration has a few.
const maxServiceLabels = 32

// ofService returns the scope of a service, one for all services beyond the bound.
func (m metrics) ofService(name string) tally.Scope {
	if !m.services[name] {
		if len(m.services) >= maxServiceLabels {
			name = "other"
		} else {
			m.services[name] = true
		}
	}
	return m.scope.Tagged(map[string]string{"service": name})
}

// callFill records how many pieces a call carries, of at most most. It records nothing if most is 0.
func (m metrics) callFill(service string, pieces, most int) {
	if most > 0 {
		m.ofService(service).Counter("call_pieces").Inc(int64(pieces))
		m.ofService(service).Counter("call_max_pieces").Inc(int64(most))
	}
}

// binding records which services bind.
func (m metrics) binding(services map[string]bool) {
	for name, binds := range services {
		value := 0.0
		if binds {
			value = 1
		}
		m.ofService(name).Gauge("binding").Update(value)
	}
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("stages")
	return metrics{
		scope:    scope,
		services: map[string]bool{},
		elapsed:  scope.Timer("taken"),
		longer:   scope.Timer("longer_than_predicted"),
		shorter:  scope.Timer("shorter_than_predicted"),
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
	for outcome, n := range map[string]int{"given": c.Given, "used": c.Used, "expired": c.Expired} {
		if n > 0 {
			m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("reservations").Inc(int64(n))
		}
	}
}
