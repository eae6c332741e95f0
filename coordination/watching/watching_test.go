package watching

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// well is a tracker at a place whose store answered about both parts at start.
func well(place int) *Tracker {
	t := New()
	t.SetPlace(place)
	for _, part := range []Part{Configuration, Targets} {
		t.Begin(at(-time.Millisecond), part)
		t.Answered(start, part)
	}
	return t
}

// A watch that failed is followed by one that doesn't wait: one that did, sent while the
// store was still silent, would be deaf for a term after its return.
func TestTermOfAWatch(t *testing.T) {
	first, other := well(0), well(1)
	require.Equal(t, shortTerm, first.Begin(start, Targets))
	require.Equal(t, longTerm, other.Begin(start, Targets))
	for _, tracker := range []*Tracker{first, other} {
		tracker.Failed(Targets)
		require.Zero(t, tracker.Begin(at(time.Second), Targets))
		tracker.Answered(at(time.Second), Targets)
		require.NotZero(t, tracker.Begin(at(time.Second), Targets))
	}
}

// A watch of the targets goes out while the store is silent and fails seconds after the
// store's return. Meanwhile a watch of the configuration, sent later, was answered: the
// store isn't away, and what vanishes now has left.
func TestDeafWatchIsNoSignOfTrouble(t *testing.T) {
	tracker := well(1)
	tracker.Begin(at(time.Second), Targets)
	require.True(t, tracker.Failed(Targets), "nothing was answered since")

	tracker.Begin(at(2*time.Second), Targets)
	tracker.Begin(at(3*time.Second), Configuration)
	tracker.Answered(at(4*time.Second), Configuration)
	require.False(t, tracker.Failed(Targets))
}

// The store answers about one part after a failure. The watch of the other part went out
// before: nobody knows whether it was received.
func TestWatchFromBeforeTheReturnIsSentAgain(t *testing.T) {
	tracker := well(0)
	tracker.Begin(at(time.Second), Configuration)
	tracker.Begin(at(time.Second), Targets)
	require.False(t, tracker.Answered(at(2*time.Second), Configuration))
	require.False(t, tracker.Resend(at(2*time.Second), Targets))

	tracker.Begin(at(2*time.Second), Configuration)
	tracker.Failed(Configuration)
	tracker.Begin(at(3*time.Second), Configuration)
	require.True(t, tracker.Answered(at(3*time.Second), Configuration))
	require.True(t, tracker.Resend(at(3*time.Second), Targets))
	tracker.Begin(at(4*time.Second), Targets)
	require.False(t, tracker.Resend(at(4*time.Second), Targets), "it went out since")
}

// The same by the word of another instance, which had the failure.
func TestWordOfTheReturn(t *testing.T) {
	tracker := well(2)
	tracker.Begin(at(time.Second), Targets)
	tracker.Heard(at(5*time.Second), at(5*time.Second), Word{Known: true, Recovered: 3 * time.Second})
	require.True(t, tracker.Resend(at(5*time.Second), Targets))
	require.Equal(t, at(2*time.Second), tracker.Recovered())
	tracker.Begin(at(5*time.Second), Targets)
	tracker.Heard(at(6*time.Second), at(6*time.Second), Word{Known: true, Recovered: 4 * time.Second})
	require.False(t, tracker.Resend(at(6*time.Second), Targets), "the same return")
}

// The first watcher hears nothing more. Its word counts until it is too old; then the
// second takes its place, the others find its word good, and it gives the place back.
func TestNextWatcherTakesThePlace(t *testing.T) {
	second, third := well(1), well(2)
	random := func(int) int { panic("watchers ask in turn") }
	silent := Word{Known: true, Age: wordAge + 1}
	fresh := Word{Known: true, Age: shortTerm}
	for round := 1; round <= silentRounds; round++ {
		now := at(time.Duration(round) * time.Second)
		nth, ask := second.Asks(6, random)
		require.True(t, ask)
		require.Equal(t, 0, nth)
		require.Equal(t, round == silentRounds, second.Heard(now, now, silent))

		nth, _ = third.Asks(6, random)
		require.Equal(t, round-1, nth)
		word := silent
		if nth == 1 {
			word = fresh
		}
		require.False(t, third.Heard(now, now, word))
	}
	now := at(3 * time.Second)
	require.Equal(t, shortTerm, second.Begin(now, Targets))
	require.Equal(t, longTerm, third.Begin(now, Targets))
	second.Heard(now, now, fresh)
	require.Equal(t, longTerm, second.Begin(now, Targets))
}

