package confsync

import (
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// isObsoleteWrite reports whether a failed write of a status must not be retried, because
// the record was deleted, or has changed and its new version gets its own verdict.
func isObsoleteWrite(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, platform.ErrNotFound)
}

// metrics holds the metrics of a Sync.
type metrics struct {
	failures        tally.Counter
	revision        tally.Gauge
	verdictsWritten tally.Counter
	verdictsDue     tally.Gauge
	leavingByPeers  tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		failures:        scope.Counter("config_sync_failures"),
		revision:        scope.Gauge("config_revision"),
		verdictsWritten: scope.Counter("config_verdicts_written"),
		verdictsDue:     scope.Gauge("config_verdicts_due"),
		leavingByPeers:  scope.Counter("targets_leaving_by_peers"),
	}
}
