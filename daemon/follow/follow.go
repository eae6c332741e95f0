// Package follow keeps the routing configuration and the list of targets of an
// outside platform in force on an instance. It watches the platform's store, and
// hears of what the store told others from its peers, so that an instance which
// the store refuses is not left behind.
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

	"github.com/ivyhollow/ivyhollow/coordination/roster"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/coordination/watching"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// Times of the follower.
const (
	// retryMin and retryMax bound the pause after a call that failed. The store
	// must be heard within two seconds of its return.
	retryMin = 150 * time.Millisecond
	retryMax = 700 * time.Millisecond
	// standInRetryMax bounds it where the watchers do the same: many instances that
	// call a store which is away add nothing.
	standInRetryMax = 2 * time.Second
	// rosterTick is how often entries are looked at whose grace may be over.
	rosterTick = 200 * time.Millisecond
)

// Kinds of the records that instances tell one another.
const (
	recordConfig  = "config"
	recordTarget  = "target"
	recordLeaving = "leaving"
	configName    = "current"
)

// Source is where a platform keeps its configuration and targets, and how they
// are read.
type Source struct {
	ConfigKind   string
	ConfigName   string
	TargetKind   string
	DecodeConfig func(spec []byte, revision uint64) (*routes.Table, error)
	// DecodeTarget reads an entry of a target. One that isn't whole is an error: it
	// names no target.
	DecodeTarget func(name string, spec []byte) (routes.Target, error)
}

// Options are the parts that a Follower works with.
type Options struct {
	Store  platform.Store
	Source Source
	// Spread tells the other instances a record.
	Spread func(r spread.Record)
	// OnChange is told the configuration and the usable targets after each
	// change of either. Calls don't overlap.
	OnChange func(now time.Time, t *routes.Table, usable map[string][]routes.Target)
	// Fleet are the other instances; nil if there are none.
	Fleet Fleet
	// AskConfirmer asks the instance that confirms for all others for the newest
	// revision that the store tells it; false if this is that instance, or if it
	// doesn't know. Nil if each asks for itself.
	AskConfirmer func(ctx context.Context) (revision uint64, known bool)
	// OnLeaving is told of each incarnation that takes nothing new from now on.
	OnLeaving func(now time.Time, incarnation string)
	Scope     tally.Scope
}

// Follower holds what is in force.
type Follower struct {
	options Options
	scope   tally.Scope
	table   atomic.Pointer[routes.Table]
	listed  atomic.Bool
	ready   chan struct{}

	mu     sync.Mutex
	roster *roster.Roster
	// refusals are the entries that name no target, as far as they were logged.
	refusals refusals
	// watching decides how the store is watched.
	watching *watching.Tracker
	// sent ends the calls in progress, by what they are about.
	sent map[watching.Part]context.CancelCauseFunc
	// heard is when the store last told of the configuration.
	heard time.Time

	confirming singleflight.Group
	// unconfirmed is when the store was last asked in vain whether a newer
	// version exists.
	unconfirmed time.Time
}

// New returns a follower that knows nothing yet.
func New(o Options) *Follower {
	if o.Fleet == nil {
		o.Fleet = alone{}
	}
	return &Follower{
		ready: make(chan struct{}), options: o, scope: o.Scope.SubScope("follow"), roster: roster.New(),
		watching: watching.New(), sent: map[watching.Part]context.CancelCauseFunc{},
	}
}

// Table returns the configuration in force; nil before the first.
func (f *Follower) Table() *routes.Table { return f.table.Load() }

// Ready tells whether a configuration and the targets are known, and those who use
// them have been told. A request that came before would find no target.
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

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	source := &f.options.Source
	wg.Go(func() {
		f.follow(ctx, followed{watching.Configuration, source.ConfigKind, f.configEvent, f.configList})
	})
	wg.Go(func() {
		f.follow(ctx, followed{watching.Targets, source.TargetKind, f.targetEvent, f.targetList})
	})
	wg.Go(func() { f.tick(ctx) })
	wg.Go(func() { f.patrol(ctx) })
	wg.Wait()
	return nil
}

// followed is a kind of object that is followed, and who takes in what is told of it.
type followed struct {
	part  watching.Part
	kind  string
	event func(platformapi.Event)
	list  func(platformapi.List)
}

// errResend ends a watch that is sent again, since its silence proves nothing.
var errResend = errors.New("the watch is sent again")

// follow lists a kind and then watches it.
func (f *Follower) follow(ctx context.Context, k followed) {
	var revision uint64
	for ctx.Err() == nil {
		if revision != 0 {
			// Before it knows the others an instance takes itself for a watcher.
			f.options.Fleet.AwaitJoin(ctx)
			f.awaitDuty(ctx)
		}
		started := time.Now()
		call, cancel := context.WithCancelCause(ctx)
		next, news, err := f.callStore(call, k, revision, f.begin(started, k.part, cancel))
		resent := errors.Is(context.Cause(call), errResend)
		cancel(nil)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			telemetry.InfoS("History of the store is gone, listing again", telemetry.Event{Record: k.kind, Revision: revision})
			revision = 0
		case err != nil && resent:
		case err != nil:
			f.noteFailure(ctx, k, started, err)
		default:
			revision = next
			f.gather(ctx, news)
		}
	}
}

// gather puts the next watch off after news, in a fleet most of which hears of news by
// the word of others. Where all watch, each hears at once: a target that starts again
// under its name is sent to on connections of the process before until that is known.
func (f *Follower) gather(ctx context.Context, news int) {
	if news == 0 || f.options.Fleet.AllWatch() {
		return
	}
	f.mu.Lock()
	d := f.watching.Pause(time.Now())
	f.mu.Unlock()
	pause(ctx, d)
}

