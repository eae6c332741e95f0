package streams

import (
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/resumption"
)

type metrics struct {
	records tally.Gauge
	notKept tally.Counter
	// notStored counts the failed writes of services' versions.
	notStored tally.Counter
	// recordsNotStored counts the failed writes of this instance's records.
	recordsNotStored tally.Counter
	// takenUp counts the streams that callers take up again, by why their origin is known or unknown.
	takenUp map[resumption.Reason]tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("streams")
	m := metrics{records: scope.Gauge("records"), notKept: scope.Counter("not_kept"), notStored: scope.Counter("versions_not_stored"), recordsNotStored: scope.Counter("records_not_stored"), takenUp: map[resumption.Reason]tally.Counter{}}
	for _, why := range resumption.Reasons {
		m.takenUp[why] = scope.Tagged(map[string]string{"result": string(why)}).Counter("taken_up")
	}
	return m
}
