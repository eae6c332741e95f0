package roster

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/state/routes"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func target(name string) routes.Target {
	return routes.Target{Name: name, Service: "s", Address: name}
}

// startedAt is a target that reports its start.
func startedAt(name string, started int64) routes.Target {
	t := target(name)
	t.StartedMillis = started
	return t
}

func usable(r *Roster) []string {
	names := []string{}
	for _, t := range r.Usable()["s"] {
		names = append(names, t.Incarnation())
	}
	return names
}

// A removal while the store is available takes effect at once: the target receives nothing
// new.
func TestRemovalIsImmediate(t *testing.T) {
	r := New()
	r.Put(target("a"), 1)
	r.Put(target("b"), 2)
	r.Remove(start, "a", 3)
	r.Tick(start)
	require.Equal(t, []string{"b"}, usable(r))
	require.Equal(t, []Removal{{"a", 3}}, r.TakeRemovals())
}

// The store is unavailable, and entries expire although their targets live. They reappear
// about two seconds after the store does. Until then the targets stay usable; an entry that
// is still missing afterwards is removed.
func TestExpiredEntriesReappear(t *testing.T) {
	r := New()
	r.Put(target("a"), 1)
	r.Put(target("b"), 2)
	r.RecordStoreFailure(start)
	r.ApplyList(at(100*time.Millisecond), nil, 10)
	r.Tick(at(time.Second))
	require.Equal(t, []string{"a", "b"}, usable(r))
	r.Put(target("a"), 11)
	require.False(t, r.Tick(at(2*time.Second)).IsZero())
	r.Tick(at(outageGrace))
	require.Equal(t, []string{"a"}, usable(r))
}

// The store refuses this instance but serves the others. A target leaves without reporting
// it; another instance saw the removal and passes it on. This instance's own failures at the
// store must not keep the target usable: a request was sent to it 2.1 s after the store had
// acknowledged the removal.
func TestRemovalConfirmedByPeer(t *testing.T) {
	r := New()
	r.Put(target("a"), 1)
	r.RecordStoreFailure(start)
	require.True(t, r.RemoveNow(at(100*time.Millisecond), "a", 2))
	r.Tick(at(100 * time.Millisecond))
	require.Empty(t, usable(r))
}

// As before, but this instance has seen the removal already and waits for the grace period.
func TestRemovalConfirmedDuringGrace(t *testing.T) {
	r := New()
	r.Put(target("a"), 1)
	r.RecordStoreFailure(start)
	r.Remove(at(100*time.Millisecond), "a", 2)
	r.Tick(at(200 * time.Millisecond))
	require.Equal(t, []string{"a"}, usable(r))
	r.RemoveNow(at(300*time.Millisecond), "a", 2)
	r.Tick(at(300 * time.Millisecond))
	require.Empty(t, usable(r))
}

// A target reports that it leaves; an old list and a late entry still have it as ready. It
// must not become usable again.
func TestLeavingIsFinal(t *testing.T) {
	r := New()
	r.Put(target("a"), 5)
	require.True(t, r.MarkLeaving("a"))
	require.False(t, r.MarkLeaving("a"))
	r.Put(target("a"), 6)
	r.ApplyList(start, []routes.Target{target("a")}, 7)
	require.Empty(t, usable(r))
}

// Peers and the store report an entry in any order. The latest revision counts.
func TestOlderRevisionsAreIgnored(t *testing.T) {
	r := New()
	newer := target("a")
	newer.Address = "new"
	require.True(t, r.Put(newer, 5))
	require.False(t, r.Put(target("a"), 4))
	require.False(t, r.Remove(start, "a", 4))
	require.Equal(t, "new", r.Usable()["s"][0].Address)
	r.ApplyList(start, nil, 4)
	r.Tick(start)
	require.Len(t, usable(r), 1, "a list from before the entry doesn't remove it")
}

// A new entry of the same incarnation follows a removal that has taken effect.
func TestEntryAfterRemoval(t *testing.T) {
	r := New()
	r.Put(target("a"), 1)
	r.Remove(start, "a", 2)
	r.Tick(start)
	require.True(t, r.TakeChanged())
	r.Put(target("a"), 3)
	require.Equal(t, []string{"a"}, usable(r))
}

// A target leaves, by its entry or by a response from its address, and the process restarts
// under the same name. The report was about the previous start. If it applied to the name, the
// new process would receive no work for as long as it runs. A later report of the previous
// start must not make that start usable again either.
func TestRestartAfterLeaving(t *testing.T) {
	leaving := startedAt("a", 100)
	leaving.Leaving = true
	cases := map[string]struct {
		next routes.Target
		want []string
	}{
		"later start":                   {startedAt("a", 200), []string{"a@200"}},
		"the same start, ready":         {startedAt("a", 100), []string{}},
		"an earlier start":              {startedAt("a", 50), []string{}},
		"no start, from another writer": {target("a"), []string{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := New()
			r.Put(leaving, 5)
			r.Put(c.next, 6)
			require.Equal(t, c.want, usable(r))
			require.False(t, r.MarkLeaving("a@100"), "it was reported before")
			require.Equal(t, c.want, usable(r))
		})
	}
}

