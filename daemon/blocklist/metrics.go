package blocklist

import "github.com/uber-go/tally/v4"

// The sources of records.
const (
	sourceLocal = "seen_here"
	sourcePeer  = "told_by_peer"
)

// The outcomes of requests for a trial.
const (
	trialGranted    = "granted"
	trialDenied     = "denied"
	trialUnanswered = "unanswered"
)

// metrics counts crashes, trials and the requests with records. The series are created at the
// start, so that they are served before the first crash.
type metrics struct {
	requests, blocked, blockedParts tally.Gauge
	// crashes is keyed by source, trials by outcome.
	crashes, trials map[string]tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("quarantine")
	m := metrics{
		requests: scope.Gauge("requests"), blocked: scope.Gauge("blocked"), blockedParts: scope.Gauge("blocked_parts"),
		crashes: map[string]tally.Counter{}, trials: map[string]tally.Counter{},
	}
	for _, source := range []string{sourceLocal, sourcePeer} {
		m.crashes[source] = scope.Tagged(map[string]string{"kind": source}).Counter("crashes")
	}
	for _, outcome := range []string{trialGranted, trialDenied, trialUnanswered} {
		m.trials[outcome] = scope.Tagged(map[string]string{"outcome": outcome}).Counter("trials")
	}
	return m
}

// updateSizes sets how many requests and parts have records, and how many requests and how many parts
// are blocked.
func (m metrics) updateSizes(recorded, blocked, blockedParts int) {
	m.requests.Update(float64(recorded))
	m.blocked.Update(float64(blocked))
	m.blockedParts.Update(float64(blockedParts))
}
