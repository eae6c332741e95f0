package confsync_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/configwire"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// A target reports to one instance that it is leaving, and the platform's list shows it
// only much later. Without the mark the other instances would keep sending it requests.
func TestLeavingMarkReachesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.store.RegisterTarget(target("t1"))
		f.addN(8)
		for range 3 {
			f.instances[7].sync.MarkLeaving("t1")
		}
		f.advance(inForceBound)
		for _, in := range f.instances[:7] {
			assert.Equal(t, []string{"t1"}, in.leaving, in.name)
		}
		assert.Empty(t, f.instances[7].leaving, "it set the mark itself")
	})
}

// A target leaves and disappears from the list. Its mark must be kept while the target is
// listed, be deleted some time afterwards, and not be set again by an outdated record from
// a peer that was partitioned.
func TestLeavingMarkExpiresAfterItsTargetIsUnlisted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.store.RegisterTarget(target("t1"))
		f.addN(4)
		f.instances[0].sync.MarkLeaving("t1")
		markOn := func(in *instance) (mark spread.Record) {
			mark, _ = in.table.Get("leaving", "t1")
			return mark
		}
		f.advance(time.Hour)
		for _, in := range f.instances {
			assert.Equal(t, uint64(1), markOn(in).Revision, "the target is still listed")
		}
		f.store.RemoveTarget("t1")
		f.advance(5 * time.Minute)
		assert.False(t, markOn(f.instances[1]).Deleted, "the list may still contain it again")
		f.advance(10 * time.Minute)
		for _, in := range f.instances {
			assert.True(t, markOn(in).Deleted, in.name)
		}
		f.instances[3].sync.Receive([]spread.Record{{Kind: "leaving", Name: "t1", Revision: 1}})
		assert.Len(t, f.instances[3].leaving, 1, "reported once")
	})
}

// More targets leave than there may be marks: the memory in use must stay bounded.
func TestLeavingMarksAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.addN(2)
		for i := range 6000 {
			f.instances[0].sync.MarkLeaving(fmt.Sprint("t", i))
		}
		f.advance(inForceBound)
		assert.Len(t, f.instances[1].leaving, 4096)
	})
}

// Targets are added and removed for weeks. The number of tombstones must stay bounded, and
// an old entry must be refused also after its tombstone was dropped.
func TestTombstonesOfTargetsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		in := f.add(nil)
		f.advance(inForceBound)
		body := []byte(`{"pool":"p","incarnation":"t0"}`)
		put := func(name string, revision uint64, deleted bool) {
			in.sync.Receive([]spread.Record{{Kind: platformapi.KindTargets, Name: name, Revision: revision, Deleted: deleted, Body: body}})
		}
		for i := range uint64(6000) {
			put(fmt.Sprint("t", i), 100+2*i, false)
			put(fmt.Sprint("t", i), 101+2*i, true)
		}
		put("t0", 100, false)
		put("t5999", 100, false)
		assert.Empty(t, in.targets)
		assert.LessOrEqual(t, countSnapshotTargets(t, in), 4096)
	})
}

// countSnapshotTargets counts the targets, tombstones included, that a new peer would get.
func countSnapshotTargets(t *testing.T, in *instance) (count int) {
	request := configwire.PageRequest{}
	for {
		body, err := msgpack.Marshal(&request)
		require.NoError(t, err)
		response, err := in.sync.HandleSnapshot(body)
		require.NoError(t, err)
		var page configwire.Page
		require.NoError(t, msgpack.Unmarshal(response, &page))
		count += len(page.TargetRecords)
		if !page.More {
			return count
		}
		request = page.Last
	}
}
