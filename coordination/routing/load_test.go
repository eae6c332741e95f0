package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A report states the load of a target some time ago, including this instance's own
// requests. The instance knows which of its own requests have started or ended since.
// Without a correction for these they would be counted twice or for too long.
func TestReportIsCorrectedForItsAge(t *testing.T) {
	for _, tc := range []struct {
		name            string
		ownThen, ownNow int
		reported        int
		age, later      time.Duration
		disabled        Mechanism
		want            float64
		digest          int
	}{
		{name: "own requests ended", ownThen: 5, ownNow: 1, reported: 7, age: time.Second, want: 1 + 2*(1-1.0/3)},
		{name: "own requests started", ownThen: 0, ownNow: 6, reported: 2, age: time.Second, want: 6 + 2*(1-1.0/3)},
		{name: "correction disabled", ownThen: 5, ownNow: 1, reported: 7, age: time.Second, disabled: MechanismAgeCorrection, want: 7},
		{name: "report expired", ownThen: 5, ownNow: 1, reported: 7, age: time.Second, later: 3 * time.Second, want: 1},
		{name: "digest exceeds the report", ownNow: 1, reported: 2, digest: 4, want: 5},
		{name: "reports disabled", reported: 9, disabled: MechanismReports, want: 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := newTable(Config{Disabled: tc.disabled, ReportTTL: 3 * time.Second}, testTargets(1))
			target := table.target("t0")
			target.addInFlight(start.UnixNano(), int64(tc.ownThen*costUnit))
			then := at(500 * time.Millisecond)
			now := then.Add(tc.age)
			target.addInFlight(then.Add(tc.age/2+1).UnixNano(), int64((tc.ownNow-tc.ownThen)*costUnit))
			table.Report(now, "t0", Load{Active: tc.reported, Age: tc.age})
			if tc.digest > 0 {
				table.PeerDigest(now, "i1", []DigestEntry{{HashTarget("t0"), uint16(tc.digest)}})
			}
			require.InDelta(t, tc.want, target.estimatedLoad(now.Add(tc.later).UnixNano(), &table.config), 0.01)
		})
	}
}

// Only the latest digest of each origin is used, until it expires. Origins and entries
// are bounded, whatever peers send.
func TestPeerDigests(t *testing.T) {
	table := newTable(Config{MaxOrigins: 2, MaxDigestEntries: 1}, testTargets(2))
	send := func(now time.Time, origin string, n uint16) {
		table.PeerDigest(now, origin, []DigestEntry{{HashTarget("t0"), n}, {HashTarget("t1"), n}, {1, n}})
	}
	load := func(now time.Time) float64 {
		return table.target("t0").estimatedLoad(now.UnixNano(), &table.config)
	}
	send(at(1*time.Second), "a", 3)
	send(at(1100*time.Millisecond), "a", 5)
	send(at(1200*time.Millisecond), "b", 2)
	require.Equal(t, 7.0, load(at(1200*time.Millisecond)))
	require.Zero(t, table.target("t1").peerInFlight.Load(), "entries are bounded")
	send(at(1300*time.Millisecond), "c", 1)
	require.Equal(t, 3.0, load(at(1300*time.Millisecond)), "the oldest origin is dropped")
	require.Zero(t, load(at(4*time.Second)), "expired digests are ignored")
	table.Digest(at(4 * time.Second))
	require.Empty(t, table.digests.byOrigin)
	table.Started(start, "t1", 2)
	table.Started(start, "t0", 1)
	require.Equal(t, []DigestEntry{{HashTarget("t1"), 2}}, table.Digest(at(4*time.Second)))
}

// An instance in front of thousands of targets keeps a subset. It is bounded, prefers the
// local data centre and has several targets of each model. The removal of a target
// changes only a few others: a new subset would need new connections to all targets.
func TestSubset(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		targets := testTargets(400)
		for i := range targets {
			targets[i].DataCentre = fmt.Sprintf("dc-%d", i%5)
			targets[i].Models = []string{"common"}
			if i%50 == 0 {
				targets[i].Models = []string{"rare"}
			}
		}
		c := Config{Instance: rapid.String().Draw(rt, "instance"), LocalDataCentre: "dc-1", SubsetSize: 32}
		kept := c.subset(targets)
		require.Len(rt, kept, 32)
		local, rare, names := 0, 0, map[string]bool{}
		for _, target := range kept {
			names[target.Incarnation] = true
			if target.DataCentre == "dc-1" {
				local++
			}
			if target.Models[0] == "rare" {
				rare++
			}
		}
		require.GreaterOrEqual(rt, rare, minPerModel)
		// Three quarters of the subset are local, less the remote targets that were
		// selected first, up to minPerModel for each of the two models.
		require.GreaterOrEqual(rt, local, 24-2*minPerModel)
		removed := rapid.IntRange(0, 399).Draw(rt, "removed")
		changed := 0
		for _, target := range c.subset(append(targets[:removed:removed], targets[removed+1:]...)) {
			if !names[target.Incarnation] {
				changed++
			}
		}
		require.LessOrEqual(rt, changed, 1+minPerModel)
	})
}

// Without this, the state of targets that are no longer listed would accumulate.
func TestStateOfUnlistedTargetsIsDropped(t *testing.T) {
	table := newTable(Config{}, testTargets(3))
	attempt := table.Started(start, "t2", 1)
	table.SetTargets(start, testPool, testTargets(1))
	require.Len(t, table.states, 2, "one has a request in flight")
	attempt.Done(start, Result{})
	table.SetTargets(start, testPool, testTargets(1))
	require.Len(t, table.states, 1)
}
