// Package follow keeps the routing configuration and the list of targets of an outside platform
// in force on an instance. It watches the platform's store, and its peers gossip what the store
// has reported to them, so that an instance which the store refuses stays up to date.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/singleflight"
	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/coordination/dcdrain"
	"github.com/ivyhollow/ivyhollow/coordination/roster"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/coordination/watching"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

const (
	// retryMin and retryMax limit the pause after a failed call. Changes must be received
	// within two seconds of the store's recovery.
	retryMin = 150 * time.Millisecond
	retryMax = 700 * time.Millisecond
	// nonWatcherRetryMax replaces retryMax in an instance that isn't a watcher: the watchers
	// retry too, and calls from many more instances to an unavailable store wouldn't help.
	nonWatcherRetryMax = 2 * time.Second
	// drainRetryPause replaces retryMax for the drains, whose bound is longer, and
	// nonWatcherDrainRetryPause nonWatcherRetryMax.
	drainRetryPause           = 2 * time.Second
	nonWatcherDrainRetryPause = 6 * time.Second
	// rosterInterval is the time between two checks for entries whose grace period is over.
	rosterInterval = 200 * time.Millisecond
)

// Sources of changes, as logged.
const (
	sourceStore = "from the store"
	sourcePeer  = "from a peer"
)

// Kinds of the gossiped records, and the name of the configuration's record.
const (
	recordConfig     = "config"
	recordTarget     = "target"
	recordLeaving    = "leaving"
	recordEnded      = "ended"
	recordDrain      = "drain"
	recordConfigName = "current"
)

// Source describes where a platform keeps its configuration and targets, and how to decode
// them.
type Source struct {
	ConfigKind string
	ConfigName string
	TargetKind string
	// DrainKind is the kind of the objects that request the drain of the data centre that they
	// are named after; empty if the platform has none.
	DrainKind    string
	DecodeConfig func(spec []byte, revision uint64) (*routes.Table, error)
	// DecodeTarget decodes the entry of a target. It returns an error for an incomplete entry,
	// which names no target.
	DecodeTarget func(name string, spec []byte) (routes.Target, error)
}

// Options are the dependencies of a Follower.
type Options struct {
	Store  platform.Store
	Source Source
	// Gossip disseminates a record to the other instances.
	Gossip func(r spread.Record)
	// OnChange is called with the configuration and the usable targets after each change of
	// either. Calls don't overlap.
	OnChange func(now time.Time, t *routes.Table, usable map[string][]routes.Target)
	// Fleet represents the other instances; nil if there are none.
	Fleet Fleet
	// AskConfirmer asks the instance that confirms for all others for the newest version in the
	// store. Known is false if this instance is that one, or if that one doesn't respond or
	// doesn't know. The function is nil if each instance calls the store itself.
	AskConfirmer func(ctx context.Context) Newest
	// OnLeaving is called for each incarnation that accepts no new work from now on.
	OnLeaving func(now time.Time, incarnation string)
	Scope     tally.Scope
}

// Follower holds the configuration and the targets in force.
type Follower struct {
	options       Options
	scope         tally.Scope
	table         atomic.Pointer[routes.Table]
	targetsListed atomic.Bool
	ready         chan struct{}

	// drainsListed is true once the drains have been listed.
	drainsListed atomic.Bool
	// usable holds the incarnations of the published targets.
	usable atomic.Pointer[map[string]bool]

	mu     sync.Mutex
	roster *roster.Roster
	drains *dcdrain.Set
	// rejectionLog limits the logs of entries that name no target.
	rejectionLog rejectionLog
	// tracker decides how the store is watched.
	tracker *watching.Tracker
	// cancelCalls cancel the calls in progress, by part.
	cancelCalls map[watching.Part]context.CancelCauseFunc
	// confirmedAt is the latest time as of which the newest version was known.
	confirmedAt time.Time

	// configChanged is closed and replaced when another version is put in force.
	configChanged chan struct{}
	// configBytes is the size of the version in force.
	configBytes int

	// configKnownTo is the revision of the store up to which changes of the configuration are
	// known.
	configKnownTo atomic.Uint64
	// newestRevision is the newest revision that another instance has reported.
	newestRevision atomic.Uint64
	// refusedRevision is the newest revision that couldn't be decoded.
	refusedRevision atomic.Uint64

	confirming singleflight.Group
	// confirmFailedAt is when the store last failed to answer a check for a newer version.
	confirmFailedAt time.Time
}

