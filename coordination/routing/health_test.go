package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// One target fails every request within a millisecond. It always looks idle, so without
// ejection most picks choose it and most requests fail.
func TestFastFailingTargetGetsLess(t *testing.T) {
	result := func(name string) Result {
		if name == "t0" {
			return Result{Outcome: OutcomeFailed, Latency: time.Millisecond}
		}
		return Result{Latency: 300 * time.Millisecond, Expected: 300 * time.Millisecond}
	}
	for _, tc := range []struct {
		off         Mechanism
		least, most int
	}{{0, 3, 20}, {MechanismEjection, 150, 1000}} {
		counts := newTable(Config{Disabled: tc.off}, testTargets(8)).shares(t, start, 1000, Query{Rank: 1}, result)
		require.GreaterOrEqual(t, counts["t0"], tc.least)
		require.LessOrEqual(t, counts["t0"], tc.most)
	}
}

// One target fails every third request, which is too few for an ejection. It must still
// get less than its share.
func TestFlakyTargetGetsLess(t *testing.T) {
	n := 0
	result := func(name string) Result {
		r := healthyResult(name)
		if name == "t0" {
			n++
			r.Outcome = []Outcome{OutcomeFailed, OutcomeOK, OutcomeOK}[n%3]
		}
		return r
	}
	table := newTable(Config{}, testTargets(8))
	require.Less(t, table.shares(t, start, 2000, Query{}, result)["t0"], 170)
	require.Zero(t, table.Stats(start).Ejections)
}

// One target completes every request but takes three times as long. It never fails a
// health check, yet requests sent there miss their deadlines.
func TestSlowTargetGetsLess(t *testing.T) {
	result := func(name string) Result {
		r := healthyResult(name)
		if name == "t0" {
			r.Latency *= 3
		}
		return r
	}
	counts := newTable(Config{}, testTargets(8)).shares(t, start, 2000, Query{}, result)
	require.Less(t, counts["t0"], 80)
	counts = newTable(Config{Disabled: MechanismLatency}, testTargets(8)).shares(t, start, 2000, Query{}, result)
	require.Greater(t, counts["t0"], 120)
}

// A target accepts requests and completes none. There is no result to learn from, and
// when the first request misses its deadline, all others that were sent there meanwhile
// will miss theirs too. The age of the attempts in flight shows the failure earlier.
func TestHangingTargetIsDetectedByAttemptAges(t *testing.T) {
	busy := func(string) Result {
		return Result{Latency: 350 * time.Millisecond, Expected: 350 * time.Millisecond}
	}
	hanging := func(name string) Result {
		r := busy(name)
		if name == "t0" {
			r.Latency = time.Hour
		}
		return r
	}
	shares := func(off Mechanism) int {
		table := newTable(Config{Disabled: off}, testTargets(8))
		table.shares(t, start, 200, Query{}, busy)
		return table.shares(t, at(10*time.Second), 1000, Query{}, hanging)["t0"]
	}
	require.Less(t, shares(0), shares(MechanismLatency))
	var ages attemptAges
	ages.finish(ages.start(start.UnixNano()), time.Second)
	for _, tc := range []struct {
		age         time.Duration
		utilization float64
		want        float64
	}{{time.Second, 1, 1}, {3 * time.Second, 1, 3}, {3 * time.Second, 2, 1}, {9 * time.Second, 3, 3}} {
		startMillis := ages.start(start.UnixNano())
		now := at(tc.age).UnixNano()
		require.InDelta(t, tc.want, ages.slowdown(now, tc.utilization), 0.01, "%+v", tc)
		ages.finish(startMillis, 0)
	}
}

