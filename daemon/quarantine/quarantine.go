// Package quarantine keeps an instance's records of requests that crash their targets, and
// exchanges them with the other instances.
//
// Nothing is sent while there are no records. News goes to a few neighbours at once, who
// pass it on; what is missed by that is found by samples, which an instance also asks for
// after its start and after it stood still.
package quarantine

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
	AwaitJoin(ctx context.Context)
}

// Quarantine are the records of an instance. It is safe for concurrent use.
type Quarantine struct {
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
}

// New returns records without any, and registers the methods by which the instances
// exchange them.
func New(cluster Cluster, config quarantine.Config, scope tally.Scope) *Quarantine {
	q := &Quarantine{
		cluster: cluster, metrics: newMetrics(scope), wake: make(chan struct{}, 1), heard: make(chan struct{}),
		table: quarantine.New(config), blocked: map[quarantine.Digest]bool{},
	}
	cluster.Handle(methodExchange, q.handleExchange, peer.Idempotent())
	cluster.Handle(methodTrial, q.handleTrial)
	return q
}

// Empty tells whether there are no records, so that no request can be blocked.
func (q *Quarantine) Empty() bool { return q.requests.Load() == 0 }

// Crashed records that a target ended under a request.
func (q *Quarantine) Crashed(digest quarantine.Digest, target string) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.table.Crashed(now, digest, target) {
		q.metrics.crashes[sourceLocal].Inc(1)
		q.changed(now, digest, sourceLocal, target)
	}
}

// EndedWell records that a target ran a request to an end of its own.
func (q *Quarantine) EndedWell(digest quarantine.Digest) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.table.EndedWell(now, digest) {
		q.changed(now, digest, sourceLocal, "")
	}
}

// Judge tells what this instance knows of a request.
func (q *Quarantine) Judge(digest quarantine.Digest) quarantine.Verdict {
	if q.Empty() {
		return quarantine.Verdict{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Judge(time.Now(), digest)
}

// Blocked returns what is known of the requests that are blocked or on trial.
func (q *Quarantine) Blocked() map[quarantine.Digest]quarantine.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Blocked(time.Now())
}

// changed logs and counts what a new record means; mu is held.
func (q *Quarantine) changed(now time.Time, digest quarantine.Digest, source, target string) {
	q.requests.Store(int64(q.table.Len()))
	v := q.table.Judge(now, digest)
	event := telemetry.Event{
		Digest: digest.String(), Target: target, Reason: source, Count: v.Crashes, Elapsed: v.Since, RetryAfter: v.Left,
	}
	switch {
	case v.State == quarantine.Blocked && (source == sourceLocal || !q.blocked[digest]):
		q.blocked[digest] = true
		telemetry.InfoS("Request blocked, it crashes targets", event)
	case v.State == quarantine.Allowed && q.blocked[digest]:
		delete(q.blocked, digest)
		telemetry.InfoS("Request no longer blocked", event)
	case target != "" && source == sourceLocal:
		telemetry.InfoS("Target crashed under a request", event)
	}
	q.metrics.sizes(q.table.Len(), len(q.blocked))
	q.signal()
}

// signal has the next round begin soon.
func (q *Quarantine) signal() {
	select {
	case q.wake <- struct{}{}:
	default: // it does already
	}
}

// expire drops what is too old.
func (q *Quarantine) expire(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Expire(now)
	q.requests.Store(int64(q.table.Len()))
	for digest := range q.blocked {
		if q.table.Judge(now, digest).State == quarantine.Allowed {
			delete(q.blocked, digest)
			telemetry.InfoS("Request no longer blocked", telemetry.Event{Digest: digest.String(), Reason: "expired"})
		}
	}
	q.metrics.sizes(q.table.Len(), len(q.blocked))
}