// New returns a follower without a configuration and targets.
func New(o Options) *Follower {
	if o.Fleet == nil {
		o.Fleet = singleInstance{}
	}
	parts := []watching.Part{watching.Configuration, watching.Targets}
	if o.Source.DrainKind != "" {
		parts = append(parts, watching.Drains)
	}
	return &Follower{
		ready: make(chan struct{}), configChanged: make(chan struct{}), options: o, scope: o.Scope.SubScope("follow"), roster: roster.New(), drains: dcdrain.New(),
		tracker: watching.New(parts...), cancelCalls: map[watching.Part]context.CancelCauseFunc{},
	}
}

// Table returns the configuration in force, or nil if there is none yet.
func (f *Follower) Table() *routes.Table { return f.table.Load() }

// Ready reports whether the configuration and the targets are known and published. Before that
// a request would find no target.
func (f *Follower) Ready() bool {
	select {
	case <-f.ready:
		return true
	default:
		return false
	}
}

// AwaitReady waits until the instance is ready, or the context ends.
func (f *Follower) AwaitReady(ctx context.Context) {
	select {
	case <-f.ready:
	case <-ctx.Done():
	}
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	source := &f.options.Source
	wg.Go(func() {
		f.watchKind(ctx, watchedKind{watching.Configuration, source.ConfigKind, f.applyConfigEvent, f.applyConfigList})
	})
	wg.Go(func() {
		f.watchKind(ctx, watchedKind{watching.Targets, source.TargetKind, f.applyTargetEvent, f.applyTargetList})
	})
	if source.DrainKind != "" {
		wg.Go(func() {
			f.watchKind(ctx, watchedKind{watching.Drains, source.DrainKind, f.applyDrainEvent, f.applyDrainList})
		})
	}
	wg.Go(func() { f.tickRoster(ctx) })
	wg.Go(func() { f.pollWatchers(ctx) })
	wg.Wait()
	return nil
}

// watchedKind is a kind of object that is watched, with the handlers of what the store returns.
type watchedKind struct {
	part    watching.Part
	kind    string
	onEvent func(platformapi.Event)
	onList  func(platformapi.List)
}

// errResend cancels a watch that is to be sent again: it may have been lost while the store was
// unavailable, or its timeout is longer than this instance may now use.
var errResend = errors.New("the watch is sent again")

// watchKind lists a kind and then watches it.
func (f *Follower) watchKind(ctx context.Context, k watchedKind) {
	var revision uint64
	for ctx.Err() == nil {
		if revision != 0 {
			// Before it knows the other instances, an instance considers itself a watcher.
			f.options.Fleet.AwaitJoin(ctx)
			f.awaitWatchDuty(ctx)
		}
		started := time.Now()
		call, cancel := context.WithCancelCause(ctx)
		next, changes, err := f.callStore(call, k, revision, f.beginCall(started, k.part, cancel))
		resent := errors.Is(context.Cause(call), errResend)
		cancel(nil)
		switch {
		case errors.Is(err, platform.ErrCompacted), revision != 0 && errors.Is(err, platform.ErrResponseTooLarge):
			telemetry.InfoS("Changes can't be read, listing again", telemetry.Event{Record: k.kind, Revision: revision, Reason: unreadableReason(err)})
			revision = 0
		case err != nil && resent:
		case err != nil:
			f.handleFailure(ctx, k, started, err)
		default:
			revision = next
			if k.part == watching.Configuration {
				f.configKnownTo.Store(revision)
			}
			f.awaitBatch(ctx, changes)
		}
	}
}

// unreadableReason returns why the changes since a revision can't be read, for the log.
func unreadableReason(err error) string {
	if errors.Is(err, platform.ErrCompacted) {
		return "history_gone"
	}
	return "too_large"
}

