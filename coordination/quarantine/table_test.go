package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// digestOf returns the digest of a test request.
func digestOf(name string) Digest { return DigestOf("host", "/"+name, "account", nil) }

var suspect = digestOf("suspect")

// recordCrashes records n crashes of the suspect, one second apart, and returns the time of the
// last one.
func recordCrashes(t *Table, n int) time.Time {
	now := start
	for i := range n {
		now = start.Add(time.Duration(i) * time.Second)
		t.RecordCrash(now, suspect, fmt.Sprint("target-", i))
	}
	return now
}

// Prevents blocking a request too early, too late, for too long or for ever.
func TestCrashesBlock(t *testing.T) {
	c := DefaultConfig()
	for crashes, hold := range map[int]time.Duration{
		0: 0, 1: 0, 2: 0, 3: c.BlockPeriod, 4: 4 * c.BlockPeriod, 5: 16 * c.BlockPeriod, 6: c.MaxBlockPeriod, 8: c.MaxBlockPeriod, 20: c.MaxBlockPeriod,
	} {
		t.Run(fmt.Sprint(crashes), func(t *testing.T) {
			table := New(c)
			latest := recordCrashes(table, crashes)
			if hold == 0 {
				require.Equal(t, Allowed, table.Judge(latest, suspect).State)
				return
			}
			require.Equal(t, Blocked, table.Judge(latest, suspect).State)
			require.Equal(t, hold, table.Judge(latest, suspect).Remaining)
			require.Equal(t, Blocked, table.Judge(latest.Add(hold-1), suspect).State)
			require.Equal(t, OnTrial, table.Judge(latest.Add(hold), suspect).State)
			table.Expire(latest.Add(c.Retention - 1))
			require.Equal(t, OnTrial, table.Judge(latest.Add(c.Retention-1), suspect).State)
			table.Expire(latest.Add(c.Retention))
			require.Equal(t, Allowed, table.Judge(latest.Add(c.Retention), suspect).State)
			require.Zero(t, table.Len())
		})
	}
}

// Prevents blaming a request that was in progress at many targets when one event ended all of
// them.
func TestCommonRequestIsNotBlamedForOneEvent(t *testing.T) {
	c := DefaultConfig()
	for age, blamed := range map[time.Duration]bool{0: false, c.TrustPeriod: false, 2 * c.TrustPeriod: true} {
		table := New(c)
		table.RecordCompletion(start, suspect)
		for i := range 20 {
			require.Equal(t, blamed, table.RecordCrash(start.Add(age), suspect, fmt.Sprint(i)), age)
		}
		require.Equal(t, blamed, table.Judge(start.Add(age), suspect).State == Blocked, age)
	}
}

// Prevents remembering requests that ended well without limit.
func TestTrustIsBounded(t *testing.T) {
	c := DefaultConfig()
	c.MaxTrusted = 10
	table := New(c)
	for i := range 1000 {
		table.RecordCompletion(start.Add(time.Duration(i)*time.Second), digestOf(fmt.Sprint(i)))
		require.LessOrEqual(t, len(table.trusted.current)+len(table.trusted.previous), 2*c.MaxTrusted)
	}
}

// Prevents counting a crash once for each instance that reports it.
func TestOneCrashCountsOnce(t *testing.T) {
	table := New(DefaultConfig())
	require.True(t, table.RecordCrash(start, suspect, "a"))
	for i := range 5 {
		require.False(t, table.Merge(start.Add(time.Duration(i)*time.Second), Crash{Digest: suspect, Target: "a"}))
	}
	require.Equal(t, 1, table.Judge(start, suspect).Crashes)
}

// Prevents blocking a common request for crashes during which it was in progress, and blocking
// it again because of records from before it was cleared.
func TestCompletedRunClearsCrashes(t *testing.T) {
	table, other := New(DefaultConfig()), New(DefaultConfig())
	latest := recordCrashes(table, 4)
	old := table.Sample(latest, 10)
	require.True(t, table.RecordCompletion(latest, suspect))
	require.False(t, table.RecordCompletion(latest, suspect), "there is nothing left to clear")
	for _, c := range table.Sample(latest, 10) {
		other.Merge(latest, c)
	}
	for _, c := range old {
		require.False(t, other.Merge(latest, c))
	}
	for _, each := range []*Table{table, other} {
		require.Equal(t, Allowed, each.Judge(latest, suspect).State)
	}
	later := latest.Add(2 * DefaultConfig().TrustPeriod)
	table.RecordCrash(later, suspect, "later")
	require.Equal(t, 1, table.Judge(later, suspect).Crashes)
}

// Prevents several concurrent runs of a request on trial, each of which may end a target.
func TestOneTrialAtATime(t *testing.T) {
	c := DefaultConfig()
	table := New(c)
	latest := recordCrashes(table, 3)
	require.False(t, table.GrantTrial(latest.Add(c.BlockPeriod-1), suspect, time.Second), "it is blocked")
	now := latest.Add(c.BlockPeriod)
	require.False(t, table.GrantTrial(now, digestOf("unknown"), time.Second), "the request has no records here")
	require.True(t, table.GrantTrial(now, suspect, 10*time.Second))
	require.False(t, table.GrantTrial(now.Add(10*time.Second-1), suspect, time.Second))
	require.True(t, table.GrantTrial(now.Add(10*time.Second), suspect, time.Second))
	table.RecordCrash(now.Add(11*time.Second), suspect, "again")
	require.False(t, table.GrantTrial(now.Add(12*time.Second), suspect, time.Second), "it has crashed again")
}

