// Package blocklist holds an instance's records of requests that crash their targets, and
// exchanges them with the other instances.
//
// A new record is gossiped to a few neighbours, which pass it on. To learn of records that it
// missed, an instance requests samples of its neighbours' records: once per sampleInterval
// while it has records itself, and a few times after its start and after a pause even if it
// has none. Otherwise nothing is sent while there are no records.
package blocklist

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/daemon/initialsync"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// Cluster connects the instances, which exchange records through it.
type Cluster interface {
	Handle(method string, h peer.Handler, opts ...peer.HandleOption)
	Call(ctx context.Context, address, method string, body []byte) ([]byte, error)
	View() *membership.View
	initialsync.Cluster
}

// Blocklist holds the records of an instance. It is safe for concurrent use.
type Blocklist struct {
	cluster Cluster
	metrics metrics
	// requestCount is the number of requests with records.
	requestCount atomic.Int64
	// wake receives a value when there are records to send.
	wake chan struct{}
	// initialSync is the exchange of records at the start.
	initialSync *initialsync.Sync

	mu    sync.Mutex
	table *quarantine.Table
	// loggedBlocked holds the digests that were logged as blocked and not since then as no
	// longer blocked. Its values are true for parts of prompts.
	loggedBlocked map[quarantine.Digest]bool
	// deniedUntil holds, for each request whose trial was denied, the time before which no
	// further trial of it is requested.
	deniedUntil map[quarantine.Digest]time.Time
}

// New returns an empty blocklist and registers the methods by which instances exchange
// records and request trials.
func New(cluster Cluster, config quarantine.Config, scope tally.Scope) *Blocklist {
	b := &Blocklist{
		cluster: cluster, metrics: newMetrics(scope), wake: make(chan struct{}, 1), initialSync: initialsync.New(),
		table: quarantine.New(config), loggedBlocked: map[quarantine.Digest]bool{}, deniedUntil: map[quarantine.Digest]time.Time{},
	}
	cluster.Handle(methodExchange, b.handleExchange, peer.Idempotent())
	cluster.Handle(methodTrial, b.handleTrial)
	return b
}

// Empty reports whether there are no records, so that no request can be blocked.
func (b *Blocklist) Empty() bool { return b.requestCount.Load() == 0 }

// RecordCrash records that a target ended while it ran a request.
func (b *Blocklist) RecordCrash(s quarantine.Suspects, target string) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	recorded := b.table.RecordRequestCrash(now, s, target)
	if len(recorded) == 0 {
		return
	}
	telemetry.InfoS("Target crashed under a request", telemetry.Event{
		Digest: s.Request.String(), Parts: quarantine.Texts(s.Parts), Target: target, Count: b.table.Judge(now, s.Request).Crashes,
	})
	for _, digest := range recorded {
		b.metrics.crashes[sourceLocal].Inc(1)
		b.recordChanged(now, digest, telemetry.Event{Reason: sourceLocal, Target: target})
	}
}

// RecordCompletion records that a run of a request ended without a crash of its target.
func (b *Blocklist) RecordCompletion(s quarantine.Suspects) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, digest := range b.table.RecordRequestCompletion(now, s) {
		b.recordChanged(now, digest, telemetry.Event{Reason: sourceLocal, Cause: "request " + s.Request.String() + " ended well"})
	}
}

// Judge returns the verdict on a request by the records of this instance.
func (b *Blocklist) Judge(s quarantine.Suspects) quarantine.Verdict {
	if b.Empty() {
		return quarantine.Verdict{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.JudgeRequest(time.Now(), s)
}

// Blocked returns the verdicts on the requests that are blocked or on trial.
func (b *Blocklist) Blocked() map[quarantine.Digest]quarantine.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Blocked(time.Now())
}

// recordChanged logs a change of the records of a request or part with the event's reason, updates
// the numbers of those with records and of blocked ones, and wakes the loop that sends records. The
// caller holds mu.
func (b *Blocklist) recordChanged(now time.Time, digest quarantine.Digest, event telemetry.Event) {
	b.requestCount.Store(int64(b.table.Len()))
	v := b.table.Judge(now, digest)
	_, logged := b.loggedBlocked[digest]
	event.Digest, event.Count, event.Elapsed, event.RetryAfter = digest.String(), v.Crashes, v.SinceLastCrash, v.Remaining
	switch {
	case v.State == quarantine.Blocked && (event.Reason == sourceLocal || !logged):
		b.loggedBlocked[digest] = v.Part
		logBlocked(v.Part, event)
	case v.State == quarantine.Allowed && logged:
		b.logUnblocked(digest, event)
	}
	b.updateSizes()
	b.signal()
}

// logBlocked logs that a request, or a part of prompts, is blocked from now on.
func logBlocked(part bool, event telemetry.Event) {
	if part {
		telemetry.InfoS("Prompt part blocked, it crashes targets", event)
		return
	}
	telemetry.InfoS("Request blocked, it crashes targets", event)
}

// logUnblocked logs that a request or part is no longer blocked. The caller holds mu.
func (b *Blocklist) logUnblocked(digest quarantine.Digest, event telemetry.Event) {
	part := b.loggedBlocked[digest]
	delete(b.loggedBlocked, digest)
	if part {
		telemetry.InfoS("Prompt part no longer blocked", event)
		return
	}
	telemetry.InfoS("Request no longer blocked", event)
}

// updateSizes updates the metrics of how many requests and parts have records or are blocked. The
// caller holds mu.
func (b *Blocklist) updateSizes() {
	parts := 0
	for _, part := range b.loggedBlocked {
		if part {
			parts++
		}
	}
	b.metrics.updateSizes(b.table.Len(), len(b.loggedBlocked)-parts, parts)
}

// signal wakes the loop that exchanges records.
func (b *Blocklist) signal() {
	select {
	case b.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// expire drops records that are too old and denials that have ended. It logs the requests
// that are no longer blocked as a result.
func (b *Blocklist) expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.Expire(now)
	b.requestCount.Store(int64(b.table.Len()))
	for digest := range b.loggedBlocked {
		if b.table.Judge(now, digest).State == quarantine.Allowed {
			b.logUnblocked(digest, telemetry.Event{Digest: digest.String(), Reason: "expired"})
		}
	}
	for digest, until := range b.deniedUntil {
		if now.After(until) {
			delete(b.deniedUntil, digest)
		}
	}
	b.updateSizes()
}
