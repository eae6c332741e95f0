package gather

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// One target of four is in a data centre that has a third of the engines. Requests with
// large results that are all read there wait for that target. The read costs must show this
// before an engine is chosen. Small results may be read anywhere.
func TestReadCostsReflectBusyTargets(t *testing.T) {
	r := newRig(t)
	config := smallBatch
	config.ResultCapacity = 64 << 20
	r.service("a", config, "x", "x", "x", "y")
	large := func(id, dataCentre string) Request {
		q := chain(id, 4)
		q.Stages[0].ResultBytes = 1 << 20
		q.DataCentre = dataCentre
		return q
	}
	request := large("request", "")
	idle := r.planner.ReadCosts(r.now, &request)
	require.Zero(t, idle("x"))
	require.Zero(t, idle("y"))
	require.Equal(t, CrossingCost(4<<20), idle("z"), "no target there: all results cross data centres")

	for i := range 6 {
		r.submit(large(fmt.Sprint(i), "y"))
	}
	busy := r.planner.ReadCosts(r.now, &request)
	require.Zero(t, busy("x"))
	require.Greater(t, busy("y"), 100*time.Millisecond)
	require.LessOrEqual(t, busy("y"), CrossingCost(4<<20))

	small := chain("small", 4)
	require.Zero(t, r.planner.ReadCosts(r.now, &small)("y"))
}
