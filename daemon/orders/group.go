package orders

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// DefaultWeightSlots is the number of concurrent orders, over all pools, that the weight
// store's rate limit allows.
const DefaultWeightSlots = 8

// updateInterval is the time between two checks of the configuration and of the instances
// that compete for leases.
const updateInterval = 500 * time.Millisecond

// GroupOptions configure a Group. All fields but WeightSlots are required.
type GroupOptions struct {
	// Controller holds the options common to all controllers. Its Holder names the
	// incarnation; Pool, Members, ChecksFencing and DownloadSlots are set by the Group.
	Controller Options
	// Snapshot returns the configuration in force, nil if there is none yet.
	Snapshot func() *catalog.Snapshot
	// Members returns the live targets of a pool.
	Members func(pool string) []Member
	// Competes reports whether this instance competes for a pool's lease while it doesn't
	// hold it. It only limits the reads of the store; which instance holds the lease is
	// decided by the lease alone.
	Competes func(pool string) bool
	// WeightSlots bounds the concurrent orders of all pools; 0 means
	// DefaultWeightSlots.
	WeightSlots int
}

// Group runs a Controller for each pool that has a desired state and whose lease this
// instance holds or competes for. It is safe for concurrent use.
type Group struct {
	opts GroupOptions
	// competedAt holds when this instance last competed for each pool's lease. It is only
	// used by Run.
	competedAt map[string]time.Time

	mu          sync.Mutex
	controllers map[string]*runningController
	// startCount is the number of controllers started so far. It makes their holder
	// names unique.
	startCount int
	stopped    bool
	running    sync.WaitGroup
}

// runningController is a controller that has been started.
type runningController struct {
	controller *Controller
	stop       context.CancelFunc
	pool       *catalog.Pool
	stopped    bool
}

// NewGroup returns a Group that is started by Run.
func NewGroup(opts GroupOptions) *Group {
	if opts.WeightSlots == 0 {
		opts.WeightSlots = DefaultWeightSlots
	}
	opts.Controller = opts.Controller.withDefaults()
	return &Group{opts: opts, controllers: make(map[string]*runningController), competedAt: make(map[string]time.Time)}
}

// Run starts and stops controllers as the configuration changes. When ctx ends it stops
// them all and returns once they have released their leases.
func (g *Group) Run(ctx context.Context) error {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		g.update(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			g.stopAll()
			g.running.Wait()
			return ctx.Err()
		}
	}
}

// ReleaseLeases stops all controllers for good, at a planned stop, and waits until they
// have released their leases or ctx ends. A lease under which an order may still be in
// progress is left to expire.
func (g *Group) ReleaseLeases(ctx context.Context) error {
	g.stopAll()
	done := make(chan struct{})
	go func() {
		g.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Group) stopAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	for _, c := range g.controllers {
		c.stop()
	}
}

// update starts, updates and stops controllers to match the configuration in force and the
// pools for which this instance competes.
func (g *Group) update(ctx context.Context) {
	pools := g.poolsToRun()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped || pools == nil {
		return
	}
	for name, c := range g.controllers {
		if pools[name] == nil {
			c.stopOnce(name)
		}
	}
	for name, pool := range pools {
		c, running := g.controllers[name]
		if !running {
			c = g.start(ctx, name)
		}
		c.update(pool)
	}
}

// poolsToRun returns the pools whose lease this instance holds or competes for, nil if there
// is no configuration yet.
//
// A holder keeps its lease whoever else would compete for it: a successor has to wait for the
// holder's longest order at targets that ignore fencing numbers, and would have to again
// after each change of the membership.
func (g *Group) poolsToRun() map[string]*catalog.Pool {
	snapshot := g.opts.Snapshot()
	if snapshot == nil {
		return nil
	}
	maps.DeleteFunc(g.competedAt, func(name string, _ time.Time) bool { return snapshot.Pools[name] == nil })
	pools := make(map[string]*catalog.Pool)
	for name, pool := range snapshot.Pools {
		if pool.Desired != nil && (g.competes(name) || g.mayHold(name)) {
			pools[name] = pool
		}
	}
	return pools
}

// competes reports whether this instance competes for a pool's lease or did so less than
// competitionGrace ago.
func (g *Group) competes(name string) bool {
	now := g.opts.Controller.Now()
	if g.opts.Competes(name) {
		g.competedAt[name] = now
		return true
	}
	at, ok := g.competedAt[name]
	if ok && now.Sub(at) < g.competitionGrace() {
		return true
	}
	delete(g.competedAt, name)
	return false
}

// competitionGrace returns how long an instance goes on competing for a lease after others rank
// before it. A lapsed lease must be observed for a whole term before it is acquired. If each
// change of the membership began that term again with another instance, frequent changes
// would leave a pool without a holder.
func (g *Group) competitionGrace() time.Duration {
	timing := g.opts.Controller.Timing
	return timing.Term + timing.RenewInterval
}

// mayHold reports whether this instance holds a pool's lease or is about to acquire it.
func (g *Group) mayHold(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.controllers[name]
	return c != nil && c.controller.mayHold()
}

// start starts the controller of a pool. The caller holds the lock. Each controller gets
// its own holder name. If it continued the lease of an earlier controller of this instance,
// it would not know the earlier one's orders in progress, and its numbering of the lease's
// writes would start again.
func (g *Group) start(ctx context.Context, name string) *runningController {
	g.startCount++
	options := g.opts.Controller
	options.Holder = fmt.Sprintf("%s-%d", options.Holder, g.startCount)
	options.Pool = name
	options.Members = func() []Member { return g.opts.Members(name) }
	options.DownloadSlots = g.downloadSlots
	options.ChecksFencing = func() bool { return g.checksFencing(name) }
	ctx, cancel := context.WithCancel(ctx)
	c := &runningController{controller: New(options), stop: cancel}
	g.controllers[name] = c
	klog.InfoS("orders: competes for the lease", "pool", name, "holder", options.Holder)
	g.running.Go(func() {
		defer cancel()
		_ = c.controller.Run(ctx) // returns only the error of its context
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.controllers, name)
	})
	return c
}

// stopOnce stops the controller of a pool whose lease this instance no longer competes for.
func (c *runningController) stopOnce(pool string) {
	if !c.stopped {
		klog.InfoS("orders: no longer competes for the lease", "pool", pool, "holder", c.controller.opts.Holder)
	}
	c.stopped = true
	c.stop()
}

// update passes the pool's desired state to the controller if the pool has changed.
func (c *runningController) update(pool *catalog.Pool) {
	if c.pool != nil && c.pool.Revision == pool.Revision {
		return
	}
	d := pool.Desired
	err := c.controller.SetDesired(Desired{
		Revision: pool.Revision, Models: d.Models, Adapters: d.Adapters, Version: d.Version, Role: d.Role,
	})
	if err != nil {
		klog.ErrorS(err, "orders: desired state not taken", "pool", pool.Name)
		return
	}
	c.pool = pool
}

func (g *Group) checksFencing(name string) bool {
	snapshot := g.opts.Snapshot()
	if snapshot == nil {
		return false
	}
	pool, ok := snapshot.Pool(name)
	return ok && pool.ChecksFencing
}

// downloadSlots returns one pool's share of the weight store's rate limit. All instances
// compute it from the same configuration, so they need not exchange it.
func (g *Group) downloadSlots() int {
	snapshot := g.opts.Snapshot()
	pools := 0
	if snapshot != nil {
		for _, pool := range snapshot.Pools {
			if pool.Desired != nil {
				pools++
			}
		}
	}
	return max(g.opts.WeightSlots/max(pools, 1), 1)
}
