package confsync_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
)

// A tier changes while something between the platform and the watchers fails. All eight
// instances must use the new deadline within 3 s, and never an older configuration after a
// newer one.
func TestChangeIsInForceEverywhereInTime(t *testing.T) {
	watches := []emulator.CallKind{emulator.CallWatch}
	cases := map[string]func(f *fleet){
		"no fault":                  func(*fleet) {},
		"two of three watches mute": func(f *fleet) { f.store.SetFaults(emulator.Faults{Instances: []string{"i0", "i2"}, MuteWatches: true}) },
		"every watch mute":          func(f *fleet) { f.store.SetFaults(emulator.Faults{MuteWatches: true}) },
		"every watch silent":        func(f *fleet) { f.store.SetFaults(emulator.Faults{Calls: watches, Down: emulator.FailSilence}) },
		"every watch refused":       func(f *fleet) { f.store.SetFaults(emulator.Faults{Calls: watches, Down: emulator.FailRefuse}) },
		"every watch skips":         func(f *fleet) { f.store.SetFaults(emulator.Faults{SkipEvents: 3}) },
		"history compacted":         func(f *fleet) { f.store.SetFaults(emulator.Faults{DropHistory: true}) },
		"two watchers without store": func(f *fleet) {
			f.store.SetFaults(emulator.Faults{Instances: []string{"i0", "i1"}, Down: emulator.FailRefuse})
		},
		"writer and next killed": func(f *fleet) { f.instances[0].kill(); f.instances[1].kill() },
		"a watcher partitioned":  func(f *fleet) { f.instances[0].set(func() { f.instances[0].partitioned = true }) },
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			eachPhase(t, func(t *testing.T, phase time.Duration) {
				f := newFleet(t)
				f.addN(8)
				f.advance(inForceBound + phase)
				fail(f)
				f.write("tiers", "gold", tierSpec(700))
				f.advance(inForceBound)
				for _, in := range f.instances {
					if !in.killed {
						assert.Equal(t, int64(700), in.deadline(), in.name)
					}
					assert.IsNonDecreasing(t, in.revisions, in.name)
				}
			})
		})
	}
}

// eachPhase runs a test with the fault at several phases of a watcher's list interval.
func eachPhase(t *testing.T, test func(t *testing.T, phase time.Duration)) {
	for phase := time.Duration(0); phase < 2*time.Second; phase += 110 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) { test(t, phase) })
	}
}

// A stale replica of the store serves lists and watches for a while. A tier must not
// revert, a deleted account must stay deleted, and a removed target must not get requests.
func TestStaleStoreRevertsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.write("accounts", "demo", accountSpec("gold", 1))
		f.store.RegisterTarget(target("t1"))
		f.addN(4)
		f.advance(inForceBound)
		assert.True(t, f.instances[3].hasTarget("t1"))

		f.write("tiers", "gold", tierSpec(700))
		assert.NoError(t, f.ops.Delete(t.Context(), "accounts", "demo", 0))
		f.store.RemoveTarget("t1")
		f.advance(inForceBound)
		f.store.RegisterTarget(target("t2"))
		f.advance(time.Millisecond)
		f.store.SetFaults(emulator.Faults{StaleBy: 12})
		f.addN(1) // starts while the store serves stale data
		f.advance(2 * inForceBound)
		f.instances[0].kill()
		f.advance(2 * inForceBound)
		for _, in := range f.instances {
			assert.Equal(t, int64(700), in.deadline(), in.name)
			assert.Zero(t, in.sync.Snapshot().Accounts.Len(), in.name)
			assert.False(t, in.hasTarget("t1"), in.name)
			assert.True(t, in.hasTarget("t2"), in.name)
			assert.IsNonDecreasing(t, in.revisions, in.name)
		}
	})
}

// Only the three watchers can't reach the store. The other instances can but don't watch
// it. A change must come into force nevertheless.
func TestChangeIsInForceWithoutWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.addN(8)
		f.advance(inForceBound)
		f.store.SetFaults(emulator.Faults{Instances: []string{"i0", "i1", "i2"}, Down: emulator.FailRefuse})
		f.write("tiers", "gold", tierSpec(700))
		f.advance(time.Minute) // 2 s on average
		for _, in := range f.instances {
			assert.Equal(t, int64(700), in.deadline(), in.name)
		}
		before := f.store.Calls().Reads
		f.store.SetFaults(emulator.Faults{})
		f.advance(time.Minute)
		assert.Less(t, f.store.Calls().Reads-before, uint64(60*20), "few reads in total")
	})
}

// An operator changes two records one after the other, and an instance receives the later
// one first. It must use it together with the previous version of the earlier one until
// that arrives too. No record may revert.
func TestRecordsArriveOutOfOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.addN(4)
		f.advance(inForceBound)
		separated := f.instances[3]
		separated.set(func() { separated.partitioned = true })
		f.write("accounts", "demo", accountSpec("gold", 1))
		f.write("tiers", "gold", tierSpec(700))
		f.advance(10 * time.Millisecond) // before it lists the store itself
		later, ok := f.instances[0].table.Get("tiers", "gold")
		assert.True(t, ok)
		earlier, ok := f.instances[0].table.Get("accounts", "demo")
		assert.True(t, ok)
		assert.Less(t, earlier.Revision, later.Revision)
		if separated.deadline() == 700 {
			t.Fatal("the instance has received the change already")
		}
		separated.sync.Receive([]spread.Record{later})
		f.advance(time.Millisecond)
		assert.Equal(t, int64(700), separated.deadline())
		assert.Zero(t, separated.sync.Snapshot().Accounts.Len())
		separated.sync.Receive([]spread.Record{earlier})
		f.advance(time.Millisecond)
		assert.Equal(t, int64(700), separated.deadline())
		assert.Equal(t, 1, separated.sync.Snapshot().Accounts.Len())
		assert.IsNonDecreasing(t, separated.revisions)
	})
}
