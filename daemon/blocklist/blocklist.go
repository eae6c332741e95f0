// Package blocklist keeps an instance's records of requests that crash their targets, and
// exchanges them with the other instances.
//
// Nothing is sent while there are no records. News goes to a few neighbours at once, who
// pass it on; what is missed by that is found by samples, which an instance also asks for
// after its start and after it stood still.
package blocklist

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// Cluster is what the records travel by.
type Cluster interface {
	Handle(method string, h peer.Handler, opts ...peer.HandleOption)
	Call(ctx context.Context, address, method string, body []byte) ([]byte, error)
	View() *membership.View
	Neighbours() []string
	AwaitPeer(ctx context.Context)
}

// Blocklist holds the records of an instance. It is safe for concurrent use.
type Blocklist struct {
	cluster Cluster
	metrics metrics
	// requests is the number of requests with records.
	requests atomic.Int64
	// wake is sent to when there is news.
	wake chan struct{}
	// heard is closed once this instance knows what others knew at its start.
	heard chan struct{}

	mu    sync.Mutex
	table *quarantine.Table
	// blocked are the digests that were last logged as blocked.
	blocked map[quarantine.Digest]bool
	// denied is until when no trial of a request is asked for again.
	denied map[quarantine.Digest]time.Time
}

// New returns an empty blocklist, and registers the methods by which the instances
// exchange them.
func New(cluster Cluster, config quarantine.Config, scope tally.Scope) *Blocklist {
	b := &Blocklist{
		cluster: cluster, metrics: newMetrics(scope), wake: make(chan struct{}, 1), heard: make(chan struct{}),
		table: quarantine.New(config), blocked: map[quarantine.Digest]bool{}, denied: map[quarantine.Digest]time.Time{},
	}
	cluster.Handle(methodExchange, b.handleExchange, peer.Idempotent())
	cluster.Handle(methodTrial, b.handleTrial)
	return b
}

// Empty tells whether there are no records, so that no request can be blocked.
func (b *Blocklist) Empty() bool { return b.requests.Load() == 0 }

// Crashed records that a target ended under a request.
func (b *Blocklist) RecordCrash(digest quarantine.Digest, target string) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table.RecordCrash(now, digest, target) {
		b.metrics.crashes[sourceLocal].Inc(1)
		b.changed(now, digest, sourceLocal, target)
	}
}

// EndedWell records that a target ran a request to an end of its own.
func (b *Blocklist) RecordCompletion(digest quarantine.Digest) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table.RecordCompletion(now, digest) {
		b.changed(now, digest, sourceLocal, "")
	}
}

// Judge tells what this instance knows of a request.
func (b *Blocklist) Judge(digest quarantine.Digest) quarantine.Verdict {
	if b.Empty() {
		return quarantine.Verdict{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Judge(time.Now(), digest)
}

// Blocked returns what is known of the requests that are blocked or on trial.
func (b *Blocklist) Blocked() map[quarantine.Digest]quarantine.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Blocked(time.Now())
}

// changed logs and counts what a new record means; mu is held.
func (b *Blocklist) changed(now time.Time, digest quarantine.Digest, source, target string) {
	b.requests.Store(int64(b.table.Len()))
	v := b.table.Judge(now, digest)
	event := telemetry.Event{
		Digest: digest.String(), Target: target, Reason: source, Count: v.Crashes, Elapsed: v.SinceLastCrash, RetryAfter: v.Remaining,
	}
	switch {
	case v.State == quarantine.Blocked && (source == sourceLocal || !b.blocked[digest]):
		b.blocked[digest] = true
		telemetry.InfoS("Request blocked, it crashes targets", event)
	case v.State == quarantine.Allowed && b.blocked[digest]:
		delete(b.blocked, digest)
		telemetry.InfoS("Request no longer blocked", event)
	case target != "" && source == sourceLocal:
		telemetry.InfoS("Target crashed under a request", event)
	}
	b.metrics.sizes(b.table.Len(), len(b.blocked))
	b.signal()
}

// signal has the next round begin soon.
func (b *Blocklist) signal() {
	select {
	case b.wake <- struct{}{}:
	default: // it does already
	}
}

// expire drops what is too old.
func (b *Blocklist) expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.Expire(now)
	b.requests.Store(int64(b.table.Len()))
	for digest := range b.blocked {
		if b.table.Judge(now, digest).State == quarantine.Allowed {
			delete(b.blocked, digest)
			telemetry.InfoS("Request no longer blocked", telemetry.Event{Digest: digest.String(), Reason: "expired"})
		}
	}
	for digest, until := range b.denied {
		if now.After(until) {
			delete(b.denied, digest)
		}
	}
	b.metrics.sizes(b.table.Len(), len(b.blocked))
}
