package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/watching"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

// In a large fleet few instances watch the store, since it counts each call and a
// watch of every instance is woken by every change. The others hear of changes from
// them. All but the first watcher patrol: they ask a watcher now and then how old its
// knowledge is.
const (
	// patrolEvery is the time between two questions.
	pollInterval = 700 * time.Millisecond
	// patrolTimeout bounds one question.
	pollTimeout = 400 * time.Millisecond
	// dutyPoll is how often an instance looks whether it is to watch.
	rankCheckInterval = 150 * time.Millisecond
)

// Fleet is what a follower needs of the other instances.
type Fleet interface {
	// Watchers is how many instances are watchers, Place this one's place among them;
	// watching.NoWatcher if it is none.
	WatcherCount() int
	Rank() int
	// AllWatch tells whether all instances watch: none of them hears of news by the word
	// of others alone.
	AllWatch() bool
	// AwaitJoin waits until an instance that has just started knows most watchers, or the
	// context ends.
	AwaitJoin(ctx context.Context)
	// AskWatcher asks the watcher of a place for its word; a zero Word if it doesn't
	// answer.
	PollWatcher(ctx context.Context, place int) watching.Report
}

// alone is a fleet of one instance.
type singleInstance struct{}

func (singleInstance) WatcherCount() int { return 1 }

func (singleInstance) Rank() int { return 0 }

func (singleInstance) AllWatch() bool { return true }

func (singleInstance) AwaitJoin(context.Context) {}

func (singleInstance) PollWatcher(context.Context, int) watching.Report { return watching.Report{} }

// Word returns what this instance tells another of its knowledge.
func (f *Follower) Report() watching.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Report(time.Now())
}

// watches tells whether this instance is to call the store now.
func (f *Follower) shouldWatch() bool {
	place := f.options.Fleet.Rank()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.SetRank(place)
	return f.tracker.ShouldWatch(time.Now())
}

// awaitDuty waits until this instance is to call the store.
func (f *Follower) awaitWatchDuty(ctx context.Context) {
	for ctx.Err() == nil && !f.shouldWatch() {
		sleep(ctx, rankCheckInterval)
	}
}

// patrol asks the watchers for their word.
func (f *Follower) pollWatchers(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, pollInterval/2+rand.N(pollInterval))
		f.pollOnce(ctx)
	}
}

// patrolOnce asks one watcher, and sends those watches again that its word, or this
// instance's place by now, leaves without worth.
func (f *Follower) pollOnce(ctx context.Context) {
	f.shouldWatch()
	watchers := f.options.Fleet.WatcherCount()
	f.mu.Lock()
	place, ask := f.tracker.NextPoll(watchers, rand.IntN)
	f.mu.Unlock()
	if ask {
		f.pollWatcher(ctx, place)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resendWatches(time.Now())
}

// hear asks the watcher of a place.
func (f *Follower) pollWatcher(ctx context.Context, place int) {
	asked := time.Now()
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	word := f.options.Fleet.PollWatcher(limited, place)
	cancel()
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.tracker.Recovered()
	if f.tracker.RecordReport(asked, time.Now(), word) {
		telemetry.InfoS("Watchers don't hear the store, watching", telemetry.Event{Known: word.Age})
		if word.Known {
			// The store is away for a watcher that lives. What this instance hears first,
			// though none of its own calls failed, may be of entries that ran out.
			f.roster.RecordStoreFailure(time.Now())
		}
	}
	if recovered := f.tracker.Recovered(); recovered.After(before) {
		f.roster.RecordStoreFailure(recovered)
	}
}

// resend ends the watches that are to be sent again; mu is held.
func (f *Follower) resendWatches(now time.Time) {
	for part, cancel := range f.cancelCalls {
		if f.tracker.ShouldResend(now, part) {
			cancel(errResend)
		}
	}
}
