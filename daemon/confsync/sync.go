// Package confsync keeps an instance's configuration and list of targets up to date. A
// few instances watch the platform's store and gossip the changes to the others. A new
// instance reads all records from a peer and from the store and uses the newest versions.
package confsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/record"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// Intervals and timeouts.
const (
	// watchWait is how long one watch waits for changes, and watchGrace how much longer
	// its response may take. Both are short, so that a silent connection is detected
	// within the 3 s in which a change has to be in force.
	watchWait  = time.Second
	watchGrace = 500 * time.Millisecond
	// minRelistInterval is the time between two lists of all kinds on a watcher, which
	// find changes that the watch has skipped. Each full page of the lists adds this time
	// once more.
	minRelistInterval = 2 * time.Second
	followInterval    = 500 * time.Millisecond
	retryMin          = 200 * time.Millisecond
	retryMax          = 2 * time.Second
)

// failureLogLevel is the verbosity at which every failure after the first is logged.
const failureLogLevel = 1

// Watchers is the number of instances that watch the store. Changes are still gossiped
// without delay if two of them fail at once or if one has a silent connection.
const Watchers = 3

// Publisher gossips records to all instances.
type Publisher interface {
	// Publish must not block. It may pass the records to Receive before it returns.
	Publish(records []spread.Record)
}

// Peers gives access to the other instances.
type Peers interface {
	// Call sends a request to an instance, by name, and returns its response.
	Call(ctx context.Context, instance, method string, body []byte) ([]byte, error)
	// Others returns the names of the other live instances in random order.
	Others() []string
}

// Options configure a Sync.
type Options struct {
	Store     platform.Store
	Publisher Publisher
	Peers     Peers
	// WatcherRank returns this instance's rank among the watchers, starting at 0, or
	// false if it isn't a watcher. The watcher of rank 0 writes the verdicts to the
	// store: whether each record is accepted or refused.
	WatcherRank func() (rank int, ok bool)
	// OnSnapshot is called with each new configuration. Calls don't overlap.
	OnSnapshot func(*catalog.Snapshot)
	// OnTargets is called with the complete list of targets after each change.
	OnTargets func([]platformapi.TargetEntry)
	// OnLeaving is called once for each incarnation that a peer has marked as leaving;
	// it may be nil. It must not block.
	OnLeaving func(incarnation string)
	Scope     tally.Scope
}

// Sync keeps the configuration and the targets of an instance in step with the store and
// the peers. Its methods are safe for concurrent use.
type Sync struct {
	opts     Options
	inForce  atomic.Pointer[catalog.Snapshot]
	complete atomic.Bool
	ready    chan struct{}
	verdicts *verdictWriter
	metrics  metrics
	// lastFailed reports whether the last read of the configuration failed. It is only
	// used by Run.
	lastFailed bool
	// listPages is the number of full pages in the last lists. It is only used by Run.
	listPages int

	mu      sync.Mutex
	set     *config.Set
	targets *targetList
	leaving *leavingMarks
	// bootstrapped is false until both the peers and the store have been tried. Until
	// then no configuration is put in force, because it could be the older of the two.
	bootstrapped bool
	// outbox holds the records to gossip, and newlyLeaving the incarnations to pass to
	// OnLeaving, once the lock is released.
	outbox       []spread.Record
	newlyLeaving []string
}

// New returns a Sync without any records.
func New(o Options) *Sync {
	m := newMetrics(o.Scope)
	return &Sync{
		opts:     o,
		ready:    make(chan struct{}),
		set:      config.New(record.Decode),
		targets:  newTargetList(),
		leaving:  newLeavingMarks(),
		verdicts: newVerdictWriter(o.Store, m),
		metrics:  m,
	}
}

// Snapshot returns the configuration in force, nil if there is none yet.
func (s *Sync) Snapshot() *catalog.Snapshot { return s.inForce.Load() }

// Ready returns a channel that is closed once a complete configuration is in force.
func (s *Sync) Ready() <-chan struct{} { return s.ready }

// Run keeps the configuration up to date until the context ends.
func (s *Sync) Run(ctx context.Context) error {
	var background sync.WaitGroup
	background.Go(func() { s.verdicts.run(ctx) })
	background.Go(func() { s.expireMarks(ctx) })
	defer background.Wait()
	pause := retryMin
	for ctx.Err() == nil {
		err := s.syncOnce(ctx)
		if ctx.Err() != nil {
			break
		}
		s.recordResult(err, pause)
		if err == nil {
			pause = retryMin
			continue
		}
		sleep(ctx, pause)
		pause = min(2*pause, retryMax)
	}
	return nil
}

