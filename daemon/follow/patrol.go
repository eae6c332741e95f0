package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ivyhollow/ivyhollow/telemetry"
)

// In a large fleet few instances watch the store, since it counts each call and a
// watch of every instance is woken by every change: 58 instances that all watch made
// 7,700 calls in 45 seconds. The others hear of changes from them, and patrol: they
// ask a watcher now and then whether it hears the store, and watch for themselves
// while two in a row don't.
const (
	// patrolEvery is the time between two questions.
	patrolEvery = 700 * time.Millisecond
	// patrolTimeout bounds one question.
	patrolTimeout = 400 * time.Millisecond
	// silentWatchers in a row make an instance watch for itself, for standInFor.
	silentWatchers = 2
	standInFor     = 6 * time.Second
	// dutyPoll is how often an instance looks whether it is to watch.
	dutyPoll = 150 * time.Millisecond
)

// Hears tells whether this instance hears the store at present.
func (f *Follower) Hears() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, failed := range f.failed {
		if failed > 0 {
			return false
		}
	}
	return f.listed.Load() && time.Since(f.heard) < watchWait+2*time.Second
}

// watches tells whether this instance is to call the store now.
func (f *Follower) watches() bool {
	if f.options.Watches == nil || f.options.Watches() {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.standIn)
}

// awaitDuty waits until this instance is to call the store.
func (f *Follower) awaitDuty(ctx context.Context) {
	for ctx.Err() == nil && !f.watches() {
		pause(ctx, dutyPoll)
	}
}

// patrol asks the watchers whether they hear the store.
func (f *Follower) patrol(ctx context.Context) {
	if f.options.AskWatcher == nil {
		return
	}
	silent := 0
	for ctx.Err() == nil {
		pause(ctx, patrolEvery/2+rand.N(patrolEvery))
		if f.options.Watches() {
			silent = 0
			continue
		}
		asked, cancel := context.WithTimeout(ctx, patrolTimeout)
		hears := f.options.AskWatcher(asked)
		cancel()
		if hears {
			silent = 0
			continue
		}
		if silent++; silent >= silentWatchers {
			f.mu.Lock()
			news := time.Now().After(f.standIn)
			f.standIn = time.Now().Add(standInFor)
			f.mu.Unlock()
			if news && ctx.Err() == nil {
				telemetry.InfoS("Watchers don't hear the store, watching", telemetry.Event{Count: silent})
			}
		}
	}
}
