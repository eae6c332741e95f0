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
	patrolEvery = 700 * time.Millisecond
	// patrolTimeout bounds one question.
	patrolTimeout = 400 * time.Millisecond
	// dutyPoll is how often an instance looks whether it is to watch.
	dutyPoll = 150 * time.Millisecond
)

// Fleet is what a follower needs of the other instances.
type Fleet interface {
	// Watchers is how many instances are watchers, Place this one's place among them;
	// watching.NoWatcher if it is none.
	Watchers() int
	Place() int
	// AllWatch tells whether all instances watch: none of them hears of news by the word
	// of others alone.
	AllWatch() bool
	// AwaitJoin waits until an instance that has just started knows most watchers, or the
	// context ends.
	AwaitJoin(ctx context.Context)
	// AskWatcher asks the watcher of a place for its word; a zero Word if it doesn't
	// answer.
	AskWatcher(ctx context.Context, place int) watching.Report
}

// alone is a fleet of one instance.
type alone struct{}

func (alone) Watchers() int { return 1 }

func (alone) Place() int { return 0 }

func (alone) AllWatch() bool { return true }

func (alone) AwaitJoin(context.Context) {}

func (alone) AskWatcher(context.Context, int) watching.Report { return watching.Report{} }

// Word returns what this instance tells another of its knowledge.
func (f *Follower) Word() watching.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watching.Report(time.Now())
}

// watches tells whether this instance is to call the store now.
func (f *Follower) watches() bool {
	place := f.options.Fleet.Place()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watching.SetRank(place)
	return f.watching.ShouldWatch(time.Now())
}

// awaitDuty waits until this instance is to call the store.
func (f *Follower) awaitDuty(ctx context.Context) {
	for ctx.Err() == nil && !f.watches() {
		pause(ctx, dutyPoll)
	}
}

// patrol asks the watchers for their word.
func (f *Follower) patrol(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, patrolEvery/2+rand.N(patrolEvery))
		f.patrolOnce(ctx)
	}
}

// patrolOnce asks one watcher, and sends those watches again that its word, or this
// instance's place by now, leaves without worth.
func (f *Follower) patrolOnce(ctx context.Context) {
	f.watches()
	watchers := f.options.Fleet.Watchers()
	f.mu.Lock()
	place, ask := f.watching.NextPoll(watchers, rand.IntN)
	f.mu.Unlock()
	if ask {
		f.hear(ctx, place)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resend(time.Now())
}

// hear asks the watcher of a place.
func (f *Follower) hear(ctx context.Context, place int) {
	asked := time.Now()
	limited, cancel := context.WithTimeout(ctx, patrolTimeout)
	word := f.options.Fleet.AskWatcher(limited, place)
	cancel()
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.watching.Recovered()
	if f.watching.RecordReport(asked, time.Now(), word) {
		telemetry.InfoS("Watchers don't hear the store, watching", telemetry.Event{KnowledgeAge: word.Age})
		if word.Known {
			// The store is away for a watcher that lives. What this instance hears first,
			// though none of its own calls failed, may be of entries that ran out.
			f.roster.RecordStoreFailure(time.Now())
		}
	}
	if recovered := f.watching.Recovered(); recovered.After(before) {
		f.roster.RecordStoreFailure(recovered)
	}
}

// resend ends the watches that are to be sent again; mu is held.
func (f *Follower) resend(now time.Time) {
	for part, cancel := range f.sent {
		if f.watching.ShouldResend(now, part) {
			cancel(errResend)
		}
	}
}
