// Package limits learns the limits that targets name in their responses, and shares them with the
// other instances.
package limits

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/coordination/targetlimit"
	"github.com/ivyhollow/ivyhollow/daemon/initialsync"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// RecordKind is the kind of the gossiped records. A record is named by the target's incarnation,
// and its body is the limit in requests a second as a decimal number. It is deleted when the limit
// has ended.
const RecordKind = "limit"

// Sources of changes, as logged.
const (
	sourceResponse = "from a response"
	sourcePeer     = "from a peer"
)

// Options are the dependencies of Limits.
type Options struct {
	Cluster Cluster
	// Gossip disseminates a record to the other instances.
	Gossip func(r spread.Record)
	// OnChange is called with all limits, in requests a second by incarnation, after each change.
	// Calls don't overlap.
	OnChange func(limits map[string]float64)
	Scope    tally.Scope
}

// Limits holds the limits of all targets.
type Limits struct {
	options Options
	changes tally.Counter
	limited tally.Gauge
	// known is the number of targets in the table. Nearly always it is 0, so that no response
	// takes the lock.
	known atomic.Int64

	// initialSync is the receipt of the limits at the start.
	initialSync *initialsync.Sync
	started     time.Time
	// received is true once another instance that has the limits has answered.
	received atomic.Bool
	askMu    sync.Mutex
	// asked holds, by address, the instances that were asked before they were granted a send. The
	// channels are closed once they have answered.
	asked map[string]chan struct{}

	mu    sync.Mutex
	table *targetlimit.Table
}

// New returns Limits without a target, and registers the method by which other instances receive
// them.
func New(o Options) *Limits {
	scope := o.Scope.SubScope("limits")
	l := &Limits{
		options: o, changes: scope.Counter("changes"), limited: scope.Gauge("targets"),
		initialSync: initialsync.New(), started: time.Now(), asked: map[string]chan struct{}{}, table: targetlimit.New(),
	}
	o.Cluster.Handle(methodList, l.handleList, peer.Idempotent())
	return l
}

// Observe records what a response of a target says. The end of a limit counts only if the target
// has certainly written the response.
func (l *Limits) Observe(incarnation string, response exchange.TargetResponse) {
	if response.WrongTarget || response.LimitInvalid || !response.Limit.Limited && !response.Signed {
		return
	}
	if !response.Limit.Limited && l.known.Load() == 0 {
		return
	}
	l.mu.Lock()
	change, changed := l.table.Observe(time.Now(), incarnation, response.Limit)
	if changed {
		l.publish(sourceResponse, change)
	}
	l.mu.Unlock()
	if changed {
		l.options.Gossip(record(change))
	}
}

// Receive applies a record of another instance.
func (l *Limits) Receive(r spread.Record) {
	change := targetlimit.Change{Target: r.Name, Revision: r.Revision}
	if !r.Deleted {
		perSecond, err := strconv.ParseFloat(string(r.Body), 64)
		if err != nil {
			klog.ErrorS(err, "Limit of a target can't be read", "target", r.Name)
			return
		}
		change.Statement = targetlimit.Statement{Limited: true, PerSecond: perSecond}
	}
	l.apply(change)
}

// apply applies changes that another instance knows.
func (l *Limits) apply(changes ...targetlimit.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	changes = slices.DeleteFunc(changes, func(c targetlimit.Change) bool { return !l.table.Apply(now, c) })
	l.publish(sourcePeer, changes...)
}

// Forget removes the targets that are no longer listed.
func (l *Limits) Forget(listed func(incarnation string) bool) {
	if l.known.Load() == 0 {
		return
	}
	l.mu.Lock()
	ended := l.table.Forget(time.Now(), listed)
	l.known.Store(int64(l.table.Len()))
	l.publish(sourceResponse, ended...)
	l.mu.Unlock()
	for _, change := range ended {
		l.options.Gossip(record(change))
	}
}

// publish logs changes and passes all limits on; mu is held.
func (l *Limits) publish(source string, changes ...targetlimit.Change) {
	l.known.Store(int64(l.table.Len()))
	for _, c := range changes {
		event := telemetry.Event{Target: c.Target, Revision: c.Revision, Rate: c.Statement.PerSecond, Reason: source}
		if c.Statement.Limited {
			telemetry.InfoS("Target names a limit", event)
		} else {
			telemetry.InfoS("Limit of a target ended", event)
		}
	}
	if len(changes) == 0 {
		return
	}
	l.changes.Inc(int64(len(changes)))
	limits := l.table.Limits()
	l.limited.Update(float64(len(limits)))
	l.options.OnChange(limits)
}

// record returns the gossiped record of a change.
func record(c targetlimit.Change) spread.Record {
	r := spread.Record{Kind: RecordKind, Name: c.Target, Revision: c.Revision, Deleted: !c.Statement.Limited}
	if c.Statement.Limited {
		r.Body = strconv.AppendFloat(nil, c.Statement.PerSecond, 'g', -1, 64)
	}
	return r
}
