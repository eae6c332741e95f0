package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// request returns the suspects of a request that no other one is like, with parts of its prompt.
func request(name string, parts ...string) Suspects {
	s := Suspects{Request: digestOf(name)}
	for _, part := range parts {
		s.Parts = append(s.Parts, DigestOfPart("engine", part))
	}
	return s
}

// crashParts records n crashes, one second apart, each under another request with the parts. It
// returns the time of the last one.
func crashParts(t *Table, n int, parts ...string) time.Time {
	now := start
	for i := range n {
		now = start.Add(time.Duration(i) * time.Second)
		t.RecordRequestCrash(now, request(fmt.Sprint("crash-", i), parts...), fmt.Sprint("target-", i))
	}
	return now
}

// Guards against crashes that are held against whole requests only, and against parts that are blamed
// for what explains their crashes.
func TestPartsAreBlockedUnlessOthersExplainTheirCrashes(t *testing.T) {
	c := DefaultConfig()
	blocked := func(table *Table, now time.Time, parts ...string) bool {
		v := table.JudgeRequest(now, request("new", parts...))
		require.Equal(t, v.State != Allowed, v.Part)
		return v.State == Blocked
	}
	t.Run("below the threshold", func(t *testing.T) {
		table := New(c)
		now := crashParts(table, c.BlockThreshold-1, "bad", "system")
		require.False(t, blocked(table, now, "bad", "system"))
	})
	t.Run("always together", func(t *testing.T) {
		table := New(c)
		now := crashParts(table, c.BlockThreshold, "bad", "system")
		require.True(t, blocked(table, now, "bad", "system"))
		require.False(t, blocked(table, now, "system"), "one run shows whether it is the system part")
		require.False(t, blocked(table, now, "other"))
		table.RecordRequestCrash(now, request("alone", "bad"), "alone")
		require.True(t, blocked(table, now, "bad"))
		require.False(t, blocked(table, now, "system"))
	})
	t.Run("a crash that nothing explains", func(t *testing.T) {
		table := New(c)
		now := crashParts(table, c.BlockThreshold, "bad", "system")
		table.RecordRequestCrash(now, request("other", "system"), "by itself")
		require.True(t, blocked(table, now, "system"))
	})
	t.Run("cleared", func(t *testing.T) {
		table := New(c)
		now := crashParts(table, c.BlockThreshold, "bad", "system")
		table.RecordRequestCompletion(now, request("sound", "system"))
		require.True(t, blocked(table, now, "bad"), "a cleared part explains nothing")
		require.False(t, blocked(table, now, "system"))
	})
	t.Run("explained too often", func(t *testing.T) {
		table := New(c)
		now := crashParts(table, c.MaxExplained, "a", "b")
		require.False(t, blocked(table, now, "a"))
		table.RecordRequestCrash(now, request("again", "a", "b"), "again")
		require.True(t, blocked(table, now, "a"))
	})
	t.Run("explained too often, in turns", func(t *testing.T) {
		table := New(c)
		now := crashParts(table, c.MaxExplained+1, "a", "b")
		first, second := "a", "b"
		if compareDigests(DigestOfPart("engine", "b"), DigestOfPart("engine", "a")) < 0 {
			first, second = "b", "a"
		}
		for turn, allowed := range []string{"", first, second, first, second} {
			for _, part := range []string{"a", "b"} {
				at := now.Add(time.Duration(turn+1)*c.ExplainedTurn - 1)
				require.Equal(t, part != allowed, blocked(table, at, part), "part %s in turn %d", part, turn)
			}
		}
		now = now.Add(c.ExplainedTurn)
		table.RecordRequestCrash(now, request("in its turn", first), "again")
		for turn := range 4 {
			at := now.Add(time.Duration(turn) * c.ExplainedTurn)
			require.True(t, blocked(table, at, first), "a crash that the other one doesn't have")
			require.False(t, blocked(table, at, second))
		}
	})
	t.Run("explained without end", func(t *testing.T) {
		table := New(c)
		now := crashParts(table, c.MaxCrashes, "a", "b")
		for turn := range 4 {
			require.True(t, blocked(table, now.Add(time.Duration(turn)*c.ExplainedTurn), "a"))
			require.True(t, blocked(table, now.Add(time.Duration(turn)*c.ExplainedTurn), "b"))
		}
	})
	t.Run("by what crashes fewer targets", func(t *testing.T) {
		table := New(c)
		now := crashParts(table, c.BlockThreshold+1, "bad")
		for i := range c.BlockThreshold {
			table.RecordRequestCrash(now, request(fmt.Sprint("a", i), "a"), fmt.Sprint("target-", i))
			table.RecordRequestCrash(now, request(fmt.Sprint("b", i), "b"), fmt.Sprint("target-", i+1))
		}
		require.True(t, blocked(table, now, "bad"))
	})
	t.Run("by a crash that is cleared", func(t *testing.T) {
		table := New(c)
		table.RecordRequestCrash(start, request("first", "other"), "target-0")
		table.RecordRequestCompletion(start, request("sound", "other"))
		later := start.Add(2 * c.TrustPeriod)
		for i := range c.BlockThreshold {
			table.RecordRequestCrash(later, request(fmt.Sprint(i), "other"), fmt.Sprint("target-", i+1))
			table.RecordRequestCrash(later, request(fmt.Sprint("bad", i), "bad"), fmt.Sprint("target-", i))
		}
		require.True(t, blocked(table, later, "bad"))
	})
	t.Run("beside a crash that is cleared", func(t *testing.T) {
		table := New(c)
		table.RecordRequestCrash(start, request("first", "system"), "by itself")
		table.RecordRequestCompletion(start, request("sound", "system"))
		later := start.Add(2 * c.TrustPeriod)
		for i := range c.BlockThreshold {
			table.RecordRequestCrash(later, request(fmt.Sprint(i), "bad", "system"), fmt.Sprint("target-", i))
		}
		require.False(t, blocked(table, later, "system"))
		require.True(t, blocked(table, later, "bad", "system"))
	})
	t.Run("expired", func(t *testing.T) {
		table := New(c)
		later := crashParts(table, c.BlockThreshold, "bad").Add(c.Retention)
		table.Expire(later)
		require.Equal(t, Allowed, table.JudgeRequest(later, request("new", "bad")).State)
	})
	t.Run("by a request", func(t *testing.T) {
		table := New(c)
		for i := range c.BlockThreshold {
			table.RecordRequestCrash(start, request("same", "system"), fmt.Sprint(i))
		}
		require.Equal(t, Blocked, table.JudgeRequest(start, request("same", "system")).State)
		require.False(t, blocked(table, start, "system"))
	})
	t.Run("by several", func(t *testing.T) {
		table := New(c)
		for i := range c.BlockThreshold {
			table.RecordRequestCrash(start, request(fmt.Sprint("a", i), "a"), fmt.Sprint("a", i))
			table.RecordRequestCrash(start, request(fmt.Sprint("b", i), "b"), fmt.Sprint("b", i))
		}
		for _, target := range []string{"a0", "a1", "b2"} {
			table.RecordRequestCrash(start, request("beside "+target, "beside"), target)
		}
		require.Equal(t, Blocked, table.Judge(start, DigestOfPart("engine", "beside")).State)
		require.False(t, blocked(table, start, "beside"))
		require.True(t, blocked(table, start, "a"))
		require.True(t, blocked(table, start, "b"))
	})
}