// A watcher that takes a place with a long watch in progress may have a deaf one.
func TestLongWatchIsSentAgainWithTheFirstPlace(t *testing.T) {
	tracker := well(1)
	tracker.Begin(start, Targets)
	tracker.SetPlace(0)
	require.True(t, tracker.Resend(start, Targets))
	require.Equal(t, shortTerm, tracker.Begin(start, Targets))
	require.False(t, tracker.Resend(start, Targets))
}

// An instance that leaves the watching to others asks any of them, watches for itself when
// none has a word that counts, and stops when that time is over.
func TestInstanceThatDoesNotWatch(t *testing.T) {
	tracker := well(NoWatcher)
	require.False(t, tracker.Watches(start))
	nth, ask := tracker.Asks(6, func(n int) int { return n - 1 })
	require.True(t, ask)
	require.Equal(t, 5, nth)
	require.False(t, tracker.Heard(start, start, Word{}))
	require.True(t, tracker.Heard(start, start, Word{}))
	require.False(t, tracker.Heard(start, start, Word{}), "it does so already")
	require.True(t, tracker.Watches(start))
	require.Equal(t, longTerm, tracker.Begin(start, Targets))
	require.False(t, tracker.Watches(at(standInFor)))
}

// The store is away for all watchers of a large fleet. They say so, and the many who don't
// watch wait longer before they call it as well; they stop as soon as a watcher hears it.
func TestDeafWatchersAreGivenTime(t *testing.T) {
	tracker := well(NoWatcher)
	for range deafRounds - 1 {
		require.False(t, tracker.Heard(start, start, Word{Known: true, Age: time.Minute}))
	}
	require.True(t, tracker.Heard(start, start, Word{Known: true, Age: time.Minute}))
	require.True(t, tracker.Watches(start))
	tracker.Heard(start, start, Word{Known: true})
	require.False(t, tracker.Watches(start))
}

// A change wakes all watchers. The first goes on at once; the others gather what follows.
func TestOthersGatherNews(t *testing.T) {
	require.Zero(t, well(0).Pause(start))
	require.Equal(t, gatherFor, well(1).Pause(start))
	require.Equal(t, gatherFor, well(NoWatcher).Pause(start))
}

// The age of what is known is that of the older part, and grows less by another's word.
func TestAge(t *testing.T) {
	require.Zero(t, New().Age(start, Targets))
	require.False(t, New().Word(start).Counts(), "nothing is known")
	tracker := well(3)
	tracker.Begin(start, Targets)
	tracker.Answered(at(time.Second), Targets)
	now := at(3 * time.Second)
	require.Equal(t, 2*time.Second, tracker.Age(now, Targets))
	require.Equal(t, 3*time.Second, tracker.Word(now).Age)
	require.False(t, tracker.Word(now).Counts())
	tracker.Heard(at(2900*time.Millisecond), now, Word{Known: true, Age: 400 * time.Millisecond})
	require.Equal(t, 500*time.Millisecond, tracker.Age(now, Targets))
	require.Equal(t, 500*time.Millisecond, tracker.Word(now).Age)
	require.True(t, tracker.Word(now).Counts())
}

// Two instances each take the other for the first watcher. Their words are of one another's
// and grow old, until both watch.
func TestWordsOfOneAnotherGrowOld(t *testing.T) {
	a, b := well(1), well(1)
	for now := start; now.Before(at(8 * time.Second)); now = now.Add(700 * time.Millisecond) {
		a.Heard(now, now, b.Word(now))
		b.Heard(now, now, a.Word(now))
	}
	now := at(8 * time.Second)
	require.Equal(t, shortTerm, a.Begin(now, Targets))
	require.Equal(t, shortTerm, b.Begin(now, Targets))
}

// A call that was held back here tells nothing of the store.
func TestHeldCallIsNoFailure(t *testing.T) {
	tracker := well(0)
	tracker.Begin(start, Targets)
	tracker.Held(Targets)
	require.Zero(t, tracker.Failures(Targets))
	require.Equal(t, shortTerm, tracker.Begin(start, Targets))
	require.False(t, tracker.Answered(start, Targets))
}

// The first watcher dies in a fleet of eight. If all seven others took its place in the same
// round, each would call the store like it: those behind bear more rounds without a word.
func TestThoseBehindBearMoreRounds(t *testing.T) {
	rounds := map[int]int{1: 2, 2: 3, 3: 4, 6: 4, NoWatcher: 2}
	for place, want := range rounds {
		tracker := well(place)
		made := 1
		for !tracker.Heard(start, start, Word{}) {
			made++
		}
		require.Equal(t, want, made, "place %d", place)
	}
}
