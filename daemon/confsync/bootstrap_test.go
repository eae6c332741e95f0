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

// partialStore is a store whose lists of some kinds fail.
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

// An instance starts during an outage of the store. It must get all records, targets and
// leaving marks from its peers, also if they exceed one page.
func TestBootstrapFromPeersDuringStoreOutage(t *testing.T) {
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
		joined := f.add(nil)
		f.advance(inForceBound)
		select {
		case <-joined.sync.Ready():
		default:
			t.Fatal("not ready")
		}
		assert.Equal(t, int64(900), joined.deadline())
		assert.Equal(t, many, joined.sync.Snapshot().Accounts.Len())
		assert.Len(t, joined.targets, many)
		assert.Equal(t, []string{"t7"}, joined.leaving)
		assert.True(t, joined.sync.Digest().Same(f.instances[0].sync.Digest()))
	})
}

// One kind can't be listed and there is no peer. No configuration may be in force, since
// half of one would refuse what the other half allows. Once the list succeeds, the
// instance must finish its bootstrap by itself.
func TestNothingIsInForceBeforeAllKindsAreListed(t *testing.T) {
	for _, failed := range append([]string{platformapi.KindTargets}, platformapi.RecordKinds...) {
		t.Run(failed, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				f.write("accounts", "demo", accountSpec("gold", 1))
				var available atomic.Bool
				in := f.add(func(s platform.Store) platform.Store {
					return partialStore{s, func(kind string) bool { return kind == failed && !available.Load() }}
				})
				f.advance(inForceBound)
				assert.Nil(t, in.sync.Snapshot())
				available.Store(true)
				f.advance(inForceBound)
				assert.Equal(t, 1, in.sync.Snapshot().Accounts.Len())
			})
		})
	}
}

// An instance starts while the store or its peers have stale data. It must use the newer
// of the two, and must not put an outdated configuration in force first.
func TestBootstrapUsesTheNewerOfStoreAndPeer(t *testing.T) {
	cases := map[string]struct {
		faults emulator.Faults
		alone  time.Duration // until the new instance finds its peers
	}{
		"the store is behind": {faults: emulator.Faults{Instances: []string{"i3"}, StaleBy: 4}},
		"the store is behind and peers are found after a delay": {faults: emulator.Faults{Instances: []string{"i3"}, StaleBy: 4}, alone: 300 * time.Millisecond},
		"the peers are behind": {faults: emulator.Faults{Instances: []string{"i0", "i1", "i2"}, Down: emulator.FailRefuse}},
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
				joined := f.newInstance()
				joined.set(func() { joined.partitioned = c.alone > 0 })
				f.start(joined, nil)
				f.advance(c.alone)
				joined.set(func() { joined.partitioned = false })
				f.advance(inForceBound)
				assert.Equal(t, int64(700), joined.deadline())
				assert.Equal(t, 1, joined.sync.Snapshot().Accounts.Len())
				assert.Len(t, joined.revisions, 1, "an older configuration must not be in force before")
			})
		})
	}
}

// While a new instance reads a peer's pages, an account is created and the peer reads a
// newer list. The earlier pages lack the account, so treating them as a list as of the
// later revision would delete it.
func TestRecordCreatedBetweenPagesIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.addN(1)
		calls := 0
		between := func() {
			if calls++; calls == 2 { // after the page of records, before that of targets
				f.write("accounts", "demo", accountSpec("gold", 1))
				time.Sleep(inForceBound) // virtual
				f.write("tiers", "batch", tierSpec(2000))
				time.Sleep(inForceBound) // virtual
			}
		}
		joined := f.newInstance()
		joined.set(func() { joined.onCall = between })
		f.start(joined, func(s platform.Store) platform.Store {
			return partialStore{s, func(string) bool { return true }}
		})
		f.advance(4 * inForceBound)
		assert.Greater(t, calls, 2)
		assert.Equal(t, 1, joined.sync.Snapshot().Accounts.Len())
	})
}
