package watching

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// newHealthyTracker returns a tracker with the given rank. At start it has received the
// store's responses for both parts.
func newHealthyTracker(rank int) *Tracker {
	t := New(Configuration, Targets)
	t.SetRank(rank)
	for _, part := range []Part{Configuration, Targets} {
		t.BeginCall(at(-time.Millisecond), part)
		t.RecordResponse(start, part)
	}
	return t
}

// After a failed watch, the next one has a timeout of 0: a watch sent while the store is still
// silent would be orphaned for its whole timeout after the recovery.
func TestWatchTimeout(t *testing.T) {
	first, other := newHealthyTracker(0), newHealthyTracker(1)
	require.Equal(t, shortTimeout, first.BeginCall(start, Targets))
	require.Equal(t, longTimeout, other.BeginCall(start, Targets))
	for _, tracker := range []*Tracker{first, other} {
		tracker.RecordFailure(Targets)
		require.Zero(t, tracker.BeginCall(at(time.Second), Targets))
		tracker.RecordResponse(at(time.Second), Targets)
		require.NotZero(t, tracker.BeginCall(at(time.Second), Targets))
	}
}

// A watch of the targets is sent while the store is silent and fails seconds after the store's
// recovery. Meanwhile a watch of the configuration, sent later, was answered: the store isn't
// unavailable, and entries that vanish now have been removed.
func TestOrphanedWatchIsNoOutage(t *testing.T) {
	tracker := newHealthyTracker(1)
	tracker.BeginCall(at(time.Second), Targets)
	require.True(t, tracker.RecordFailure(Targets), "no later call was answered")

	tracker.BeginCall(at(2*time.Second), Targets)
	tracker.BeginCall(at(3*time.Second), Configuration)
	tracker.RecordResponse(at(4*time.Second), Configuration)
	require.False(t, tracker.RecordFailure(Targets))
}

// The store answers for one part after a failure. The watch of the other part was sent before,
// and may never have been received.
func TestWatchFromBeforeRecoveryIsResent(t *testing.T) {
	tracker := newHealthyTracker(0)
	tracker.BeginCall(at(time.Second), Configuration)
	tracker.BeginCall(at(time.Second), Targets)
	require.False(t, tracker.RecordResponse(at(2*time.Second), Configuration))
	require.False(t, tracker.ShouldResend(at(2*time.Second), Targets))

	tracker.BeginCall(at(2*time.Second), Configuration)
	tracker.RecordFailure(Configuration)
	tracker.BeginCall(at(3*time.Second), Configuration)
	require.True(t, tracker.RecordResponse(at(3*time.Second), Configuration))
	require.True(t, tracker.ShouldResend(at(3*time.Second), Targets))
	tracker.BeginCall(at(4*time.Second), Targets)
	require.False(t, tracker.ShouldResend(at(4*time.Second), Targets), "it was sent after the recovery")
}

// As before, but the failure and recovery are reported by another instance.
func TestReportedRecovery(t *testing.T) {
	tracker := newHealthyTracker(2)
	tracker.BeginCall(at(time.Second), Targets)
	tracker.RecordReport(at(5*time.Second), at(5*time.Second), Report{Known: true, Recovered: 3 * time.Second})
	require.True(t, tracker.ShouldResend(at(5*time.Second), Targets))
	require.Equal(t, at(2*time.Second), tracker.Recovered())
	tracker.BeginCall(at(5*time.Second), Targets)
	tracker.RecordReport(at(6*time.Second), at(6*time.Second), Report{Known: true, Recovered: 4 * time.Second})
	require.False(t, tracker.ShouldResend(at(6*time.Second), Targets), "the same recovery")
}

// The first watcher no longer receives responses. Its report is fresh until it is too old. Then
// the second watcher takes over, its reports are fresh to the others, and it steps back once
// the first is fresh again.
func TestNextWatcherTakesOver(t *testing.T) {
	second, third := newHealthyTracker(1), newHealthyTracker(2)
	random := func(int) int { panic("watchers poll in order") }
	silent := Report{Known: true, Age: maxReportAge + 1}
	fresh := Report{Known: true, Age: shortTimeout}
	for poll := 1; poll <= maxMissedReports; poll++ {
		now := at(time.Duration(poll) * time.Second)
		index, ok := second.NextPoll(6, random)
		require.True(t, ok)
		require.Equal(t, 0, index)
		require.Equal(t, poll == maxMissedReports, second.RecordReport(now, now, silent))

		index, _ = third.NextPoll(6, random)
		require.Equal(t, poll-1, index)
		report := silent
		if index == 1 {
			report = fresh
		}
		require.False(t, third.RecordReport(now, now, report))
	}
	now := at(3 * time.Second)
	require.Equal(t, shortTimeout, second.BeginCall(now, Targets))
	require.Equal(t, longTimeout, third.BeginCall(now, Targets))
	second.RecordReport(now, now, fresh)
	require.Equal(t, longTimeout, second.BeginCall(now, Targets))
}

