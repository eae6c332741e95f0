package follow

import (
	"context"
	"time"

	"github.com/ivyhollow/ivyhollow/telemetry"
)

// Bounds of the question whether a newer configuration exists.
const (
	// confirmTimeout bounds one question: a hundred times what the store takes,
	// and short against what callers wait.
	confirmTimeout = 400 * time.Millisecond
	// confirmedFor is how long the store's word on the newest configuration holds:
	// half the time in which a new version is to be in force. It also bounds the
	// calls that requests with keys of nobody can cause.
	confirmedFor = time.Second
	// unconfirmedFor is how long the store isn't asked again after it didn't
	// answer.
	unconfirmedFor = 300 * time.Millisecond
)

// Confirm asks the store whether a newer version exists and puts it in force,
// unless the store has told lately. It guards against refusing a key or a route
// that was added a moment ago. It tells whether the store's word is known; a
// caller that leaves meanwhile gets false.
//
// Requests that ask at the same time share one question, and none of them holds
// it up for the others: it goes on when the one that put it leaves.
func (f *Follower) Confirm(ctx context.Context) bool {
	if known, recent := f.confirmed(time.Now()); recent {
		return known
	}
	answer := f.confirming.DoChan(configName, func() (any, error) {
		return f.askStore(), nil
	})
	select {
	case a := <-answer:
		known, _ := a.Val.(bool)
		return known
	case <-ctx.Done():
		return false
	}
}

// confirmed tells whether the store has told, or was asked in vain, so lately that
// it isn't asked now.
func (f *Follower) confirmed(now time.Time) (known, recent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known = now.Sub(f.heard) < confirmedFor
	return known, known || now.Sub(f.unconfirmed) < unconfirmedFor
}

// askStore reads the configuration at the store and puts it in force if it is
// newer. It tells whether the store answered.
func (f *Follower) askStore() bool {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	start := time.Now()
	o, err := f.options.Store.Get(ctx, f.options.Source.ConfigKind, f.options.Source.ConfigName)
	if err != nil {
		telemetry.ErrorS(err, "Configuration could not be confirmed", telemetry.Event{})
		f.mu.Lock()
		f.unconfirmed = time.Now()
		f.mu.Unlock()
		return false
	}
	f.configObject(*o)
	f.mu.Lock()
	defer f.mu.Unlock()
	if start.After(f.heard) {
		f.heard = start
	}
	return true
}