// callStore lists a kind, or watches it from a revision on, and takes in what is told. It
// returns the revision to go on from, and how many changes the store told.
func (f *Follower) callStore(ctx context.Context, k followed, revision uint64, wait time.Duration) (next uint64, news int, err error) {
	if revision == 0 {
		l, err := f.options.Store.List(ctx, k.kind)
		if err != nil {
			return 0, 0, err
		}
		answered := f.noteAnswer(k)
		f.noteUnreadable(k.kind, l.Unreadable)
		k.list(l)
		f.noteTaken(k, answered)
		return l.Revision, 0, nil
	}
	w, err := f.options.Store.Watch(ctx, []string{k.kind}, revision, wait)
	if err != nil {
		return 0, 0, err
	}
	answered := f.noteAnswer(k)
	f.noteUnreadable(k.kind, w.Unreadable)
	for _, e := range w.Events {
		k.event(e)
	}
	f.noteTaken(k, answered)
	return max(revision, w.Revision), len(w.Events), nil
}

// begin notes that a call begins, which cancel ends, and returns how long a watch waits.
func (f *Follower) begin(now time.Time, part watching.Part, cancel context.CancelCauseFunc) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent[part] = cancel
	return f.watching.BeginCall(now, part)
}

// noteAnswer notes that the store answered, before what it told is taken in: entries that
// vanished while the store was away are kept for a while from its return on. It returns
// the time.
func (f *Follower) noteAnswer(k followed) time.Time {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.sent, k.part)
	told := telemetry.Event{Record: k.kind, Count: f.watching.Failures(k.part), KnowledgeAge: f.watching.Age(now, k.part)}
	if f.watching.RecordResponse(now, k.part) {
		f.roster.RecordStoreFailure(now)
		f.resend(now)
		telemetry.InfoS("Store answers again", told)
	}
	return now
}

// noteTaken notes that what the store answered at a time is in force. Were it noted
// before, a key that the answer brings could be denied as one that the store doesn't know.
func (f *Follower) noteTaken(k followed, answered time.Time) {
	if k.part == watching.Configuration {
		f.noteHeard(answered)
	}
}

// noteFailure notes that the store didn't answer a call that began at a time, and pauses.
func (f *Follower) noteFailure(ctx context.Context, k followed, started time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	f.mu.Lock()
	delete(f.sent, k.part)
	failed := f.watching.Failures(k.part)
	told := telemetry.Event{Record: k.kind, Count: failed, Elapsed: now.Sub(started), KnowledgeAge: f.watching.Age(now, k.part)}
	switch {
	case errors.Is(err, platform.ErrBudget):
		f.watching.RecordNotSent(k.part)
	case f.watching.RecordFailure(k.part) && !errors.Is(err, platform.ErrOutage):
		f.roster.RecordStoreFailure(now)
	}
	f.mu.Unlock()
	f.scope.Counter("store_failures").Inc(1)
	if failed == 0 {
		telemetry.ErrorS(err, "Store doesn't answer", told)
	} else {
		telemetry.ErrorS(err, "Store still doesn't answer", told)
	}
	most := retryMax
	if f.options.Fleet.Place() == watching.NoRank {
		most = standInRetryMax
	}
	pause(ctx, min(retryMin<<min(failed, 4), most)+rand.N(retryMin))
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (f *Follower) configList(l platformapi.List) {
	for _, o := range l.Items {
		f.configObject(o)
	}
}

func (f *Follower) configEvent(e platformapi.Event) {
	if !e.Deleted {
		f.configObject(e.Object)
	}
}

func (f *Follower) configObject(o platformapi.Object) {
	if o.Metadata.Name == f.options.Source.ConfigName {
		f.accept(o.Metadata.Revision, o.Spec, true)
	}
}

// accept puts a version in force that is newer than the present one. One that
// doesn't decode leaves the present one in force.
func (f *Follower) accept(revision uint64, spec []byte, direct bool) {
	if f.putInForce(revision, spec, direct) && direct {
		f.options.Spread(spread.Record{Kind: recordConfig, Name: configName, Revision: revision, Body: spec})
	}
}

func (f *Follower) putInForce(revision uint64, spec []byte, direct bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current := f.table.Load(); current != nil && revision <= current.Revision {
		return false
	}
	table, err := f.options.Source.DecodeConfig(spec, revision)
	if err != nil {
		klog.ErrorS(err, "Configuration refused, the one before stays in force", "revision", revision)
		return false
	}
	// The targets first: by a configuration that names a new service, requests would
	// else be refused for want of a target until those of the service are handed on.
	f.handOn(time.Now(), table)
	f.table.Store(table)
	f.noteReady()
	reason := "from a peer"
	if direct {
		reason = "from the store"
	}
	telemetry.InfoS("Configuration in force", telemetry.Event{Revision: revision, Count: table.RouteCount(), Reason: reason})
	return true
}

// publish hands the targets on by the configuration in force; mu is held.
func (f *Follower) publish(now time.Time) {
	if table := f.table.Load(); table != nil {
		f.handOn(now, table)
		f.noteReady()
	}
}

// handOn tells the targets that are usable by a configuration; mu is held.
func (f *Follower) handOn(now time.Time, table *routes.Table) {
	f.scope.Gauge("revision").Update(float64(table.Revision))
	f.scope.Gauge("targets").Update(float64(f.roster.Len()))
	f.options.OnChange(now, table, f.roster.Usable())
}

// noteReady notes that a configuration is in force whose targets were handed on.
func (f *Follower) noteReady() {
	if f.listed.Load() && !f.Ready() {
		close(f.ready)
	}
}
