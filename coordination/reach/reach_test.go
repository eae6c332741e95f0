package reach

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
)

var began = time.Unix(1000, 0)

// at returns a time in milliseconds after began.
func at(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

func acked(string) bool   { return true }
func unacked(string) bool { return false }

// tickUntil calls Tick in its usual interval; nothing has been acknowledged.
func tickUntil(t *Tracker, from, until int) {
	for ms := from; ms <= until; ms += 250 {
		t.Tick(at(ms), unacked)
	}
}

// Guards against a lost path that goes unnoticed, and against one concluded from a target that is
// down or silent for less than a second.
func TestWayAfterObservations(t *testing.T) {
	cases := map[string]struct {
		observe func(t *Tracker)
		want    Way
	}{
		"nothing": {func(*Tracker) {}, Direct},
		"silence": {func(t *Tracker) { t.Began(at(0), "s"); tickUntil(t, 0, 1000) }, Detour},
		"short silence": {func(t *Tracker) {
			t.Began(at(0), "s")
			tickUntil(t, 0, 750)
			t.Received(at(900), "s", at(0))
			tickUntil(t, 1000, 1000)
		}, Direct},
		"one target of several is silent": {func(t *Tracker) {
			t.Began(at(0), "s")
			for ms := 0; ms <= 1000; ms += 250 {
				t.Received(at(ms), "s", at(0))
				t.Tick(at(ms), unacked)
			}
		}, Direct},
		"attempts that time out one after the other": {func(t *Tracker) {
			for ms := 0; ms < 1000; ms += 250 {
				t.Began(at(ms), "s")
				t.Ended(at(ms+240), "s")
				t.Tick(at(ms), unacked)
			}
			t.Began(at(1000), "s")
			t.Tick(at(1000), unacked)
		}, Detour},
		"slow targets that have the request": {func(t *Tracker) {
			t.Began(at(-900), "s")
			for ms := -900; ms <= 1000; ms += 250 {
				t.Tick(at(ms), acked)
			}
		}, Direct},
		"targets that accept and stay silent": {func(t *Tracker) {
			t.Began(at(-1000), "s")
			for ms := -1000; ms <= 1000; ms += 250 {
				t.Tick(at(ms), acked)
			}
		}, Detour},
		"a request long after one that was cancelled": {func(t *Tracker) {
			t.Began(at(-5000), "s")
			t.Ended(at(-4990), "s")
			t.Began(at(900), "s")
			tickUntil(t, 900, 1000)
		}, Direct},
		"pause of the instance": {func(t *Tracker) {
			t.Tick(at(0), unacked)
			t.Began(at(0), "s")
			t.Tick(at(1000), unacked)
		}, Direct},
		"two targets break": {func(t *Tracker) { t.Broke(at(0), "s", "a"); t.Broke(at(1), "s", "b") }, Detour},
		"crashes of two targets": {func(t *Tracker) {
			t.Broke(at(0), "s", "a")
			t.Broke(at(1), "s", "b")
			t.ReceivedThroughPeer(at(20), "s")
			t.Received(at(30), "s", at(10))
		}, Direct},
		"one target breaks twice": {func(t *Tracker) { t.Broke(at(0), "s", "a"); t.Broke(at(1), "s", "a") }, Direct},
		"an answer in between": {func(t *Tracker) {
			t.Broke(at(0), "s", "a")
			t.Received(at(1), "s", at(1))
			t.Broke(at(2), "s", "b")
		}, Direct},
		"refused while old connections live on": {func(t *Tracker) {
			t.ConnectedElsewhere(at(0), "s", "a")
			t.Received(at(1), "s", at(-1000))
			t.ConnectedElsewhere(at(2), "s", "b")
			t.Received(at(3), "s", at(-1000))
		}, Probe},
		"another service is lost": {func(t *Tracker) {
			t.Received(at(-10), "s", at(-1000))
			t.ConnectedElsewhere(at(0), "other", "a")
			t.ConnectedElsewhere(at(1), "other", "b")
		}, Probe},
		"another service alone is lost": {func(t *Tracker) {
			t.ConnectedElsewhere(at(0), "other", "a")
			t.Received(at(101), "s", at(-1000))
			t.ConnectedElsewhere(at(102), "other", "b")
		}, Direct},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			c.observe(tracker)
			require.Equal(t, c.want, tracker.Choose(at(1000), "s", false), "%v", tracker.TakeChanges())
		})
	}
}

// Guards against a path that stays lost after its end, and against requests that are lost one after
// the other to find that out.
func TestPathIsProbedAndFound(t *testing.T) {
	tracker := NewTracker()
	tracker.Began(at(0), "s")
	tickUntil(tracker, 0, 1000)
	tracker.ReceivedThroughPeer(at(1100), "s")
	require.True(t, tracker.Lost("s"))
	require.Equal(t, []Change{{Service: "s", Lost: true, Cause: CauseSilence}}, tracker.TakeChanges())
	var probes []int
	for ms := 1100; ms < 12_000; ms += 100 {
		if tracker.Choose(at(ms), "s", true) == Probe {
			probes = append(probes, ms)
			tracker.Began(at(ms), "s")
		}
	}
	require.Equal(t, []int{1900, 2800, 4600, 8200}, probes)
	tracker.Received(at(12_000), "s", at(8200))
	require.Equal(t, Direct, tracker.Choose(at(12_000), "s", false))
	require.Equal(t, []Change{{Service: "s", Cause: CauseSilence, Duration: 11 * time.Second}}, tracker.TakeChanges())

	tracker.ConnectedElsewhere(at(20_000), "s", "a")
	tracker.ConnectedElsewhere(at(20_000), "s", "b")
	require.Equal(t, Detour, tracker.Choose(at(20_800), "s", false))
	require.Equal(t, Probe, tracker.Choose(at(20_900), "s", false), "nothing is sent unless a target accepts the connection")
	require.Equal(t, Probe, tracker.Choose(at(21_800), "s", false))
}

// Instances known to reach targets are asked first, those known not to last, and now and then one of
// which nothing is known.
func TestOrderOfPeers(t *testing.T) {
	members := []membership.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
	random := rand.New(rand.NewPCG(1, 2))
	peers := NewPeers()
	peers.Reached(at(0), "b")
	peers.Failed(at(0), "c")
	first := map[string]int{}
	for range 1000 {
		order := peers.Order(at(500), random, members)
		require.Len(t, order, 4)
		require.Equal(t, "c", order[3].Name)
		first[order[0].Name]++
	}
	require.InDelta(t, 1000*(1-exploreShare), first["b"], 60)
	for range 100 {
		first[peers.Order(at(20_000), random, members)[0].Name]++
	}
	require.Positive(t, first["c"], "an old failure is forgotten")
}
