package orders

import (
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/lease"
	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// competitor is a group whose competition for leases the test switches.
type competitor struct {
	competes atomic.Bool
	stop     func()
}

func startCompetitor(t *testing.T, store *emulator.Store, name string, f *fleet, s *atomic.Pointer[catalog.Snapshot]) *competitor {
	c := &competitor{}
	c.competes.Store(true)
	_, c.stop = startGroupAt(t, store.Local(name), name, f, s, func(string) bool { return c.competes.Load() })
	return c
}

func storedLease(t *testing.T, store *emulator.Store, pool string) (r lease.Record) {
	object, err := store.Local("operator").Get(t.Context(), platformapi.KindLeases, pool)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(object.Spec, &r))
	return r
}

// Members join, leave and are suspected wrongly. If a living holder gave its lease up whenever
// others rank before it, orders would stop for the predecessor's longest order each time.
func TestHolderKeepsItsLeaseWhenMembersChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, f := emulator.New(emulator.Options{}), newFleet(1)
		var s atomic.Pointer[catalog.Snapshot]
		s.Store(snapshotOf(1, "decode", "engines"))
		first := startCompetitor(t, store, "a", f, &s)
		time.Sleep(5 * time.Second)
		second := startCompetitor(t, store, "b", f, &s)
		for i := range 20 {
			first.competes.Store(i%2 == 1)
			time.Sleep(3 * time.Second)
			r := storedLease(t, store, "engines")
			require.Equal(t, "a-1", r.Holder)
			require.Equal(t, uint64(1), r.Fencing)
		}
		first.competes.Store(false)
		time.Sleep(time.Minute)
		r := storedLease(t, store, "engines")
		require.Equal(t, "a-1", r.Holder, "others rank before it for long")
		require.Equal(t, uint64(1), r.Fencing)

		store.SetFaults(emulator.Faults{Instances: []string{"a"}, Down: emulator.FailRefuse})
		time.Sleep(20 * time.Second)
		require.Equal(t, "b-1", storedLease(t, store, "engines").Holder)
		store.SetFaults(emulator.Faults{})
		first.competes.Store(true)
		time.Sleep(time.Minute)
		r = storedLease(t, store, "engines")
		require.Equal(t, "b-1", r.Holder, "an instance that comes back doesn't move the lease")
		require.Equal(t, uint64(2), r.Fencing)
		first.stop()
		second.stop()
	})
}

// The holder has died, and who is to succeed it changes with each member that comes or goes. If
// each change began the observation of the lease anew, nobody would ever acquire it.
func TestExpiredLeaseIsAcquiredWhileMembersChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, f := emulator.New(emulator.Options{}), newFleet(1)
		var s atomic.Pointer[catalog.Snapshot]
		s.Store(snapshotOf(1, "decode", "engines"))
		first := startCompetitor(t, store, "a", f, &s)
		time.Sleep(5 * time.Second)
		store.SetFaults(emulator.Faults{Instances: []string{"a"}, Down: emulator.FailRefuse})
		died := time.Now()
		second, third := startCompetitor(t, store, "b", f, &s), startCompetitor(t, store, "c", f, &s)
		third.competes.Store(false)
		for storedLease(t, store, "engines").Fencing == 1 {
			require.Less(t, time.Since(died), lease.DefaultTiming.Term+2*lease.DefaultTiming.RenewInterval)
			time.Sleep(4 * time.Second)
			second.competes.Store(!second.competes.Load())
			third.competes.Store(!third.competes.Load())
		}
		time.Sleep(5 * time.Second)
		require.Equal(t, uint64(2), storedLease(t, store, "engines").Fencing)
		first.stop()
		second.stop()
		third.stop()
	})
}

// An instance that no longer competes stops reading the lease. Otherwise each instance that
// ever competed would go on reading the store.
func TestFormerCompetitorStopsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, f := emulator.New(emulator.Options{}), newFleet(1)
		var s atomic.Pointer[catalog.Snapshot]
		s.Store(snapshotOf(1, "decode", "engines"))
		first := startCompetitor(t, store, "a", f, &s)
		time.Sleep(5 * time.Second)
		second := startCompetitor(t, store, "b", f, &s)
		time.Sleep(5 * time.Second)
		second.competes.Store(false)
		time.Sleep(lease.DefaultTiming.Term + 2*lease.DefaultTiming.RenewInterval)
		before := store.Calls().Kinds[platformapi.KindLeases].Reads
		time.Sleep(time.Minute)
		require.Equal(t, before, store.Calls().Kinds[platformapi.KindLeases].Reads)
		first.stop()
		second.stop()
	})
}