// Prevents records from growing without limit, and a blocked request from being evicted
// for many requests that each ran beside one crash.
func TestTableIsBounded(t *testing.T) {
	c := DefaultConfig()
	c.MaxRequests = 10
	table := New(c)
	latest := recordCrashes(table, 100)
	for i := range 1000 {
		table.RecordCrash(latest, digestOf(fmt.Sprint(i)), "target")
	}
	require.Equal(t, c.MaxRequests, table.Len())
	require.Len(t, table.requests[suspect].crashes, c.MaxCrashes)
	require.LessOrEqual(t, len(table.gossipQueue), maxGossipQueue)
	require.Equal(t, Blocked, table.Judge(latest, suspect).State)
	require.Contains(t, table.Blocked(latest), suspect)
	require.False(t, table.Merge(latest, Crash{Digest: suspect}), "a target without a name")
	require.False(t, table.Merge(latest, Crash{Digest: suspect, Target: "a", Age: -1}))
	require.False(t, table.Merge(latest, Crash{Digest: suspect, Target: "a", Age: c.Retention}))
	require.False(t, table.Merge(latest, Crash{Digest: suspect, Target: string(make([]byte, maxTargetBytes+1))}))
}

// Prevents different verdicts at instances that received the same records in another order or
// repeatedly.
func TestMergeIsOrderIndependent(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) Crash {
		target := rapid.IntRange(0, 5).Draw(t, "target")
		return Crash{
			Digest: suspect, Target: fmt.Sprint(target), Age: time.Duration(target) * 70 * time.Millisecond,
			Cleared: rapid.Bool().Draw(t, "cleared"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		crashes := rapid.SliceOfN(draw, 0, 10).Draw(t, "crashes")
		again := append(append([]Crash{}, crashes...), crashes...)
		shuffled := rapid.Permutation(again).Draw(t, "shuffled")
		a, b := New(DefaultConfig()), New(DefaultConfig())
		for _, c := range crashes {
			a.Merge(start, c)
		}
		for _, c := range shuffled {
			b.Merge(start, c)
		}
		require.Equal(t, a.Judge(start, suspect), b.Judge(start, suspect))
	})
}

// Prevents records that are never part of a sample, and a blocked request that is not in
// the next sample.
func TestSamplesRotateThroughAllRecords(t *testing.T) {
	const others, limit = 50, 8
	table, other := New(DefaultConfig()), New(DefaultConfig())
	latest := recordCrashes(table, 3)
	for i := range others {
		table.RecordCrash(latest, digestOf(fmt.Sprint(i)), "target")
	}
	for round := range others {
		sample := table.Sample(latest, limit)
		require.LessOrEqual(t, len(sample), limit)
		for _, c := range sample {
			other.Merge(latest, c)
		}
		if round == 0 {
			require.Equal(t, Blocked, other.Judge(latest, suspect).State)
		}
	}
	require.Equal(t, table.Len(), other.Len())
}

// Prevents gossip that is never sent, or sent for ever.
func TestGossipIsSentLimitedTimes(t *testing.T) {
	table := New(DefaultConfig())
	recordCrashes(table, 3)
	sent := 0
	for table.HasGossip() {
		sent += len(table.Gossip(start, 2, 4))
		require.LessOrEqual(t, sent, 12)
	}
	require.Equal(t, 12, sent)
	table.RecordCompletion(start, suspect)
	require.True(t, table.HasGossip(), "a cleared record is gossiped")
}

// Prevents trials from adding up, each with a crash.
func TestTrialsOfCrashingRequestAreRare(t *testing.T) {
	const most, within = 3, 15 * time.Minute
	table := New(DefaultConfig())
	blocked := recordCrashes(table, 3)
	trials := 0
	for now := blocked; now.Before(blocked.Add(within)); now = now.Add(time.Second) {
		if table.GrantTrial(now, suspect, time.Second) {
			trials++
			table.RecordCrash(now, suspect, fmt.Sprint("trial-", trials))
		}
	}
	require.Equal(t, most, trials)
}

// Prevents instances from repeatedly sending each other records that exceed the limit.
func TestDroppedCrashIsNotGossiped(t *testing.T) {
	a, b := New(DefaultConfig()), New(DefaultConfig())
	latest := recordCrashes(a, 3*DefaultConfig().MaxCrashes)
	early := New(DefaultConfig())
	recordCrashes(early, DefaultConfig().MaxCrashes)
	for _, from := range []*Table{a, early, a, early} {
		for _, c := range from.Sample(latest, 100) {
			b.Merge(latest, c)
		}
	}
	for _, c := range early.Sample(latest, 100) {
		require.False(t, b.Merge(latest, c))
	}
	require.Equal(t, a.Judge(latest, suspect), b.Judge(latest, suspect))
}

// Prevents counting several crashes of a target as one before the instance learns that the
// target has restarted.
func TestCrashesOfRestartedTargetCount(t *testing.T) {
	c := DefaultConfig()
	table, other := New(c), New(c)
	for i := range 3 {
		at := start.Add(time.Duration(i) * c.MinRestart)
		require.True(t, table.RecordCrash(at, suspect, "target"))
		require.False(t, table.RecordCrash(at.Add(c.MinRestart-1), suspect, "target"), "another attempt at the same end")
	}
	now := start.Add(3 * c.MinRestart)
	require.Equal(t, Blocked, table.Judge(now, suspect).State)
	other.Merge(now, Crash{Digest: suspect, Target: "target", Age: time.Second})
	require.False(t, other.RecordCrash(now, suspect, "target"), "only a crash that it saw itself shows a restart")
}