// A watcher that becomes the first during a long watch may have an orphaned one.
func TestLongWatchIsResentByNewFirstWatcher(t *testing.T) {
	tracker := newHealthyTracker(1)
	tracker.BeginCall(start, Targets)
	tracker.SetRank(0)
	require.True(t, tracker.ShouldResend(start, Targets))
	require.Equal(t, shortTimeout, tracker.BeginCall(start, Targets))
	require.False(t, tracker.ShouldResend(start, Targets))
}

// An instance that leaves watching to others polls any of them, watches the store itself if no
// report is fresh, and stops at the end of the takeover period.
func TestInstanceWithoutRank(t *testing.T) {
	tracker := newHealthyTracker(NoRank)
	require.False(t, tracker.ShouldWatch(start))
	index, ok := tracker.NextPoll(6, func(n int) int { return n - 1 })
	require.True(t, ok)
	require.Equal(t, 5, index)
	require.False(t, tracker.RecordReport(start, start, Report{}))
	require.True(t, tracker.RecordReport(start, start, Report{}))
	require.False(t, tracker.RecordReport(start, start, Report{}), "it watches already")
	require.True(t, tracker.ShouldWatch(start))
	require.Equal(t, longTimeout, tracker.BeginCall(start, Targets))
	require.False(t, tracker.ShouldWatch(at(takeoverPeriod)))
}

// The store is unavailable to all watchers of a large fleet, and they report so. The many
// instances that don't watch wait longer before they call it as well, and stop as soon as a
// watcher's report is fresh.
func TestStaleReportsDelayTakeover(t *testing.T) {
	tracker := newHealthyTracker(NoRank)
	for range maxStaleReports - 1 {
		require.False(t, tracker.RecordReport(start, start, Report{Known: true, Age: time.Minute}))
	}
	require.True(t, tracker.RecordReport(start, start, Report{Known: true, Age: time.Minute}))
	require.True(t, tracker.ShouldWatch(start))
	tracker.RecordReport(start, start, Report{Known: true})
	require.False(t, tracker.ShouldWatch(start))
}

// A change answers all watches. The first watcher sends the next at once, the others wait for
// further changes.
func TestOtherWatchersBatchChanges(t *testing.T) {
	require.Zero(t, newHealthyTracker(0).Pause(start))
	require.Equal(t, batchDelay, newHealthyTracker(1).Pause(start))
	require.Equal(t, batchDelay, newHealthyTracker(NoRank).Pause(start))
}

// A report has the age of the older part, and reports of others reduce the age.
func TestAge(t *testing.T) {
	require.Zero(t, New(Configuration, Targets).Age(start, Targets))
	require.False(t, New(Configuration, Targets).Report(start).IsFresh(), "nothing is known")
	tracker := newHealthyTracker(3)
	tracker.BeginCall(start, Targets)
	tracker.RecordResponse(at(time.Second), Targets)
	now := at(3 * time.Second)
	require.Equal(t, 2*time.Second, tracker.Age(now, Targets))
	require.Equal(t, 3*time.Second, tracker.Report(now).Age)
	require.False(t, tracker.Report(now).IsFresh())
	tracker.RecordReport(at(2900*time.Millisecond), now, Report{Known: true, Age: 400 * time.Millisecond})
	require.Equal(t, 500*time.Millisecond, tracker.Age(now, Targets))
	require.Equal(t, 500*time.Millisecond, tracker.Report(now).Age)
	require.True(t, tracker.Report(now).IsFresh())
}

// Two instances each treat the other as the first watcher. Their reports are based on one
// another and grow older, until both watch.
func TestMutualReportsExpire(t *testing.T) {
	a, b := newHealthyTracker(1), newHealthyTracker(1)
	for now := start; now.Before(at(8 * time.Second)); now = now.Add(700 * time.Millisecond) {
		a.RecordReport(now, now, b.Report(now))
		b.RecordReport(now, now, a.Report(now))
	}
	now := at(8 * time.Second)
	require.Equal(t, shortTimeout, a.BeginCall(now, Targets))
	require.Equal(t, shortTimeout, b.BeginCall(now, Targets))
}

// A call that was held back proves nothing about the store.
func TestCallNotSentIsNoFailure(t *testing.T) {
	tracker := newHealthyTracker(0)
	tracker.BeginCall(start, Targets)
	tracker.RecordNotSent(Targets)
	require.Zero(t, tracker.Failures(Targets))
	require.Equal(t, shortTimeout, tracker.BeginCall(start, Targets))
	require.False(t, tracker.RecordResponse(start, Targets))
}

// The first watcher of a fleet of eight fails. If all seven others took over at the same time,
// each would call the store as often as the first. So those of higher rank wait longer.
func TestHigherRanksWaitLonger(t *testing.T) {
	polls := map[int]int{1: 2, 2: 3, 3: 4, 6: 4, NoRank: 2}
	for rank, want := range polls {
		tracker := newHealthyTracker(rank)
		got := 1
		for !tracker.RecordReport(start, start, Report{}) {
			got++
		}
		require.Equal(t, want, got, "rank %d", rank)
	}
}
