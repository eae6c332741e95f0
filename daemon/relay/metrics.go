package relay

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics count the final answers and the attempts.
type metrics struct {
	scope tally.Scope
	// The times of a request's parts; made at the start, so that they are served before
	// the first request.
	stagesWait, firstEvent, longestPause tally.Timer
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("relay")
	return metrics{
		scope:        scope,
		stagesWait:   scope.Timer("stages_wait"),
		firstEvent:   scope.Timer("first_event"),
		longestPause: scope.Timer("longest_pause"),
	}
}

// ended counts a final answer. Reason is one of this package's own; an answer of a
// target has none.
func (m metrics) recordResponse(status int, reason string, elapsed time.Duration) {
	result := resultOf(status, reason)
	if reason == "" {
		reason = "none"
	}
	m.scope.Tagged(map[string]string{"result": result, "reason": reason}).Counter("requests").Inc(1)
	m.scope.Tagged(map[string]string{"result": result}).Timer("request_duration").Record(elapsed)
}

// took takes in the times of a request's parts.
func (m metrics) recordTimings(p *timings) {
	if p.stagesWait > 0 {
		m.stagesWait.Record(p.stagesWait)
	}
	if p.firstEvent > 0 {
		m.firstEvent.Record(p.firstEvent)
	}
	if p.longestPause > 0 {
		m.longestPause.Record(p.longestPause)
	}
}

// resultOf names the kind of a final answer.
func resultOf(status int, reason string) string {
	switch {
	case status == 0:
		return "cut"
	case reason == "":
		return "answered"
	case status == http.StatusServiceUnavailable:
		return "refused"
	case status >= http.StatusInternalServerError:
		return "failed"
	default:
		return "denied"
	}
}

// attempt counts the end of an attempt that brought no answer.
func (m metrics) recordFailedAttempt(notRun bool) {
	outcome := "may_have_run"
	if notRun {
		outcome = "not_run"
	}
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("attempts_failed").Inc(1)
}