// All targets of a pool fail for a while. If all were ejected, every request would be
// refused and no instance would see them recover.
func TestEjectionFloor(t *testing.T) {
	for _, tc := range []struct {
		floor    float64
		routable int
	}{{0, 1}, {0.5, 3}, {0.9, 6}, {1, 6}} {
		pool := testPool
		pool.EjectionFloor = tc.floor
		table := newTable(Config{}, nil)
		table.SetTargets(start, pool, testTargets(6))
		for _, target := range testTargets(6) {
			table.fail(start, target.Incarnation, 10)
		}
		routable := 0
		for _, s := range table.Stats(start).Targets {
			if !s.Ejected {
				routable++
			}
		}
		require.Equal(t, tc.routable, routable, "floor %v", tc.floor)
		// The routable targets leave, and ejected ones become routable instead.
		for _, s := range table.Stats(start).Targets {
			if !s.Ejected {
				table.Leaving(start, s.Incarnation)
			}
		}
		choice, err := table.Pick(start, newRNG(), Query{Pool: pool.Name})
		if tc.routable == 6 {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		require.Contains(t, []Reason{ReasonFloor, ReasonOnly}, choice.Reason)
	}
}

// An ejected target has recovered. If all waiting requests went there at once, it would
// be overloaded again. One probe is sent first, of a lower tier if there is one; after
// its success the target's share of the traffic ramps up.
func TestRecoveryIsProbedAndRampedUp(t *testing.T) {
	table := newTable(Config{}, testTargets(4))
	table.fail(start, "t0", ejectAfterFailures)
	rng := newRNG()
	probes := func(now time.Time, rank int) (n int) {
		for range 40 {
			if table.mustPick(t, now, rng, Query{Rank: rank}).Target.Incarnation == "t0" {
				n++
			}
		}
		return n
	}
	require.Zero(t, probes(at(500*time.Millisecond), 1), "still ejected")
	require.Zero(t, probes(at(1100*time.Millisecond), 0), "the highest tier sends no probe yet")
	require.Equal(t, 1, probes(at(1100*time.Millisecond), 1), "one probe")
	// The probe fails, which doubles the ejection time.
	table.fail(at(1200*time.Millisecond), "t0", 1)
	require.Zero(t, probes(at(3100*time.Millisecond), 1))
	require.Equal(t, 1, probes(at(4300*time.Millisecond), 0), "the highest tier probes if no other request arrives")
	recovered := at(4400 * time.Millisecond)
	table.Started(recovered, "t0", 1).Done(recovered, healthyResult("t0"))
	first := table.shares(t, recovered, 100, Query{}, healthyResult)["t0"]
	later := table.shares(t, recovered.Add(DefaultSlowStartWindow), 100, Query{}, healthyResult)["t0"]
	require.Less(t, first, 15)
	require.Greater(t, later, 18)
}

// A target that is added to the list starts with a cold cache, so its share ramps up.
// Targets of the first list may have been running for long.
func TestSlowStartOfNewTarget(t *testing.T) {
	table := newTable(Config{}, testTargets(4)[1:])
	table.SetTargets(at(time.Minute), testPool, testTargets(4))
	require.Less(t, table.shares(t, at(time.Minute), 100, Query{}, healthyResult)["t0"], 15)
	require.Greater(t, table.shares(t, at(2*time.Minute), 100, Query{}, healthyResult)["t0"], 18)
}

// Each of eight instances sees only an eighth of a target's failures and would send the
// target several requests before ejecting it. Ejections by peers reduce that number, but
// they aren't enough on their own: a peer that has lost its network connection suspects every
// target.
func TestSuspicionRequiresOwnFailure(t *testing.T) {
	table := newTable(Config{}, testTargets(4))
	for _, origin := range []string{"a", "b", "c"} {
		table.PeerDigest(start, origin, []DigestEntry{{HashTarget("t0"), Suspected}})
	}
	h := &table.target("t0").health
	require.Equal(t, notEjected, h.ejectionState(start.UnixNano()))
	table.fail(start, "t0", 1)
	require.Equal(t, ejectionActive, h.ejectionState(start.UnixNano()))
	require.Contains(t, table.Digest(start), DigestEntry{HashTarget("t0"), Suspected})
	table.fail(start, "t1", 1)
	require.Equal(t, notEjected, table.target("t1").health.ejectionState(start.UnixNano()))
}

func TestCancelledAndRefusedAttemptsAreNeutral(t *testing.T) {
	table := newTable(Config{}, testTargets(2))
	for range 10 {
		for _, outcome := range []Outcome{OutcomeCancelled, OutcomeNotRun} {
			table.Started(start, "t0", 1).Done(start, Result{Outcome: outcome, Expected: time.Second})
		}
	}
	s := table.target("t0").stats(start.UnixNano(), &table.config)
	require.False(t, s.Ejected)
	require.Equal(t, 1.0, s.Slowness)
	require.Zero(t, s.InFlight)
}

// Guards against targets that stay ejected for failures of a path that was lost.
func TestForgottenFailuresDoNotEject(t *testing.T) {
	table := New(Config{Instance: "a"})
	now := time.Unix(1000, 0)
	table.SetTargets(now, Pool{Name: "p"}, []Target{{Incarnation: "t1", Name: "t1", Pool: "p", Slots: 1}, {Incarnation: "t2", Name: "t2", Pool: "p", Slots: 1}})
	for range ejectAfterFailures {
		table.Started(now, "t1", 1).Done(now, Result{Outcome: OutcomeFailed})
	}
	require.Equal(t, ejectionActive, table.target("t1").health.ejectionState(now.UnixNano()))
	table.ForgetFailures("p")
	require.Equal(t, notEjected, table.target("t1").health.ejectionState(now.UnixNano()))
	table.ForgetFailures("unknown")
}
