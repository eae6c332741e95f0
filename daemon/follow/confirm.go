package follow

import (
	"context"
	"time"

	"github.com/ivyhollow/ivyhollow/telemetry"
)

const (
	// confirmTimeout limits the check at the store: a hundred times the store's usual
	// response time, and short compared with the time that callers wait.
	confirmTimeout = 400 * time.Millisecond
	// confirmationTTL is how long a response of the store on the newest configuration is
	// valid: half the time in which a new version is to be in force. It also limits the calls
	// that requests with unknown keys can cause.
	confirmationTTL = time.Second
	// confirmRetryDelay is the pause after a check that the store didn't answer.
	confirmRetryDelay = 300 * time.Millisecond
	// confirmerTimeout limits the request to the instance that confirms for all: usually
	// enough for its own check at the store and the round trip.
	confirmerTimeout = 150 * time.Millisecond
)

// Confirm checks whether a newer version exists, unless the present one was confirmed or a check
// failed a short time ago. It asks the instance that confirms for all others and then, if
// necessary, the store, and puts a newer version in force. Otherwise a key or route that was
// added a moment ago would be refused. It reports whether the newest version is known, and
// returns false if ctx ends first.
//
// Concurrent requests share one check, which continues if the request that started it leaves.
func (f *Follower) Confirm(ctx context.Context) bool {
	if known, recent := f.lastConfirmation(time.Now()); recent {
		return known
	}
	result := f.confirming.DoChan(recordConfigName, func() (any, error) {
		return f.confirmByPeer() || f.confirmByStore(), nil
	})
	select {
	case r := <-result:
		known, _ := r.Val.(bool)
		return known
	case <-ctx.Done():
		return false
	}
}

// lastConfirmation reports whether the newest version is known, and whether no new check is to
// start now, because the newest version is known or a check has just failed.
func (f *Follower) lastConfirmation(now time.Time) (known, recent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known = now.Sub(f.confirmedAt) < confirmationTTL
	return known, known || now.Sub(f.confirmFailedAt) < confirmRetryDelay
}

// confirmByPeer asks the instance that confirms for all others for the newest revision. It
// reports whether the configuration in force here is certainly the newest. If it returns false,
// because there is a newer one or no usable response, the store has to be asked.
//
// Without this method, each instance of a large fleet that receives a request for a route that
// doesn't exist would call the store.
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

// NewestRevision returns the newest revision of the configuration, for another instance. known
// is false if it couldn't be determined.
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

// recordConfirmed records that the newest version was known as of a time.
func (f *Follower) recordConfirmed(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// confirmByStore reads the configuration from the store and puts it in force if it is newer. It
// reports whether the store responded.
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