// awaitBatch delays the next watch after changes, in a fleet in which most instances receive
// changes by gossip. Where all instances watch, each must receive changes at once: until it knows
// that a target has restarted under its name, requests are sent on connections to the earlier
// process.
func (f *Follower) awaitBatch(ctx context.Context, changes int) {
	if changes == 0 || f.options.Fleet.AllWatch() {
		return
	}
	f.mu.Lock()
	d := f.tracker.Pause(time.Now())
	f.mu.Unlock()
	sleep(ctx, d)
}

// callStore lists a kind, or watches it from a revision on, and applies the response. It returns
// the revision to continue from, and the number of changes.
func (f *Follower) callStore(ctx context.Context, k watchedKind, revision uint64, wait time.Duration) (next uint64, changes int, err error) {
	if revision == 0 {
		l, err := f.options.Store.List(ctx, k.kind)
		if err != nil {
			return 0, 0, err
		}
		answered := f.recordResponse(k)
		f.logUnreadable(k.kind, l.Unreadable)
		k.onList(l)
		f.recordApplied(k, answered)
		return l.Revision, 0, nil
	}
	w, err := f.options.Store.Watch(ctx, []string{k.kind}, revision, wait)
	if err != nil {
		return 0, 0, err
	}
	answered := f.recordResponse(k)
	f.logUnreadable(k.kind, w.Unreadable)
	for _, e := range w.Events {
		k.onEvent(e)
	}
	f.recordApplied(k, answered)
	return max(revision, w.Revision), len(w.Events), nil
}

// beginCall records the start of a call, with the function that cancels it, and returns the
// timeout of a watch.
func (f *Follower) beginCall(now time.Time, part watching.Part, cancel context.CancelCauseFunc) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelCalls[part] = cancel
	return f.tracker.BeginCall(now, part)
}

// recordResponse records a response of the store before it is applied, since entries that
// vanished while the store was unavailable are kept for a while after its recovery. It returns
// the time.
func (f *Follower) recordResponse(k watchedKind) time.Time {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.cancelCalls, k.part)
	event := telemetry.Event{Record: k.kind, Count: f.tracker.Failures(k.part), KnowledgeAge: f.tracker.Age(now, k.part)}
	if f.tracker.RecordResponse(now, k.part) {
		f.roster.RecordStoreFailure(now)
		f.resendWatches(now)
		telemetry.InfoS("Store answers again", event)
	}
	return now
}

// recordApplied records that a response of the store has been applied. If it were recorded
// earlier, a key that the response adds could be denied as unknown to the store.
func (f *Follower) recordApplied(k watchedKind, answered time.Time) {
	if k.part == watching.Configuration {
		f.recordConfirmed(answered)
	}
}

// handleFailure records that the store didn't answer a call, and waits before the next one.
func (f *Follower) handleFailure(ctx context.Context, k watchedKind, started time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	f.mu.Lock()
	delete(f.cancelCalls, k.part)
	failed := f.tracker.Failures(k.part)
	event := telemetry.Event{Record: k.kind, Count: failed, Elapsed: now.Sub(started), KnowledgeAge: f.tracker.Age(now, k.part)}
	switch {
	case errors.Is(err, platform.ErrBudget):
		f.tracker.RecordNotSent(k.part)
	case f.tracker.RecordFailure(k.part) && !errors.Is(err, platform.ErrOutage):
		f.roster.RecordStoreFailure(now)
	}
	f.mu.Unlock()
	f.scope.Counter("store_failures").Inc(1)
	if failed == 0 {
		telemetry.ErrorS(err, "Store doesn't answer", event)
	} else {
		telemetry.ErrorS(err, "Store still doesn't answer", event)
	}
	if k.part == watching.Drains && f.drainsKnown() {
		f.awaitRecovery(ctx, now)
		return
	}
	maxPause := retryMax
	if f.options.Fleet.Rank() == watching.NoRank {
		maxPause = nonWatcherRetryMax
	}
	sleep(ctx, min(retryMin<<min(failed, 4), maxPause)+rand.N(retryMin))
}

