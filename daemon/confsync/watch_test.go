package confsync_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
)

// An operator changes a tier while something between the platform and the
// watchers fails. Callers must get the new deadline from all eight instances
// within 3 s, and never an older one after a newer.
func TestAChangeIsInForceEverywhere(t *testing.T) {
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
		"a watcher parted":       func(f *fleet) { f.instances[0].set(func() { f.instances[0].partitioned = true }) },
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

// eachPhase runs a test with the fault at several moments of a watcher's round.
func eachPhase(t *testing.T, test func(t *testing.T, phase time.Duration)) {
	for phase := time.Duration(0); phase < 2*time.Second; phase += 110 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) { test(t, phase) })
	}
}

// After its answers the store lags behind them: a replica from the past serves
// lists and watches for a while. A tier would go back, a deleted account would
// work again, and a target that is gone would get requests.
func TestAStoreFromThePastBringsNothingBack(t *testing.T) {
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
		f.addN(1) // born while the store answers from the past
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

// All three watchers lose the store, and only they. The others have it, but
// none of them watches: a change must come into force all the same.
func TestAChangeComesWithoutAnyWatcher(t *testing.T) {
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
		assert.Less(t, f.store.Calls().Reads-before, uint64(60*20), "few calls, whoever makes them")
	})
}

// An operator changes two records one after the other. They are passed on one by one,
// and an instance may hear of the later one first: it serves by it, and by the earlier
// one in the version before, until that comes too. Nothing goes back.
func TestALaterRecordMayComeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.addN(4)
		f.advance(inForceBound)
		far := f.instances[3]
		far.set(func() { far.partitioned = true })
		f.write("accounts", "demo", accountSpec("gold", 1))
		f.write("tiers", "gold", tierSpec(700))
		f.advance(10 * time.Millisecond) // before it asks for itself
		later, ok := f.instances[0].table.Get("tiers", "gold")
		assert.True(t, ok)
		earlier, ok := f.instances[0].table.Get("accounts", "demo")
		assert.True(t, ok)
		assert.Less(t, earlier.Revision, later.Revision)
		if far.deadline() == 700 {
			t.Fatal("the instance has heard of the change already")
		}
		far.sync.Receive([]spread.Record{later})
		f.advance(time.Millisecond)
		assert.Equal(t, int64(700), far.deadline())
		assert.Zero(t, far.sync.Snapshot().Accounts.Len())
		far.sync.Receive([]spread.Record{earlier})
		f.advance(time.Millisecond)
		assert.Equal(t, int64(700), far.deadline())
		assert.Equal(t, 1, far.sync.Snapshot().Accounts.Len())
		assert.IsNonDecreasing(t, far.revisions)
	})
}
