package discovery

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
)

// MarkingTable is the routing table for callers that receive reports from targets. A
// target that reports itself as leaving is recorded in the table and marked for all other
// instances, which would otherwise learn it only from the target or from the platform's
// list, which lags by seconds.
type MarkingTable struct {
	*routing.Table
	// MarkLeaving notifies the other instances; it must not block.
	MarkLeaving func(incarnation string)
}

// Leaving records that a target is leaving and marks it.
func (m MarkingTable) Leaving(now time.Time, incarnation string) {
	m.Table.Leaving(now, incarnation)
	m.MarkLeaving(incarnation)
}
