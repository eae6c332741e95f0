// Package orders brings the targets of a pool to the state that the accepted
// configuration requires: models, adapters, version and role. One instance at a time
// sends the orders of a pool, under a lease with a fencing number.
package orders

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/ivyhollow/ivyhollow/coordination/lease"
	"github.com/ivyhollow/ivyhollow/daemon/orders/boottime"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// Store is the part of the platform's store that holds the leases and the states of pools.
type Store interface {
	Get(ctx context.Context, kind, name string) (*platformapi.Object, error)
	Create(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error)
	Update(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error)
}

// TargetClient reads the state of targets and sends them orders. The client of package
// transport/target implements it.
type TargetClient interface {
	Load(ctx context.Context, address string) (targetapi.Load, error)
	Order(ctx context.Context, address string, order targetapi.Order) (targetapi.Load, error)
}

// Member is a live target of a pool.
type Member struct {
	Incarnation string
	Address     string
}

// Desired is the state that an accepted record requires of each target of a pool.
type Desired struct {
	// Revision is the record's revision.
	Revision uint64
	Models   []string
	Adapters []string
	// An empty Version or Role leaves the target's as it is.
	Version string
	Role    string
}

// Options configure a Controller. Holder, Pool, Store, Client and Members are required.
type Options struct {
	// Holder identifies this incarnation; it must be unique among all processes.
	Holder  string
	Pool    string
	Store   Store
	Client  TargetClient
	Members func() []Member
	// ChecksFencing reports whether the pool's targets refuse orders with outdated
	// fencing numbers.
	ChecksFencing func() bool
	// DownloadSlots returns the maximum number of concurrent orders in this pool, the
	// pool's share of what the weight store's rate limit allows. It is called once for
	// each reconciliation.
	DownloadSlots func() int
	Timing        lease.Timing
	// CheckInterval is the time between two comparisons with the targets.
	CheckInterval time.Duration
	// StoreTimeout bounds one call to the store.
	StoreTimeout time.Duration
	// Now is the clock. It must keep running while the process is paused. The default is
	// boottime.Now.
	Now   func() time.Time
	Scope tally.Scope
}

// Defaults of Options.
const (
	DefaultCheckInterval = 2 * time.Second
	DefaultStoreTimeout  = time.Second
	DefaultDownloadSlots = 1
)

// ErrStale reports that a newer desired state is already in force.
var ErrStale = errors.New("orders: desired state is older than the one in force")

// Controller competes for the lease of one pool and, while it holds the lease, sends the
// orders that the pool's targets need. It is safe for concurrent use.
type Controller struct {
	opts    Options
	wakeup  chan struct{}
	metrics metrics

	mu      sync.Mutex
	lease   *lease.Lease
	desired Desired
	// busyUntil holds, by incarnation, until when an order whose response was lost may
	// be in progress.
	busyUntil map[string]time.Time
	// observations holds the last observation of each member, by incarnation.
	observations map[string]observation
	// pass is the number of the current reconciliation.
	pass uint64
	// stored is the pool's state as last written to the store. It is only used by the
	// reconciliation.
	stored storedState
}

// New returns a Controller that is started by Run.
func New(opts Options) *Controller {
	opts = opts.withDefaults()
	return &Controller{
		opts:         opts,
		wakeup:       make(chan struct{}, 1),
		metrics:      newMetrics(opts.Scope, opts.Pool),
		lease:        lease.New(opts.Holder, opts.Timing),
		busyUntil:    make(map[string]time.Time),
		observations: make(map[string]observation),
	}
}

// SetDesired puts an accepted desired state in force. It refuses a revision older than the
// one in force with ErrStale, so that a delayed or reordered record never reverts the
// targets.
func (c *Controller) SetDesired(d Desired) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.Revision < c.desired.Revision {
		return errors.Wrapf(ErrStale, "pool %s: revision %d under %d", c.opts.Pool, d.Revision, c.desired.Revision)
	}
	c.desired = d
	c.wake()
	return nil
}

// Held returns the fencing number and whether this instance holds the lease.
func (c *Controller) Held() (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Held(c.opts.Now())
}

// mayHold reports whether this instance holds the lease, or has sent a write that may have
// acquired it.
func (c *Controller) mayHold() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.MayHold(c.opts.Now())
}

// Run competes for the lease and sends orders until ctx ends. It then releases the lease,
// unless an order may still be in progress.
func (c *Controller) Run(ctx context.Context) error {
	group, inner := errgroup.WithContext(ctx)
	group.Go(func() error { return c.maintainLease(inner) })
	group.Go(func() error { return c.reconcileLoop(inner) })
	err := group.Wait()
	c.release(context.WithoutCancel(ctx))
	c.metrics.held.Update(0)
	return err
}

// wake triggers a reconciliation without waiting for the interval.
func (c *Controller) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = boottime.Now
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Timing == (lease.Timing{}) {
		o.Timing = lease.DefaultTiming
	}
	if o.ChecksFencing == nil {
		o.ChecksFencing = func() bool { return false }
	}
	if o.CheckInterval == 0 {
		o.CheckInterval = DefaultCheckInterval
	}
	if o.StoreTimeout == 0 {
		o.StoreTimeout = DefaultStoreTimeout
	}
	if o.DownloadSlots == nil {
		o.DownloadSlots = func() int { return DefaultDownloadSlots }
	}
	return o
}

// metrics holds the metrics of a Controller, under the scope "orders".
type metrics struct {
	held       tally.Gauge
	sent       tally.Counter
	fenced     tally.Counter
	failed     tally.Counter
	lost       tally.Counter
	waitingOut tally.Gauge
}

func newMetrics(scope tally.Scope, pool string) metrics {
	sub := scope.SubScope("orders").Tagged(map[string]string{"pool": pool})
	return metrics{
		held:       sub.Gauge("lease_held"),
		sent:       sub.Counter("given"),
		fenced:     sub.Counter("fenced"),
		failed:     sub.Counter("failed"),
		lost:       sub.Counter("lease_lost"),
		waitingOut: sub.Gauge("waiting_out"),
	}
}
