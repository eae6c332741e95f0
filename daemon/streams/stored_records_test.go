package streams

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/resumption"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// beginBoth has each instance begin streams at both versions and returns their ids by version.
func (f *fleet) beginBoth(count int) map[string][]string {
	ids := map[string][]string{}
	for _, name := range f.names() {
		for _, version := range []string{"v1", "v2"} {
			ids[version] = append(ids[version], f.begin(f.nodes[name], version, count)...)
		}
	}
	return ids
}

// restartAll kills all instances and starts them again after a second.
func (f *fleet) restartAll() {
	names := f.names()
	f.kill(names...)
	time.Sleep(time.Second)
	for _, name := range names {
		f.start(name)
	}
	time.Sleep(3 * time.Second)
}

// Guards against streams of a service with several versions that can't be taken up after the loss of all instances.
func TestStreamsOfSeveralVersionsOutliveTheLossOfAll(t *testing.T) {
	for _, instances := range []int{1, 3, 40} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			runFleet(t, instances, func(f *fleet) {
				f.deploy("v1", "v2")
				ids := f.beginBoth(20)
				time.Sleep(2 * time.Second)
				f.restartAll()
				for version := range ids {
					requireTaken(t, f.nodes["instance-0"], ids[version], version)
				}
			})
		})
	}
}

// Guards against stored records that an instance overwrites after its start, before anybody has read them.
func TestStoredRecordsOutliveASecondLoss(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.deploy("v1", "v2")
		first := f.beginBoth(20)
		time.Sleep(2 * time.Second)
		f.restartAll()
		second := f.beginBoth(20)
		time.Sleep(2 * time.Second)
		f.restartAll()
		for version := range first {
			requireTaken(t, f.nodes["instance-1"], append(first[version], second[version]...), version)
		}
	})
}

// Guards against streams that are unknown although the store has their records, since their instance and all keepers are
// lost.
func TestStoredRecordsReplaceLostKeepers(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		f.deploy("v1", "v2")
		ids := f.begin(f.nodes["instance-1"], "v2", streamCount)
		time.Sleep(2 * time.Second)
		f.kill("instance-0", "instance-1", "instance-2", "instance-3", "instance-4", "instance-5")
		requireTaken(t, f.nodes["instance-6"], ids, "v2")
	})
}

// Guards against a write for each stream, against writes while there is one version, and against records that stay for
// ever.
func TestRecordsAreStoredInBatches(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.begin(f.nodes["instance-1"], "v1", streamCount)
		time.Sleep(5 * time.Second)
		_, writes := f.settledRecords()
		require.Zero(t, writes, "one version")
		f.deploy("v1", "v2")
		const span = 10 * time.Second
		for range 100 {
			f.begin(f.nodes["instance-1"], "v2", 5)
			time.Sleep(span / 100)
		}
		time.Sleep(2 * recordsInterval)
		names, writes := f.settledRecords()
		require.Equal(t, []string{"instance-1"}, names, "others have no streams")
		require.LessOrEqual(t, writes, int(span/recordsInterval)+2)
		time.Sleep(resumption.Lifetime / 2)
		_, later := f.settledRecords()
		require.Equal(t, writes, later, "nothing was added")
		f.deploy("v2")
		time.Sleep(resumption.Lifetime + recordsRetention)
		names, _ = f.settledRecords()
		require.Empty(t, names)
	})
}

// Guards against the records of an instance that is gone for good, which nobody deletes.
func TestRecordsOfInstancesThatAreGoneAreDeleted(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.deploy("v1", "v2")
		f.begin(f.nodes["instance-1"], "v2", 1)
		time.Sleep(2 * time.Second)
		f.kill("instance-1")
		time.Sleep(sweepInterval + time.Minute)
		names, _ := f.settledRecords()
		require.Empty(t, names)
	})
}

// Guards against records that are never stored because the store was down, or refused them, when they were due.
func TestRecordsAreStoredAfterAnOutage(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.deploy("v1", "v2")
		time.Sleep(2 * time.Second)
		f.down.Store(true)
		ids := f.beginBoth(20)
		time.Sleep(5 * time.Second)
		f.down.Store(false)
		time.Sleep(versionsRetryMax)
		f.restartAll()
		for version := range ids {
			requireTaken(t, f.nodes["instance-0"], ids[version], version)
		}
	})
}

// Guards against an unreadable object among the records that hides the others.
func TestUnreadableRecordsHideNoOthers(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.deploy("v1", "v2")
		ids := f.beginBoth(20)
		time.Sleep(2 * time.Second)
		f.mu.Lock()
		f.storedRecords["a"] = platformapi.Object{Metadata: platformapi.Metadata{Name: "a", Revision: f.revision}, Spec: []byte("{")}
		f.mu.Unlock()
		f.restartAll()
		for version := range ids {
			requireTaken(t, f.nodes["instance-0"], ids[version], version)
		}
	})
}

// Guards against records that the store refuses for good, and that all instances write again at each tick.
func TestRefusedRecordsAreWrittenLessAndLess(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.deploy("v1", "v2")
		time.Sleep(2 * time.Second)
		f.forbidden.Store(true)
		for range 120 {
			f.beginBoth(1)
			time.Sleep(tickInterval)
		}
		require.NotZero(t, f.refusals())
		require.LessOrEqual(t, f.refusals(), 3*5, "in a minute")
	})
}
