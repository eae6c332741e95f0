package confsync_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// partialStore fails some lists.
type partialStore struct {
	platform.Store
	fails func(kind string) bool
}

func (p partialStore) List(ctx context.Context, kind string) (platformapi.List, error) {
	if p.fails(kind) {
		return platformapi.List{}, platform.ErrRefused
	}
	return p.Store.List(ctx, kind)
}

// The store goes away, then an instance is born. It must serve callers, with
// the targets and without those that are leaving, from what peers hand on: more
// records and targets than one page holds.
func TestAnInstanceBornInAnOutageHasEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		const many = 600
		for i := range many {
			f.write("accounts", fmt.Sprint("a", i), accountSpec("gold", i+1))
			f.store.RegisterTarget(target(fmt.Sprint("t", i)))
			f.advance(inForceBound / 100)
		}
		f.addN(3)
		f.instances[2].sync.MarkLeaving("t7")
		f.store.SetFaults(emulator.Faults{Down: emulator.FailRefuse})
		f.advance(inForceBound)
		born := f.add(nil)
		f.advance(inForceBound)
		select {
		case <-born.sync.Ready():
		default:
			t.Fatal("not ready")
		}
		assert.Equal(t, int64(900), born.deadline())
		assert.Equal(t, many, born.sync.Snapshot().Accounts.Len())
		assert.Len(t, born.targets, many)
		assert.Equal(t, []string{"t7"}, born.leaving)
		assert.True(t, born.sync.Digest().Same(f.instances[0].sync.Digest()))
	})
}

// With the store away and no peer, nothing may be in force: half a
// configuration would refuse what the other half allows. Once it answers, the
// instance starts by itself.
func TestNothingIsInForceUntilAllOfItIsKnown(t *testing.T) {
	for _, failed := range append([]string{platformapi.KindTargets}, platformapi.RecordKinds...) {
		t.Run(failed, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				f.write("accounts", "demo", accountSpec("gold", 1))
				var answers atomic.Bool
				in := f.add(func(s platform.Store) platform.Store {
					return partialStore{s, func(kind string) bool { return kind == failed && !answers.Load() }}
				})
				f.advance(inForceBound)
				assert.Nil(t, in.sync.Snapshot())
				answers.Store(true)
				f.advance(inForceBound)
				assert.Equal(t, 1, in.sync.Snapshot().Accounts.Len())
			})
		})
	}
}

// An instance is born while the store answers from the past. Were the store
// believed, the instance would serve a configuration that was replaced.
func TestBirthTakesTheNewerOfStoreAndPeer(t *testing.T) {
	cases := map[string]struct {
		faults emulator.Faults
		alone  time.Duration // until it knows its peers
	}{
		"the store is behind":          {faults: emulator.Faults{Instances: []string{"i3"}, StaleBy: 4}},
		"and the peers are found late": {faults: emulator.Faults{Instances: []string{"i3"}, StaleBy: 4}, alone: 300 * time.Millisecond},
		"the peers are behind":         {faults: emulator.Faults{Instances: []string{"i0", "i1", "i2"}, Down: emulator.FailRefuse}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				f.addN(3)
				f.advance(inForceBound)
				f.store.SetFaults(c.faults)
				f.write("tiers", "gold", tierSpec(700))
				f.write("accounts", "demo", accountSpec("gold", 1))
				f.advance(inForceBound)
				born := f.newInstance()
				born.set(func() { born.partitioned = c.alone > 0 })
				f.start(born, nil)
				f.advance(c.alone)
				born.set(func() { born.partitioned = false })
				f.advance(inForceBound)
				assert.Equal(t, int64(700), born.deadline())
				assert.Equal(t, 1, born.sync.Snapshot().Accounts.Len())
				assert.Len(t, born.revisions, 1, "an older configuration must not be in force before")
			})
		})
	}
}

// While a new instance reads the peer's pages, an account is made and the peer
// reads a newer list. The pages before do not hold the account: taken for a list
// as of the later revision, they would delete it.
func TestARecordMadeBetweenPagesIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.addN(1)
		calls := 0
		between := func() {
			if calls++; calls == 2 { // the records are handed on, the targets not
				f.write("accounts", "demo", accountSpec("gold", 1))
				time.Sleep(inForceBound) // virtual
				f.write("tiers", "batch", tierSpec(2000))
				time.Sleep(inForceBound) // virtual
			}
		}
		late := f.newInstance()
		late.set(func() { late.onCall = between })
		f.start(late, func(s platform.Store) platform.Store {
			return partialStore{s, func(string) bool { return true }}
		})
		f.advance(4 * inForceBound)
		assert.Greater(t, calls, 2)
		assert.Equal(t, 1, late.sync.Snapshot().Accounts.Len())
	})
}
