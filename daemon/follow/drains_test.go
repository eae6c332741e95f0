package follow

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/routes"
)

// drainBound is the time from the acknowledgement of a drain until no request may reach the data
// centre. What is on its way to a send then needs a part of it.
const drainBound = 5 * time.Second

// withDrains has the followers of a fleet follow drains. Each target is in a data centre of its own.
func withDrains(all bool) func(fl *fleet, i int, o *Options) {
	return func(fl *fleet, i int, o *Options) {
		o.Fleet = fleetView{fl, i, all}
		o.Source.DrainKind = "drains"
		o.Source.DecodeTarget = func(name string, _ []byte) (routes.Target, error) {
			return routes.Target{Name: name, Service: "s", DataCentre: "dc-" + name}, nil
		}
	}
}

func (fl *fleet) requireUsable(want ...string) {
	for i := range fl.followers {
		if !fl.isIsolated(i) {
			require.Equal(fl.t, want, fl.usableAt(i), "follower %d", i)
		}
	}
}

// A drain has to be in force on every instance in time, whatever the store did before: a watch that
// was lost in a silence would keep an instance ignorant of it.
func TestDrainIsInForceAfterSilence(t *testing.T) {
	for _, c := range fleets {
		silences(coarseStep, func(begins, lasts time.Duration) {
			t.Run(fmt.Sprint(c.size, " at ", begins, " for ", lasts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fl := newFleet(t, c.size, withDrains(c.all))
					fl.sleep(begins)
					fl.store.silent(lasts)
					fl.sleep(lasts + settledAfter)
					fl.store.put("drains", "dc-a", "{}")
					fl.store.put("drains", "unknown", "{}")
					fl.sleep(drainBound / 2)
					fl.requireUsable("b", "c")
					fl.store.put("drains", "dc-c", "not even JSON")
					fl.store.put("drains", "dc-a", "")
					fl.sleep(drainBound / 2)
					fl.requireUsable("a", "b")
				})
			})
		})
	}
}

// All watches are lost without a failure, a drain is requested, and the one instance that would
// notice is cut off.
func TestDrainIsInForceAfterLostWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 10, withDrains(false))
		fl.sleep(5 * time.Second)
		fl.store.loseWatches()
		fl.store.put("drains", "dc-b", "{}")
		fl.sleep(drainBound)
		fl.requireUsable("a", "c")
		for i := range fl.followers {
			drains := fl.followers[i].Drains()
			require.Len(t, drains, 1)
			require.Equal(t, "dc-b", drains[0].DataCentre)
		}
	})
}

// An instance that starts while a data centre is drained must not use it, also before it knows the
// drains, and must not be ready then: its targets alone would let requests through.
func TestTargetsAwaitDrains(t *testing.T) {
	h := newRecordingFollower()
	h.options.Source.DrainKind = "drains"
	h.event("a", 1, "ready 100")
	h.applyTargetList(platformapi.List{Revision: 2, Items: []platformapi.Object{{
		Metadata: platformapi.Metadata{Name: "a", Revision: 1}, Spec: []byte("ready 100"),
	}}})
	require.Empty(t, h.usable)
	require.False(t, h.Ready())
	require.False(t, h.Usable("a@100"))
	h.applyDrainList(platformapi.List{Revision: 3})
	require.Equal(t, []string{"a@100"}, h.usable)
	require.True(t, h.Ready())
	require.True(t, h.Usable("a@100"))
}

// An instance that the store refuses hears of drains and of their end from its peers only. The
// recording targets have no data centre, so that a drain under an empty name applies to them.
func TestDrainFromPeer(t *testing.T) {
	h := newRecordingFollower()
	h.event("a", 1, "ready 100")
	h.Receive(spread.Record{Kind: recordDrain, Revision: 5})
	require.Empty(t, h.usable)
	require.False(t, h.Usable("a@100"))
	h.Receive(spread.Record{Kind: recordDrain, Revision: 4, Deleted: true})
	require.Empty(t, h.usable, "the removal of an earlier record")
	h.Receive(spread.Record{Kind: recordDrain, Revision: 6, Deleted: true})
	require.Equal(t, []string{"a@100"}, h.usable)
}

// The store forgot its history, and the removal of a record with it. The next list ends the drain
// here, and the others are told.
func TestMissedEndOfDrainIsGossiped(t *testing.T) {
	h := newRecordingFollower()
	h.event("a", 1, "ready 100")
	record := platformapi.Object{Metadata: platformapi.Metadata{Revision: 5}}
	h.applyDrainEvent(platformapi.Event{Object: record})
	require.Empty(t, h.usable)
	h.applyDrainList(platformapi.List{Revision: 9})
	require.Equal(t, []string{"a@100"}, h.usable)
	require.Equal(t, spread.Record{Kind: recordDrain, Revision: 9, Deleted: true}, h.gossiped[len(h.gossiped)-1])
}