// A target restarts, and the last entry of the previous process is written late: it reports
// leaving, or has an address that belongs to another target by now. Neither may affect the
// process that has the name.
func TestEarlierStartIsIgnored(t *testing.T) {
	r := New()
	require.True(t, r.Put(startedAt("a", 200), 5))
	late := startedAt("a", 100)
	late.Leaving, late.Address = true, "elsewhere"
	require.False(t, r.Put(late, 6))
	require.Equal(t, []string{"a@200"}, usable(r))
	require.Equal(t, "a", r.Usable()["s"][0].Address)
	require.True(t, r.MarkLeaving("a@200"), "the late entry was not about this start")
}

// The entry of a target that crashed is removed, and the target restarts. Afterwards instances
// still pass on the removal and the entry that preceded it.
func TestUpdatesFromBeforeRestartAreIgnored(t *testing.T) {
	r := New()
	r.Put(startedAt("a", 100), 1)
	r.Remove(start, "a", 2)
	r.Tick(start)
	require.Empty(t, usable(r))
	require.False(t, r.Put(startedAt("a", 50), 1), "an earlier start, reported late")
	r.Put(startedAt("a", 200), 3)
	require.False(t, r.RemoveNow(start, "a", 2))
	require.False(t, r.Put(startedAt("a", 100), 1))
	r.Tick(start)
	require.Equal(t, []string{"a@200"}, usable(r))
	require.Equal(t, []Removal{{"a", 2}}, r.TakeRemovals())
}

// An unreadable entry replaces that of a target. The target receives nothing new, although
// the store was unavailable a moment ago, since the entry hasn't expired. The next valid entry
// makes the same start usable again, since nothing reported that it leaves.
func TestUnreadableEntry(t *testing.T) {
	r := New()
	r.Put(startedAt("a", 100), 1)
	r.RecordStoreFailure(start)
	require.True(t, r.RemoveNow(at(time.Millisecond), "a", 2))
	r.Tick(at(time.Millisecond))
	require.Empty(t, usable(r))
	r.Put(startedAt("a", 100), 3)
	require.Equal(t, []string{"a@100"}, usable(r))
}

// Names come and go for weeks. The number of remembered starts stays limited.
func TestStartsAreBounded(t *testing.T) {
	r := New()
	for i := range maxStarts + 10 {
		r.Put(startedAt(strconv.Itoa(i), 100), uint64(i+1))
	}
	require.Len(t, r.lastStart, maxStarts)
	require.Len(t, r.startOrder, maxStarts)
	require.False(t, r.KnowsStart("0"))
	require.True(t, r.KnowsStart(strconv.Itoa(maxStarts)))
}

// A whole data centre comes back cold, and each target reports its remaining warm-up with every
// heartbeat. If each report counted as a change, every instance would publish all targets tens of
// times a second.
func TestRemainingWarmupIsNoChange(t *testing.T) {
	r := New()
	cold := target("a")
	cold.WarmupRemaining = 3 * time.Second
	require.True(t, r.Put(cold, 1))
	require.True(t, r.TakeChanged())
	cold.WarmupRemaining = time.Second
	require.False(t, r.Put(cold, 2))
	require.False(t, r.TakeChanged())
	require.Equal(t, time.Second, r.Usable()["s"][0].WarmupRemaining)
	cold.Leaving = true
	require.True(t, r.Put(cold, 3))
	require.Empty(t, usable(r))
	require.False(t, r.Remove(start, "a", 2), "the revision is the latest")
}

// Guards against a process that takes the place of a target which has ended, and counts as one with the software of its entry.
func TestVersionAtTheAddressOfAnEndedTargetIsUnknown(t *testing.T) {
	r := New()
	target := routes.Target{Name: "a", Service: "s", Version: "v1", StartedMillis: 1}
	r.Put(target, 1)
	require.Equal(t, "v1", r.Usable()["s"][0].RunningVersion())
	require.True(t, r.MarkEnded(target.Incarnation()))
	require.False(t, r.MarkEnded(target.Incarnation()))
	require.True(t, r.TakeChanged())
	ended := r.Usable()["s"][0]
	require.NotEqual(t, "v1", ended.RunningVersion())
	require.Equal(t, "v1", ended.Version)
	target.Slots = 2
	r.Put(target, 2)
	require.True(t, r.Usable()["s"][0].Ended, "the entry is one of the same start")
	target.StartedMillis, target.Version = 2, "v2"
	r.Put(target, 3)
	require.Equal(t, "v2", r.Usable()["s"][0].RunningVersion())
}