// recordResult counts failures and logs the first of a series and the end of the series:
// a line for each failure would hide all others during an hour's outage of the store.
func (s *Sync) recordResult(err error, pause time.Duration) {
	switch {
	case err == nil && s.lastFailed:
		telemetry.InfoS("configuration is read again", telemetry.Event{})
	case err != nil && !s.lastFailed:
		telemetry.ErrorS(err, "configuration not read; the one in force goes on", telemetry.Event{Reason: "store"})
	case err != nil:
		telemetry.DebugS(failureLogLevel, "configuration not read", telemetry.Event{Reason: "store", Elapsed: pause})
	}
	s.lastFailed = err != nil
	if err != nil {
		s.metrics.failures.Inc(1)
	}
}

// syncOnce bootstraps, watches or follows once, depending on the instance's state and role.
func (s *Sync) syncOnce(ctx context.Context) error {
	if !s.complete.Load() {
		return s.bootstrap(ctx)
	}
	if s.role() == follower {
		return s.listOccasionally(ctx)
	}
	return s.watch(ctx)
}

// listOccasionally waits for followInterval and then lists the store with a probability
// at which all followers together do so about as often as one watcher. This covers the
// case that only the watchers can't reach the store: a change would otherwise wait until
// one of them can.
func (s *Sync) listOccasionally(ctx context.Context) error {
	sleep(ctx, followInterval)
	followers := max(1, len(s.opts.Peers.Others())+1-Watchers)
	meanInterval := float64(s.relistInterval()) * float64(followers)
	if ctx.Err() != nil || rand.Float64() > float64(followInterval)/meanInterval {
		return nil
	}
	_, err := s.list(ctx)
	return err
}

// Receive applies records from a peer's gossip.
func (s *Sync) Receive(records []spread.Record) {
	s.withLock(func() {
		s.applyRecords(decodeRecords(records))
		for _, r := range records {
			s.applyTargetOrMark(r)
		}
		s.notifyTargets()
	})
}

// applyTargetOrMark applies a record that holds a target's entry or the mark of a leaving
// incarnation. It ignores configuration records. The caller holds the lock.
func (s *Sync) applyTargetOrMark(r spread.Record) {
	switch r.Kind {
	case platformapi.KindTargets:
		s.targets.put(r.Name, r.Revision, r.Deleted, r.Body)
	case kindLeaving:
		s.applyMark(r)
	}
}

// withLock runs a step under the lock and passes the queued records and leaving marks on
// after releasing it: the publisher may pass the records to Receive before it returns, which
// would deadlock under the lock.
func (s *Sync) withLock(step func()) {
	s.mu.Lock()
	step()
	records, leaving := s.outbox, s.newlyLeaving
	s.outbox, s.newlyLeaving = nil, nil
	s.mu.Unlock()
	if len(records) > 0 {
		s.opts.Publisher.Publish(records)
	}
	for _, incarnation := range leaving {
		s.opts.OnLeaving(incarnation)
	}
}

// Digest returns a digest of the configuration records, for the status and tests.
func (s *Sync) Digest() config.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Digest()
}

// applyRecords applies configuration records. The caller holds the lock.
func (s *Sync) applyRecords(records []config.Record) {
	if len(records) == 0 {
		return
	}
	s.applySetChanges(s.set.Apply(records))
	s.queueNewerInForce(records)
}

// applySetChanges applies the results of a change of the record set: it queues the changed
// records for gossip and the verdicts for the store, and puts the snapshot in force if the
// set is complete. The caller holds the lock.
func (s *Sync) applySetChanges(changed []config.Record, snapshot *catalog.Snapshot, verdicts []config.Verdict) {
	s.outbox = append(s.outbox, encodeRecords(changed)...)
	s.queueVerdicts(verdicts)
	if !s.bootstrapped || !s.set.Complete() {
		return
	}
	if old := s.inForce.Swap(snapshot); old != snapshot {
		s.metrics.revision.Update(float64(snapshot.Revision))
		s.opts.OnSnapshot(snapshot)
	}
	if !s.complete.Swap(true) {
		close(s.ready)
	}
}

// notifyTargets calls OnTargets if the list has changed. The caller holds the lock.
func (s *Sync) notifyTargets() {
	if list, changed := s.targets.takeLive(); changed {
		s.opts.OnTargets(list)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
