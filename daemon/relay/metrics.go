package relay

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics count the final responses and the failed attempts, and record durations.
type metrics struct {
	scope tally.Scope
	// Durations of the phases of a request. The timers are created at the start, so that they
	// are served before the first request.
	stagesWait, grantWait, firstEvent, longestPause tally.Timer
	// silentTargets counts the targets beside which others were sought.
	silentTargets tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("relay")
	return metrics{
		scope:        scope,
		stagesWait:   scope.Timer("stages_wait"),
		grantWait:    scope.Timer("grant_wait"),
		firstEvent:   scope.Timer("first_event"),
		longestPause: scope.Timer("longest_pause"),

		silentTargets: scope.Counter("silent_targets"),
	}
}

// recordResponse counts a final response. The reason is one of this package's own; a
// target's response has none.
func (m metrics) recordResponse(status int, reason string, elapsed time.Duration) {
	result := resultOf(status, reason)
	if reason == "" {
		reason = "none"
	}
	m.scope.Tagged(map[string]string{"result": result, "reason": reason}).Counter("requests").Inc(1)
	m.scope.Tagged(map[string]string{"result": result}).Timer("request_duration").Record(elapsed)
}

// recordTimings records the durations of a request's phases.
func (m metrics) recordTimings(t *timings) {
	if t.stagesWait > 0 {
		m.stagesWait.Record(t.stagesWait)
	}
	if t.grantWait > 0 {
		m.grantWait.Record(t.grantWait)
	}
	if t.firstEvent > 0 {
		m.firstEvent.Record(t.firstEvent)
	}
	if t.longestPause > 0 {
		m.longestPause.Record(t.longestPause)
	}
}

// resultOf returns the label value for the kind of a final response.
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

// recordFailedAttempt counts an attempt without a response.
func (m metrics) recordFailedAttempt(notRun bool) {
	outcome := "may_have_run"
	if notRun {
		outcome = "not_run"
	}
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("attempts_failed").Inc(1)
}

// recordReplacement counts an attempt that was abandoned for another one, of a target that was sought
// beside a silent one or of the silent one itself.
func (m metrics) recordReplacement(replaced bool) {
	wentOn := "silent_target"
	if replaced {
		wentOn = "other_target"
	}
	m.scope.Tagged(map[string]string{"outcome": wentOn}).Counter("attempts_abandoned").Inc(1)
}
