package cluster

import (
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
)

// metrics are the gauges and counters of the membership and the gossip.
type metrics struct {
	scope      tally.Scope
	version    tally.Gauge
	superseded tally.Counter
	// oversized counts the records that were too large to gossip.
	oversized tally.Counter
	// fetchFailures counts the records that a peer offered and didn't send.
	fetchFailures tally.Counter
	states        map[membership.State]tally.Gauge
	changes       map[membership.State]tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	s := scope.SubScope("membership")
	m := metrics{
		scope:         s,
		version:       s.Gauge("view_version"),
		superseded:    s.Counter("superseded"),
		oversized:     scope.SubScope("gossip").Counter("oversized"),
		fetchFailures: scope.SubScope("gossip").Counter("fetch_failures"),
		states:        make(map[membership.State]tally.Gauge),
		changes:       make(map[membership.State]tally.Counter),
	}
	for state := membership.Alive; state <= membership.Left; state++ {
		tagged := s.Tagged(map[string]string{"state": state.String()})
		m.states[state] = tagged.Gauge("members")
		m.changes[state] = tagged.Counter("changes")
	}
	return m
}

// maxLoggedChanges limits the members of one view change that are logged by name. A
// joining instance receives many members at once.
const maxLoggedChanges = 8

// reportChanges logs and counts the changed members between two views, and updates the
// gauges.
func (m *metrics) reportChanges(old, now *membership.View) {
	changes := 0
	for _, member := range now.Members {
		before, known := old.Find(member.Name)
		if known && before.State == member.State && before.Incarnation == member.Incarnation {
			continue
		}
		m.changes[member.State].Inc(1)
		if changes++; changes > maxLoggedChanges {
			continue
		}
		klog.InfoS("Member changed", "instance", member.Name, "address", member.Address,
			"dataCentre", member.DataCentre, "incarnation", member.Incarnation, "state", member.State.String())
	}
	if changes > maxLoggedChanges {
		klog.InfoS("More members changed", "count", changes-maxLoggedChanges, "live", len(now.Live()))
	}
	m.setCounts(now)
}

// setCounts sets the gauges of the view's version and of its members in each state.
func (m *metrics) setCounts(view *membership.View) {
	counts := make(map[membership.State]int)
	for _, member := range view.Members {
		counts[member.State]++
	}
	for state, gauge := range m.states {
		gauge.Update(float64(counts[state]))
	}
	m.version.Update(float64(view.Version))
}
