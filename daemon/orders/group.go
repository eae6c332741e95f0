package orders

import (
	"context"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// DefaultWeightSlots is what the weight store's rate limit allows: so many
// orders under way at once over all pools.
const DefaultWeightSlots = 8

// followEvery is the time between two looks at the configuration and at the
// instances that compete for leases.
const updateInterval = 500 * time.Millisecond

// GroupOptions configure a Group. All but Keeper's own fields are required.
type GroupOptions struct {
	// Keeper holds what all keepers share. Its Holder names the incarnation;
	// Pool, Members, ChecksFencing and DownloadSlots are set by the Group.
	Controller Options
	// Snapshot returns the configuration in force, nil before there is one.
	Snapshot func() *catalog.Snapshot
	// Members returns the live targets of a pool.
	Members func(pool string) []Member
	// Competes tells whether this instance competes for a pool's lease. It is
	// a hint that keeps the reads of the store few; the lease alone decides.
	Competes func(pool string) bool
	// WeightSlots bounds the orders of all pools; DefaultWeightSlots when 0.
	WeightSlots int
}

// Group runs one Keeper for each pool that has a desired state and for whose
// lease this instance competes. It is safe for concurrent use.
type Group struct {
	opts GroupOptions

	mu          sync.Mutex
	controllers map[string]*runningController
	// started counts the keepers; it makes their holders' names unique.
	startCount int
	stopped    bool
	running    sync.WaitGroup
}

// kept is a keeper that runs.
type runningController struct {
	controller *Controller
	stop       context.CancelFunc
	pool       *catalog.Pool
}

// NewGroup returns a Group that does nothing before Run.
func NewGroup(opts GroupOptions) *Group {
	if opts.WeightSlots == 0 {
		opts.WeightSlots = DefaultWeightSlots
	}
	return &Group{opts: opts, controllers: make(map[string]*runningController)}
}

// Run follows the configuration until ctx ends, then hands the leases over.
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

// HandOver gives all leases up for good, at a planned stop, and waits for it at
// most until ctx ends. A lease under which an order may still be under way is
// left to lapse.
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
	for _, k := range g.controllers {
		k.stop()
	}
}

// follow starts, tells and stops keepers as the configuration and the other
// instances have it now.
func (g *Group) update(ctx context.Context) {
	wanted := g.poolsToRun()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped || wanted == nil {
		return
	}
	for name, k := range g.controllers {
		if wanted[name] == nil {
			k.stop()
		}
	}
	for name, pool := range wanted {
		k, runs := g.controllers[name]
		if !runs {
			k = g.start(ctx, name)
		}
		k.update(pool)
	}
}

// wanted returns the pools that this instance shall compete for; nil before
// there is a configuration.
func (g *Group) poolsToRun() map[string]*catalog.Pool {
	snapshot := g.opts.Snapshot()
	if snapshot == nil {
		return nil
	}
	wanted := make(map[string]*catalog.Pool)
	for name, pool := range snapshot.Pools {
		if pool.Desired != nil && g.opts.Competes(name) {
			wanted[name] = pool
		}
	}
	return wanted
}

// start needs the lock. Guard: each keeper has a holder's name of its own. One
// that took up the lease of an earlier keeper of this instance would know
// nothing of that one's orders, and its write numbers would begin again.
func (g *Group) start(ctx context.Context, name string) *runningController {
	g.startCount++
	options := g.opts.Controller
	options.Holder = fmt.Sprintf("%s-%d", options.Holder, g.startCount)
	options.Pool = name
	options.Members = func() []Member { return g.opts.Members(name) }
	options.DownloadSlots = g.downloadSlots
	options.ChecksFencing = func() bool { return g.checksFencing(name) }
	ctx, cancel := context.WithCancel(ctx)
	k := &runningController{controller: New(options), stop: cancel}
	g.controllers[name] = k
	g.running.Go(func() {
		defer cancel()
		_ = k.controller.Run(ctx) // it ends with its context
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.controllers, name)
	})
	return k
}

// follow tells the keeper of a changed pool.
func (k *runningController) update(pool *catalog.Pool) {
	if k.pool != nil && k.pool.Revision == pool.Revision {
		return
	}
	d := pool.Desired
	err := k.controller.SetDesired(Desired{
		Revision: pool.Revision, Models: d.Models, Adapters: d.Adapters, Version: d.Version, Role: d.Role,
	})
	if err != nil {
		klog.ErrorS(err, "orders: desired state not taken", "pool", pool.Name)
		return
	}
	k.pool = pool
}

func (g *Group) checksFencing(name string) bool {
	snapshot := g.opts.Snapshot()
	if snapshot == nil {
		return false
	}
	pool, ok := snapshot.Pool(name)
	return ok && pool.ChecksFencing
}

// share is how much of the weight store's rate limit one pool has. All
// instances work it out from the same configuration, so no message is needed.
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
