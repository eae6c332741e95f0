// Package confsync keeps the configuration and the list of targets in force on
// an instance. A few instances watch the platform's store; the others learn of
// changes from their peers. A new instance starts from its peers and the store
// and takes the newest that either has.
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

// Times of the driver.
const (
	// watchWait is how long one watch waits, watchGrace how long its answer may
	// take beyond. Both are short, so that a watch whose connection went silent
	// is noticed within the 3 s in which a change has to be in force.
	watchWait  = time.Second
	watchGrace = 500 * time.Millisecond
	// relistEvery is how often a watcher reads everything again, against a
	// watch that skips a change. Each page of a list adds as much again.
	minRelistInterval = 2 * time.Second
	followInterval    = 500 * time.Millisecond
	retryMin          = 200 * time.Millisecond
	retryMax          = 2 * time.Second
)

// failureLogLevel is the verbosity at which each failed round is logged.
const failureLogLevel = 1

// Watchers is how many instances watch the store. Two may die at once, or one
// may sit on a silent connection, and a change still spreads at once.
const Watchers = 3

// Spreader passes records on to all instances; *cluster.Cluster is one. Publish
// doesn't block.
type Publisher interface {
	Publish(records []spread.Record)
}

// Peers asks another instance for all records; *cluster.Cluster is one.
type Peers interface {
	Call(ctx context.Context, instance, method string, body []byte) ([]byte, error)
	// Others names live instances other than this one, in random order.
	Others() []string
}

// Options are the parts that a Sync works with.
type Options struct {
	Store     platform.Store
	Publisher Publisher
	Peers     Peers
	// WatcherRank returns this instance's place among the watchers, from 0,
	// or false when it is none. Place 0 writes the verdicts to the store.
	WatcherRank func() (rank int, ok bool)
	// OnSnapshot is told of each new configuration, one at a time.
	OnSnapshot func(*catalog.Snapshot)
	// OnTargets is told of the whole list of targets after each change of it.
	OnTargets func([]platformapi.TargetEntry)
	// OnLeaving is told once of each incarnation that a peer saw leaving; nil
	// if nobody listens. It must not block.
	OnLeaving func(incarnation string)
	Scope     tally.Scope
}

// Sync is the driver. Its methods are safe for concurrent use.
type Sync struct {
	opts     Options
	inForce  atomic.Pointer[catalog.Snapshot]
	complete atomic.Bool
	ready    chan struct{}
	verdicts *verdictWriter
	metrics  metrics
	// failing tells that the last round failed; only Run uses it.
	lastFailed bool
	// pages is how many pages the last lists had; only Run uses it.
	listPages int

	mu      sync.Mutex
	set     *config.Set
	targets *targetList
	leaving *leavingMarks
	// started is false until peers and store were both asked: until then
	// nothing is published, lest the older of the two comes into force.
	bootstrapped bool
	// outbox holds what is to be spread once the lock is given back, told the
	// incarnations that OnLeaving is to be told.
	outbox       []spread.Record
	newlyLeaving []string
}

// New makes a driver that holds nothing yet.
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

// Snapshot returns the configuration in force, nil before the first one.
func (s *Sync) Snapshot() *catalog.Snapshot { return s.inForce.Load() }

// Ready is closed once a whole configuration is in force.
func (s *Sync) Ready() <-chan struct{} { return s.ready }

// Run follows the store or the peers until the context ends.
func (s *Sync) Run(ctx context.Context) error {
	var drivers sync.WaitGroup
	drivers.Go(func() { s.verdicts.run(ctx) })
	drivers.Go(func() { s.expireMarks(ctx) })
	defer drivers.Wait()
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

// note logs the first failed round of a series, and its end: while the store is
// away for an hour, a line a round would hide everything else.
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

// follow does one round by the instance's role.
func (s *Sync) syncOnce(ctx context.Context) error {
	if !s.complete.Load() {
		return s.bootstrap(ctx)
	}
	if s.role() == follower {
		return s.listOccasionally(ctx)
	}
	return s.watch(ctx)
}

// sample waits a little and now and then lists the store, so that the followers
// together do so about as often as one watcher. All watchers may have lost the
// store while the followers have it, and a change would wait for their return.
func (s *Sync) listOccasionally(ctx context.Context) error {
	sleep(ctx, followInterval)
	followers := max(1, len(s.opts.Peers.Others())+1-Watchers)
	between := float64(s.relistInterval()) * float64(followers)
	if ctx.Err() != nil || rand.Float64() > float64(followInterval)/between {
		return nil
	}
	_, err := s.list(ctx)
	return err
}

// Receive takes records that a peer has spread.
func (s *Sync) Receive(records []spread.Record) {
	s.withLock(func() {
		s.applyRecords(decodeRecords(records))
		for _, r := range records {
			s.applyOther(r)
		}
		s.notifyTargets()
	})
}

// takeOther takes a record that is no record of operators. It needs the lock.
func (s *Sync) applyOther(r spread.Record) {
	switch r.Kind {
	case platformapi.KindTargets:
		s.targets.put(r.Name, r.Revision, r.Deleted, r.Body)
	case kindLeaving:
		s.applyMark(r)
	}
}

// locked runs a step under the lock and spreads what it brought without it: the
// spreader hands news back to Receive before it returns, which would wait for
// the lock for ever.
func (s *Sync) withLock(step func()) {
	s.mu.Lock()
	step()
	news, told := s.outbox, s.newlyLeaving
	s.outbox, s.newlyLeaving = nil, nil
	s.mu.Unlock()
	if len(news) > 0 {
		s.opts.Publisher.Publish(news)
	}
	for _, incarnation := range told {
		s.opts.OnLeaving(incarnation)
	}
}

// Digest sums up the configuration held, for status and tests.
func (s *Sync) Digest() config.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Digest()
}

// applyRecords needs the lock.
func (s *Sync) applyRecords(records []config.Record) {
	if len(records) == 0 {
		return
	}
	s.publishChanges(s.set.Apply(records))
	s.publishNewerInForce(records)
}

// settle publishes what a change of the set brought. It needs the lock.
func (s *Sync) publishChanges(changed []config.Record, snapshot *catalog.Snapshot, verdicts []config.Verdict) {
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

// publishTargets needs the lock.
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
