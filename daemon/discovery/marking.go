package discovery

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
)

// Marking is the router for those who hear from targets themselves. A target
// that says it is leaving is taken out here and marked for all other instances,
// which would otherwise have to hear it from the target or from the platform's
// list, and that lags by seconds.
type MarkingTable struct {
	*routing.Table
	// Mark tells the other instances; it must not block.
	MarkLeaving func(incarnation string)
}

// Leaving takes a target out and marks it.
func (m MarkingTable) Leaving(now time.Time, incarnation string) {
	m.Table.Leaving(now, incarnation)
	m.MarkLeaving(incarnation)
}