// awaitRecovery waits until the store is known to have answered a call after a failure, here or at
// another instance, at most for a pause. The other parts' calls show the recovery, so that the
// drains needn't.
func (f *Follower) awaitRecovery(ctx context.Context, failedAt time.Time) {
	pause := drainRetryPause
	if f.options.Fleet.Rank() == watching.NoRank {
		pause = nonWatcherDrainRetryPause
	}
	until := failedAt.Add(pause + rand.N(retryMin))
	for ctx.Err() == nil && time.Now().Before(until) {
		sleep(ctx, retryMin)
		f.mu.Lock()
		recovered := f.tracker.Recovered().After(failedAt)
		f.mu.Unlock()
		if recovered {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (f *Follower) applyConfigList(l platformapi.List) {
	for _, o := range l.Items {
		f.applyConfigObject(o)
	}
}

func (f *Follower) applyConfigEvent(e platformapi.Event) {
	if !e.Deleted {
		f.applyConfigObject(e.Object)
	}
}

func (f *Follower) applyConfigObject(o platformapi.Object) {
	if o.Metadata.Name == f.options.Source.ConfigName {
		f.applyConfig(o.Metadata.Revision, o.Spec, true)
	}
}

// applyConfig puts a version in force if it is newer than the present one. A version that can't be
// decoded leaves the present one in force. If direct, the version comes from the store and is
// gossiped to the other instances.
func (f *Follower) applyConfig(revision uint64, spec []byte, direct bool) {
	if f.activateConfig(revision, spec, direct) && direct {
		f.options.Gossip(spread.Record{Kind: recordConfig, Name: recordConfigName, Revision: revision, Body: spec})
	}
}

// activateConfig puts a version in force if it is newer than the present one and can be decoded.
// It reports whether it did.
func (f *Follower) activateConfig(revision uint64, spec []byte, direct bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current := f.table.Load(); current != nil && revision <= current.Revision {
		return false
	}
	table, err := f.options.Source.DecodeConfig(spec, revision)
	if err != nil {
		f.refusedRevision.Store(max(f.refusedRevision.Load(), revision))
		klog.ErrorS(err, "Configuration refused, the one before stays in force", "revision", revision)
		return false
	}
	// The targets are published first. Otherwise the requests for a new service that the
	// configuration names would be refused for lack of a target until its targets are published.
	f.publishTargetsFor(time.Now(), table)
	f.table.Store(table)
	f.configBytes = len(spec)
	close(f.configChanged)
	f.configChanged = make(chan struct{})
	f.markReady()
	reason := sourcePeer
	if direct {
		reason = sourceStore
	}
	telemetry.InfoS("Configuration in force", telemetry.Event{Revision: revision, Count: table.RouteCount(), Bytes: len(spec), Reason: reason})
	return true
}

// Republish publishes the targets once more.
func (f *Follower) Republish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publishTargets(time.Now())
}

// publishTargets publishes the targets with the configuration in force; mu is held.
func (f *Follower) publishTargets(now time.Time) {
	if table := f.table.Load(); table != nil {
		f.publishTargetsFor(now, table)
		f.markReady()
	}
}

// publishTargetsFor publishes the usable targets with a configuration, once the drains are
// known; mu is held.
func (f *Follower) publishTargetsFor(now time.Time, table *routes.Table) {
	if !f.drainsKnown() {
		return
	}
	f.scope.Gauge("revision").Update(float64(table.Revision))
	f.scope.Gauge("targets").Update(float64(f.roster.Len()))
	f.scope.Gauge("drained_data_centres").Update(float64(len(f.drains.Drains())))
	usable := f.undrained(f.roster.Usable())
	set := incarnations(usable)
	f.usable.Store(&set)
	f.options.OnChange(now, table, usable)
}

// markReady records that a configuration is in force and its targets have been published.
func (f *Follower) markReady() {
	if f.targetsListed.Load() && f.drainsKnown() && !f.Ready() {
		close(f.ready)
	}
}
