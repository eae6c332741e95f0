// Package orders brings the targets of a pool to the state that the accepted
// configuration asks for: models, adapters, version and role. One instance at
// a time gives the orders of a pool, under a lease with a fencing number.
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

// Store is the part of the platform's store that leases use.
type Store interface {
	Get(ctx context.Context, kind, name string) (*platformapi.Object, error)
	Create(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error)
	Update(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error)
}

// Targets reads the state of targets and gives them orders. The client of
// package transport/target is one.
type TargetClient interface {
	Load(ctx context.Context, address string) (targetapi.Load, error)
	Order(ctx context.Context, address string, order targetapi.Order) (targetapi.Load, error)
}

// Member is one live target of the pool.
type Member struct {
	Incarnation string
	Address     string
}

// Desired is the state that an accepted record asks of each target of a pool.
type Desired struct {
	// Revision is that of the record.
	Revision uint64
	Models   []string
	Adapters []string
	// Version and Role are left as they are when empty.
	Version string
	Role    string
}

// Options configure a Keeper. Holder, Pool, Store, Targets and Members are
// required.
type Options struct {
	// Holder names this incarnation; no two processes share it.
	Holder  string
	Pool    string
	Store   Store
	Client  TargetClient
	Members func() []Member
	// ChecksFencing tells whether the pool's targets refuse old numbers.
	ChecksFencing func() bool
	// DownloadSlots bounds the orders under way at once in this pool: the
	// pool's share of what the weight store's rate limit allows. It is asked
	// once a round.
	DownloadSlots func() int
	Timing        lease.Timing
	// CheckEvery is the time between two comparisons with the targets.
	CheckInterval time.Duration
	// StoreTimeout bounds one call to the store.
	StoreTimeout time.Duration
	// Now is the clock; it must run while the process is paused. The default
	// is boottime.Now.
	Now   func() time.Time
	Scope tally.Scope
}

// Defaults of Options.
const (
	DefaultCheckInterval = 2 * time.Second
	DefaultStoreTimeout  = time.Second
	DefaultDownloadSlots = 1
)

// ErrStale says that a newer desired state is already in force here.
var ErrStale = errors.New("orders: desired state is older than the one in force")

// Keeper competes for the lease of one pool and, while it holds it, gives the
// orders that its targets need. It is safe for concurrent use.
type Controller struct {
	opts    Options
	wakeup  chan struct{}
	metrics metrics

	mu      sync.Mutex
	lease   *lease.Lease
	desired Desired
	// busyUntil is, by incarnation, until when an order whose answer was lost
	// may be under way.
	busyUntil map[string]time.Time
	// readings are what was read of the members last, by incarnation.
	observations map[string]observation
	pass         uint64
	// written is the state that operators can read.
	stored storedState
}

// New returns a Keeper that does nothing before Run.
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

// SetDesired puts an accepted desired state in force. An older revision than
// the one in force is refused with ErrStale, so that a late or reordered record
// never reverts the targets.
func (k *Controller) SetDesired(d Desired) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if d.Revision < k.desired.Revision {
		return errors.Wrapf(ErrStale, "pool %s: revision %d under %d", k.opts.Pool, d.Revision, k.desired.Revision)
	}
	k.desired = d
	k.wake()
	return nil
}

// Held returns the fencing number while this instance holds the lease.
func (k *Controller) Held() (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Held(k.opts.Now())
}

// Run competes for the lease and gives orders until ctx ends. It then gives
// the lease up, unless an order may still be under way.
func (k *Controller) Run(ctx context.Context) error {
	group, inner := errgroup.WithContext(ctx)
	group.Go(func() error { return k.maintainLease(inner) })
	group.Go(func() error { return k.reconcileLoop(inner) })
	err := group.Wait()
	k.release(context.WithoutCancel(ctx))
	k.metrics.held.Update(0)
	return err
}

// wake starts a reconciliation soon.
func (k *Controller) wake() {
	select {
	case k.wakeup <- struct{}{}:
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

// metrics are the counters of a Keeper, under the scope "orders".
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