// Guards against the news of a blocked part that waits behind the records of all that was in progress
// at the same targets.
func TestBlockedRecordsAreGossipedFirst(t *testing.T) {
	const threshold = 3
	table, last := New(DefaultConfig()), digestOf("last")
	for i := range 2 * maxGossipQueue {
		table.RecordCrash(start, digestOf(fmt.Sprint(i)), "target")
		if i == maxGossipQueue/2 {
			recordCrashes(table, threshold)
		}
	}
	for i := range threshold {
		table.RecordCrash(start, last, fmt.Sprint(i))
	}
	require.LessOrEqual(t, len(table.gossipQueue), maxGossipQueue)
	sent := map[Digest]int{}
	for _, c := range table.Gossip(start, 2*threshold, 4) {
		sent[c.Digest]++
	}
	require.Equal(t, map[Digest]int{suspect: threshold, last: threshold}, sent)
}

// partSim sends requests with a bad part to a fleet, no two alike, and sound ones beside them.
type partSim struct {
	fleetSim
	// companions are parts of sound requests that requests with the bad part may have too.
	companions []string
	requests   int
	running    []partRun
	// refused counts the sound requests that were refused, after settled.
	refused int
	settled time.Time
}

// partRun is a run of a request on a target.
type partRun struct {
	instance int
	suspects Suspects
	bad      bool
	target   int
	ends     time.Time
}

