package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

const (
	// confirmTimeout limits the time until the store begins to answer a check, and each pause
	// in its answer: a hundred times the store's usual response time, and short compared with
	// the time that callers wait.
	confirmTimeout = 400 * time.Millisecond
	// maxConfirmTime limits a check. A large configuration takes a second over a slow link.
	maxConfirmTime = 3 * time.Second
	// confirmationTTL is how long a response of the store on the newest configuration is
	// valid: half the time in which a new version is to be in force. It also limits the calls
	// that requests with unknown keys can cause.
	confirmationTTL = time.Second
	// confirmRetryDelay is the pause after a check that the store didn't answer.
	confirmRetryDelay = 300 * time.Millisecond
	// confirmerTimeout limits the request to the instance that confirms for all: usually
	// enough for its own check at the store and the round trip.
	confirmerTimeout = 150 * time.Millisecond
	// maxDirectRead is the size in bytes up to which a version that another instance knows is
	// read from the store. A larger one is awaited from the gossip, which sends it compressed.
	maxDirectRead = 64 << 10
	// gossipWait limits the wait for a version from the gossip.
	gossipWait = time.Second
)

// errChanged cancels a check at the store when a peer has sent another version.
var errChanged = errors.New("another version is in force")

// Newest is the newest version of the configuration that an instance knows.
type Newest struct {
	Revision uint64
	// Bytes is the size of the version; 0 if unknown.
	Bytes int
	// Known is false if the store hasn't confirmed that the version is the newest.
	Known bool
}

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
		return f.confirm(), nil
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

// confirm asks the instance that confirms for all others and then, if necessary, the store. It
// reports whether the configuration in force here is certainly the newest.
//
// Without the first step, each instance of a large fleet that receives a request for a route
// that doesn't exist would call the store.
func (f *Follower) confirm() bool {
	start := time.Now()
	newest := f.askConfirmer()
	if newest.Known && f.revision() < newest.Revision {
		f.newestRevision.Store(newest.Revision)
		if newest.Bytes > maxDirectRead {
			f.awaitRevision(newest.Revision)
		}
	}
	if newest.Known && f.revision() >= newest.Revision && f.revision() != 0 {
		f.recordConfirmed(start)
		return true
	}
	return f.confirmByStore()
}

// askConfirmer returns the newest version according to the instance that confirms for all others.
func (f *Follower) askConfirmer() Newest {
	if f.options.AskConfirmer == nil {
		return Newest{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmerTimeout)
	defer cancel()
	return f.options.AskConfirmer(ctx)
}

// Newest returns the newest version of the configuration, for another instance.
func (f *Follower) Newest(ctx context.Context) Newest {
	if !f.Confirm(ctx) || f.revision() == 0 {
		return Newest{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return Newest{Revision: f.revision(), Bytes: f.configBytes, Known: true}
}

// Outdated reports whether a newer version of the configuration is known to exist than the one in
// force, so that a denial by the latter may be wrong. A newer version that can't be decoded
// doesn't count.
func (f *Follower) Outdated() bool {
	newest := f.newestRevision.Load()
	return newest > f.revision() && newest > f.refusedRevision.Load()
}

// revision returns the revision of the configuration in force, or 0 if there is none.
func (f *Follower) revision() uint64 {
	if table := f.table.Load(); table != nil {
		return table.Revision
	}
	return 0
}

// awaitRevision waits until a revision of the configuration is in force, or gossipWait is over.
func (f *Follower) awaitRevision(revision uint64) {
	timeout := time.After(gossipWait)
	for {
		changed := f.configChange()
		if f.revision() >= revision {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			return
		}
	}
}

// configChange returns a channel that is closed when another version of the configuration is put
// in force.
func (f *Follower) configChange() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configChanged
}

// recordConfirmed records that the newest version was known as of a time.
func (f *Follower) recordConfirmed(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// confirmByStore asks the store for a newer version and puts it in force. It reports whether the
// store responded. The check is given up when a peer sends another version meanwhile, since its
// response would only delay that of the next check.
func (f *Follower) confirmByStore() bool {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	limited, stop := platform.WithProgressTimeout(ctx, platform.ProgressTimeout{First: confirmTimeout, Idle: confirmTimeout, Total: maxConfirmTime})
	defer stop()
	changed, done := f.configChange(), make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-changed:
			cancel(errChanged)
		case <-done:
		}
	}()
	start := time.Now()
	err := f.readNewest(limited)
	if err != nil && errors.Is(context.Cause(ctx), errChanged) {
		return false
	}
	if err != nil {
		telemetry.ErrorS(err, "Configuration could not be confirmed", telemetry.Event{Elapsed: time.Since(start)})
		f.mu.Lock()
		f.confirmFailedAt = time.Now()
		f.mu.Unlock()
		return false
	}
	f.recordConfirmed(start)
	return true
}

// readNewest asks the store for a newer version and puts it in force. While there is none, the
// store's response is small, whatever the size of the configuration.
func (f *Follower) readNewest(ctx context.Context) error {
	source := &f.options.Source
	if known := max(f.configKnownTo.Load(), f.revision()); known != 0 {
		w, err := f.options.Store.Watch(ctx, []string{source.ConfigKind}, known, 0)
		if err == nil {
			for _, e := range w.Events {
				f.applyConfigEvent(e)
			}
			return nil
		}
		if !errors.Is(err, platform.ErrCompacted) && !errors.Is(err, platform.ErrResponseTooLarge) {
			return err
		}
	}
	o, err := f.options.Store.Get(ctx, source.ConfigKind, source.ConfigName)
	if err != nil {
		return err
	}
	f.applyConfigObject(*o)
	return nil
}
