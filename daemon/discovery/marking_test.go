package discovery_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/discovery"
)

// A target reports that it is leaving. If it were recorded only in the local table, the
// other instances would send it requests until the platform's list shows it as leaving.
func TestMarkingTableMarksLeavingTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	table := routing.New(routing.Config{Instance: "one", LocalDataCentre: "a"})
	table.SetTargets(now, routing.Pool{Name: "p"}, []routing.Target{{Incarnation: "t1", Pool: "p", DataCentre: "a", Slots: 1}})
	var marked []string
	marking := discovery.MarkingTable{Table: table, MarkLeaving: func(incarnation string) { marked = append(marked, incarnation) }}
	marking.Leaving(now, "t1")
	assert.Equal(t, []string{"t1"}, marked)
	assert.True(t, table.Stats(now).Targets[0].Leaving)
}