// send sends a request with the parts to an instance and a target, unless the instance refuses it.
func (f *partSim) send(bad bool, instance, target int, parts ...string) {
	f.requests++
	s := request(fmt.Sprint(f.requests), parts...)
	if f.instances[instance].JudgeRequest(f.now, s).State != Allowed {
		if !bad && !f.settled.IsZero() && f.now.After(f.settled) {
			f.refused++
		}
		return
	}
	if bad && f.now.Sub(f.joined[instance]) > gossipBound {
		f.started = append(f.started, f.now)
	}
	f.running = append(f.running, partRun{instance, s, bad, target, f.now.Add(runTime)})
}

// endRuns ends the runs that are due. A target that a bad one crashes takes all its runs with it.
func (f *partSim) endRuns() {
	crashed := map[int]string{}
	for _, r := range f.running {
		if r.bad && !r.ends.After(f.now) {
			f.targets++
			crashed[r.target] = fmt.Sprint("target-", f.targets)
			f.crashed = append(f.crashed, f.now)
		}
	}
	remaining := f.running[:0]
	for _, r := range f.running {
		target, hasCrashed := crashed[r.target]
		switch {
		case hasCrashed:
			f.instances[r.instance].RecordRequestCrash(f.now, r.suspects, target)
		case r.ends.After(f.now):
			remaining = append(remaining, r)
		default:
			f.instances[r.instance].RecordRequestCompletion(f.now, r.suspects)
		}
	}
	f.running = remaining
	if len(f.crashed) >= 5 && f.settled.IsZero() {
		f.settled = f.now.Add(2 * gossipBound)
	}
}

// Guards against a part that crashes one target after another, and against sound requests that are
// refused for the parts which they share with it, whatever runs beside it, whichever messages are
// lost and whichever instances are replaced.
func TestCrashingPartIsBlockedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &partSim{fleetSim: newFleetSim(t)}
		random := f.random
		for i := range rapid.IntRange(1, 5).Draw(t, "companions") {
			f.companions = append(f.companions, fmt.Sprint("companion-", i))
		}
		targets := rapid.IntRange(3, 16).Draw(t, "targets")
		badEvery, soundEvery := rapid.IntRange(4, 40).Draw(t, "bad every"), rapid.IntRange(1, 20).Draw(t, "sound every")
		companion := func() string { return f.companions[random.IntN(len(f.companions))] }
		for i := range 400 {
			f.now = f.now.Add(step)
			if i%badEvery == 0 {
				f.send(true, random.IntN(len(f.instances)), random.IntN(targets), companion(), "bad")
			}
			if i%soundEvery == 0 {
				f.send(false, random.IntN(len(f.instances)), random.IntN(targets), companion(), companion())
			}
			f.endRuns()
			f.exchange(i)
		}
		late := 0
		for _, at := range f.started {
			if len(f.crashed) >= 5 && at.Sub(f.crashed[4]) > gossipBound {
				late++
			}
		}
		require.LessOrEqual(t, late, maxLateRuns)
		require.Zero(t, f.refused, "sound requests")
	})
}

// Guards against a full table that looks for a request to remove at each addition, or removes what is
// blocked.
func TestFullTableMakesRoomForMany(t *testing.T) {
	c := DefaultConfig()
	c.MaxRequests = 80
	table := New(c)
	latest := recordCrashes(table, c.BlockThreshold)
	shrunk := 0
	for i, before := 0, 0; i < 1000; i++ {
		before = table.Len()
		table.RecordCrash(latest, digestOf(fmt.Sprint(i)), "target")
		if table.Len() <= before {
			shrunk++
		}
		require.LessOrEqual(t, table.Len(), c.MaxRequests)
	}
	require.LessOrEqual(t, shrunk, 1000/int(evictedShare*float64(c.MaxRequests)))
	require.Equal(t, Blocked, table.Judge(latest, suspect).State)
}

// Guards against a part that is listed as a request since an instance of an earlier version passed its
// first record on.
func TestPartIsKnownFromAnyOfItsRecords(t *testing.T) {
	table := New(DefaultConfig())
	for i := range 3 {
		table.Merge(start, Crash{Digest: suspect, Part: i == 1, Target: fmt.Sprint(i)})
	}
	require.True(t, table.Judge(start, suspect).Part)
}
