package watching

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// well is a tracker at a place whose store answered about both parts at start.
func newHealthyTracker(place int) *Tracker {
	t := New()
	t.SetRank(place)
	for _, part := range []Part{Configuration, Targets} {
		t.BeginCall(at(-time.Millisecond), part)
		t.RecordResponse(start, part)
	}
	return t
}

// A watch that failed is followed by one that doesn't wait: one that did, sent while the
// store was still silent, would be deaf for a term after its return.
func TestTermOfAWatch(t *testing.T) {
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

// A watch of the targets goes out while the store is silent and fails seconds after the
// store's return. Meanwhile a watch of the configuration, sent later, was answered: the
// store isn't away, and what vanishes now has left.
func TestDeafWatchIsNoSignOfTrouble(t *testing.T) {
	tracker := newHealthyTracker(1)
	tracker.BeginCall(at(time.Second), Targets)
	require.True(t, tracker.RecordFailure(Targets), "nothing was answered since")

	tracker.BeginCall(at(2*time.Second), Targets)
	tracker.BeginCall(at(3*time.Second), Configuration)
	tracker.RecordResponse(at(4*time.Second), Configuration)
	require.False(t, tracker.RecordFailure(Targets))
}

// The store answers about one part after a failure. The watch of the other part went out
// before: nobody knows whether it was received.
func TestWatchFromBeforeTheReturnIsSentAgain(t *testing.T) {
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
	require.False(t, tracker.ShouldResend(at(4*time.Second), Targets), "it went out since")
}

// The same by the word of another instance, which had the failure.
func TestWordOfTheReturn(t *testing.T) {
	tracker := newHealthyTracker(2)
	tracker.BeginCall(at(time.Second), Targets)
	tracker.RecordReport(at(5*time.Second), at(5*time.Second), Report{Known: true, Recovered: 3 * time.Second})
	require.True(t, tracker.ShouldResend(at(5*time.Second), Targets))
	require.Equal(t, at(2*time.Second), tracker.Recovered())
	tracker.BeginCall(at(5*time.Second), Targets)
	tracker.RecordReport(at(6*time.Second), at(6*time.Second), Report{Known: true, Recovered: 4 * time.Second})
	require.False(t, tracker.ShouldResend(at(6*time.Second), Targets), "the same return")
}

// The first watcher hears nothing more. Its word counts until it is too old; then the
// second takes its place, the others find its word good, and it gives the place back.
func TestNextWatcherTakesThePlace(t *testing.T) {
	second, third := newHealthyTracker(1), newHealthyTracker(2)
	random := func(int) int { panic("watchers ask in turn") }
	silent := Report{Known: true, Age: maxReportAge + 1}
	fresh := Report{Known: true, Age: shortTimeout}
	for round := 1; round <= maxMissedReports; round++ {
		now := at(time.Duration(round) * time.Second)
		nth, ask := second.NextPoll(6, random)
		require.True(t, ask)
		require.Equal(t, 0, nth)
		require.Equal(t, round == maxMissedReports, second.RecordReport(now, now, silent))

		nth, _ = third.NextPoll(6, random)
		require.Equal(t, round-1, nth)
		word := silent
		if nth == 1 {
			word = fresh
		}
		require.False(t, third.RecordReport(now, now, word))
	}
	now := at(3 * time.Second)
	require.Equal(t, shortTimeout, second.BeginCall(now, Targets))
	require.Equal(t, longTimeout, third.BeginCall(now, Targets))
	second.RecordReport(now, now, fresh)
	require.Equal(t, longTimeout, second.BeginCall(now, Targets))
}

// A watcher that takes a place with a long watch in progress may have a deaf one.
func TestLongWatchIsSentAgainWithTheFirstPlace(t *testing.T) {
	tracker := newHealthyTracker(1)
	tracker.BeginCall(start, Targets)
	tracker.SetRank(0)
	require.True(t, tracker.ShouldResend(start, Targets))
	require.Equal(t, shortTimeout, tracker.BeginCall(start, Targets))
	require.False(t, tracker.ShouldResend(start, Targets))
}

// An instance that leaves the watching to others asks any of them, watches for itself when
// none has a word that counts, and stops when that time is over.
func TestInstanceThatDoesNotWatch(t *testing.T) {
	tracker := newHealthyTracker(NoRank)
	require.False(t, tracker.ShouldWatch(start))
	nth, ask := tracker.NextPoll(6, func(n int) int { return n - 1 })
	require.True(t, ask)
	require.Equal(t, 5, nth)
	require.False(t, tracker.RecordReport(start, start, Report{}))
	require.True(t, tracker.RecordReport(start, start, Report{}))
	require.False(t, tracker.RecordReport(start, start, Report{}), "it does so already")
	require.True(t, tracker.ShouldWatch(start))
	require.Equal(t, longTimeout, tracker.BeginCall(start, Targets))
	require.False(t, tracker.ShouldWatch(at(takeoverPeriod)))
}

// The store is away for all watchers of a large fleet. They say so, and the many who don't
// watch wait longer before they call it as well; they stop as soon as a watcher hears it.
func TestDeafWatchersAreGivenTime(t *testing.T) {
	tracker := newHealthyTracker(NoRank)
	for range maxStaleReports - 1 {
		require.False(t, tracker.RecordReport(start, start, Report{Known: true, Age: time.Minute}))
	}
	require.True(t, tracker.RecordReport(start, start, Report{Known: true, Age: time.Minute}))
	require.True(t, tracker.ShouldWatch(start))
	tracker.RecordReport(start, start, Report{Known: true})
	require.False(t, tracker.ShouldWatch(start))
}

// A change wakes all watchers. The first goes on at once; the others gather what follows.
func TestOthersGatherNews(t *testing.T) {
	require.Zero(t, newHealthyTracker(0).Pause(start))
	require.Equal(t, batchDelay, newHealthyTracker(1).Pause(start))
	require.Equal(t, batchDelay, newHealthyTracker(NoRank).Pause(start))
}

// The age of what is known is that of the older part, and grows less by another's word.
func TestAge(t *testing.T) {
	require.Zero(t, New().Age(start, Targets))
	require.False(t, New().Report(start).IsFresh(), "nothing is known")
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

// Two instances each take the other for the first watcher. Their words are of one another's
// and grow old, until both watch.
func TestWordsOfOneAnotherGrowOld(t *testing.T) {
	a, b := newHealthyTracker(1), newHealthyTracker(1)
	for now := start; now.Before(at(8 * time.Second)); now = now.Add(700 * time.Millisecond) {
		a.RecordReport(now, now, b.Report(now))
		b.RecordReport(now, now, a.Report(now))
	}
	now := at(8 * time.Second)
	require.Equal(t, shortTimeout, a.BeginCall(now, Targets))
	require.Equal(t, shortTimeout, b.BeginCall(now, Targets))
}

// A call that was held back here tells nothing of the store.
func TestHeldCallIsNoFailure(t *testing.T) {
	tracker := newHealthyTracker(0)
	tracker.BeginCall(start, Targets)
	tracker.RecordNotSent(Targets)
	require.Zero(t, tracker.Failures(Targets))
	require.Equal(t, shortTimeout, tracker.BeginCall(start, Targets))
	require.False(t, tracker.RecordResponse(start, Targets))
}

// The first watcher dies in a fleet of eight. If all seven others took its place in the same
// round, each would call the store like it: those behind bear more rounds without a word.
func TestThoseBehindBearMoreRounds(t *testing.T) {
	rounds := map[int]int{1: 2, 2: 3, 3: 4, 6: 4, NoRank: 2}
	for place, want := range rounds {
		tracker := newHealthyTracker(place)
		made := 1
		for !tracker.RecordReport(start, start, Report{}) {
			made++
		}
		require.Equal(t, want, made, "place %d", place)
	}
}
