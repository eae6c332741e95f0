package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/watching"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

// In a large fleet few instances watch the store, since it counts each call and each change wakes
// the watches of all instances. The others receive the changes from the watchers by gossip. All
// instances but the first watcher poll the watchers for the age of their knowledge.
const (
	// pollInterval is the mean time between two polls.
	pollInterval = 700 * time.Millisecond
	// pollTimeout limits one poll.
	pollTimeout = 400 * time.Millisecond
	// rankCheckInterval is the time between two checks whether an instance is to watch.
	rankCheckInterval = 150 * time.Millisecond
)

// Fleet represents the other instances.
type Fleet interface {
	// WatcherCount returns the number of watchers.
	WatcherCount() int
	// Rank returns this instance's rank among the watchers, or watching.NoRank if it isn't one.
	Rank() int
	// AllWatch reports whether all instances watch, so that none depends on gossip alone.
	AllWatch() bool
	// AwaitJoin waits until an instance that has just started knows most watchers, or the
	// context ends.
	AwaitJoin(ctx context.Context)
	// PollWatcher returns the report of the watcher at an index, which is 0 for the first
	// watcher. It returns the zero Report if the watcher doesn't respond.
	PollWatcher(ctx context.Context, index int) watching.Report
}

// singleInstance is a fleet of one instance.
type singleInstance struct{}

func (singleInstance) WatcherCount() int { return 1 }

func (singleInstance) Rank() int { return 0 }

func (singleInstance) AllWatch() bool { return true }

func (singleInstance) AwaitJoin(context.Context) {}

func (singleInstance) PollWatcher(context.Context, int) watching.Report { return watching.Report{} }

// Report returns the report of this instance's knowledge for other instances.
func (f *Follower) Report() watching.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Report(time.Now())
}

// shouldWatch updates this instance's rank, and reports whether it is to call the store now.
func (f *Follower) shouldWatch() bool {
	rank := f.options.Fleet.Rank()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.SetRank(rank)
	return f.tracker.ShouldWatch(time.Now())
}

// awaitWatchDuty waits until this instance is to call the store.
func (f *Follower) awaitWatchDuty(ctx context.Context) {
	for ctx.Err() == nil && !f.shouldWatch() {
		sleep(ctx, rankCheckInterval)
	}
}

// pollWatchers polls the watchers at intervals.
func (f *Follower) pollWatchers(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, pollInterval/2+rand.N(pollInterval))
		f.pollOnce(ctx)
	}
}

// pollOnce polls a watcher, if one is to be polled now. It then cancels the watches that are
// useless according to the watcher's report or this instance's present rank, so that they are
// sent again.
func (f *Follower) pollOnce(ctx context.Context) {
	f.shouldWatch()
	watchers := f.options.Fleet.WatcherCount()
	f.mu.Lock()
	index, poll := f.tracker.NextPoll(watchers, rand.IntN)
	f.mu.Unlock()
	if poll {
		f.pollWatcher(ctx, index)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resendWatches(time.Now())
}

// pollWatcher polls the watcher at an index and records its report.
func (f *Follower) pollWatcher(ctx context.Context, index int) {
	polledAt := time.Now()
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	report := f.options.Fleet.PollWatcher(limited, index)
	cancel()
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.tracker.Recovered()
	if f.tracker.RecordReport(polledAt, time.Now(), report) {
		telemetry.InfoS("Watchers don't hear the store, watching", telemetry.Event{KnowledgeAge: report.Age})
		if report.Known {
			// The watcher responds, but the store is unavailable to it. The next changes that this
			// instance receives may therefore be the removals of expired entries, although its own
			// calls didn't fail.
			f.roster.RecordStoreFailure(time.Now())
		}
	}
	if recovered := f.tracker.Recovered(); recovered.After(before) {
		f.roster.RecordStoreFailure(recovered)
	}
}

// resendWatches cancels the watches that are to be sent again; mu is held.
func (f *Follower) resendWatches(now time.Time) {
	for part, cancel := range f.cancelCalls {
		if f.tracker.ShouldResend(now, part) {
			cancel(errResend)
		}
	}
}
