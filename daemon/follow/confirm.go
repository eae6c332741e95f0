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
	confirmationTTL = time.Second
	// unconfirmedFor is how long the store isn't asked again after it didn't
	// answer.
	confirmRetryDelay = 300 * time.Millisecond
	// confirmerTimeout bounds the question to the instance that confirms for all:
	// its own question to the store and the way there, in usual times.
	confirmerTimeout = 150 * time.Millisecond
)

// Confirm asks the store whether a newer version exists and puts it in force,
// unless the store has told lately. It guards against refusing a key or a route
// that was added a moment ago. It tells whether the store's word is known; a
// caller that leaves meanwhile gets false.
//
// Requests that ask at the same time share one question, and none of them holds
// it up for the others: it goes on when the one that put it leaves.
func (f *Follower) Confirm(ctx context.Context) bool {
	if known, recent := f.lastConfirmation(time.Now()); recent {
		return known
	}
	answer := f.confirming.DoChan(recordConfigName, func() (any, error) {
		return f.confirmByPeer() || f.confirmByStore(), nil
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
func (f *Follower) lastConfirmation(now time.Time) (known, recent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known = now.Sub(f.confirmedAt) < confirmationTTL
	return known, known || now.Sub(f.confirmFailedAt) < confirmRetryDelay
}

// askConfirmer asks the instance that confirms for all others whether the
// configuration in force here is the newest. It tells whether it is; if there is a
// newer one, or no answer, the store is asked.
//
// Without it each instance of a large fleet that meets a request for a route that
// doesn't exist asks the store.
func (f *Follower) confirmByPeer() bool {
	if f.options.ConfirmerRevision == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmerTimeout)
	defer cancel()
	start := time.Now()
	revision, known := f.options.ConfirmerRevision(ctx)
	table := f.table.Load()
	if !known || table == nil || table.Revision < revision {
		return false
	}
	f.recordConfirmed(start)
	return true
}

// ConfirmFor answers another instance's question for the newest revision.
func (f *Follower) NewestRevision(ctx context.Context) (revision uint64, known bool) {
	if !f.Confirm(ctx) {
		return 0, false
	}
	table := f.table.Load()
	if table == nil {
		return 0, false
	}
	return table.Revision, true
}

// noteHeard notes that the store's word is known as of a time.
func (f *Follower) recordConfirmed(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// askStore reads the configuration at the store and puts it in force if it is
// newer. It tells whether the store answered.
func (f *Follower) confirmByStore() bool {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	start := time.Now()
	o, err := f.options.Store.Get(ctx, f.options.Source.ConfigKind, f.options.Source.ConfigName)
	if err != nil {
		telemetry.ErrorS(err, "Configuration could not be confirmed", telemetry.Event{})
		f.mu.Lock()
		f.confirmFailedAt = time.Now()
		f.mu.Unlock()
		return false
	}
	f.applyConfigObject(*o)
	f.recordConfirmed(start)
	return true
}
