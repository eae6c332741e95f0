// Package discovery joins the platform's list of targets with the pools' records and
// passes the result to the router and the gates.
package discovery

import (
	"slices"
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Router receives the targets of each pool. *routing.Table implements it.
type Router interface {
	SetTargets(now time.Time, pool routing.Pool, targets []routing.Target)
	Leaving(now time.Time, incarnation string)
}

// Gates receives the number of slots of each pool. *gate.Group implements it.
type Gates interface {
	SetCapacity(pool string, slots int, ordered bool)
}

// Discovery holds the newest list of targets and the configuration in force. It is safe
// for concurrent use; updates reach the router one at a time.
type Discovery struct {
	router Router
	gates  Gates
	now    func() time.Time

	mu       sync.Mutex
	snapshot *catalog.Snapshot
	targets  []platformapi.TargetEntry
	// loaded holds what the engines have reported as loaded, by incarnation.
	loaded map[string]weights
	// published holds what was last passed to the router, by pool.
	published map[string]publishedPool
}

// publishedPool is a pool and its targets as last passed to the router.
type publishedPool struct {
	pool    catalog.Pool
	entries []platformapi.TargetEntry
}

// New returns a Discovery without targets and configuration.
func New(router Router, gates Gates, now func() time.Time) *Discovery {
	return &Discovery{
		router:    router,
		gates:     gates,
		now:       now,
		loaded:    make(map[string]weights),
		published: make(map[string]publishedPool),
	}
}

// SetSnapshot sets the configuration in force.
func (d *Discovery) SetSnapshot(s *catalog.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.snapshot = s
	d.publishChanges()
}

// SetTargets sets the complete list of targets of the platform.
func (d *Discovery) SetTargets(targets []platformapi.TargetEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets = targets
	d.pruneLoaded()
	d.publishChanges()
}

// SetLoaded sets the models and adapters that an engine has reported as loaded.
func (d *Discovery) SetLoaded(incarnation string, models, adapters []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.loaded[incarnation]
	if slices.Equal(old.models, models) && slices.Equal(old.adapters, adapters) {
		return
	}
	d.loaded[incarnation] = weights{models: models, adapters: adapters}
	for _, t := range d.targets {
		if t.Incarnation == incarnation {
			delete(d.published, t.Pool)
		}
	}
	d.publishChanges()
}

// Engines returns the listed engines for which keep returns true.
func (d *Discovery) Engines(keep func(incarnation string) bool) []platformapi.TargetEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var engines []platformapi.TargetEntry
	if d.snapshot == nil {
		return nil
	}
	for _, t := range d.targets {
		pool, ok := d.snapshot.Pool(t.Pool)
		if ok && pool.Kind == catalog.KindEngine && keep(t.Incarnation) {
			engines = append(engines, t)
		}
	}
	return engines
}

// pruneLoaded drops the weights of engines that are no longer listed. The caller holds the
// lock.
func (d *Discovery) pruneLoaded() {
	listed := make(map[string]bool, len(d.targets))
	for _, t := range d.targets {
		listed[t.Incarnation] = true
	}
	for incarnation := range d.loaded {
		if !listed[incarnation] {
			delete(d.loaded, incarnation)
		}
	}
}

// publishChanges passes the changed pools to the router and the gates. The caller holds the
// lock.
//
// Each change of the list arrives on its own. When a data centre with hundreds of targets
// fails, passing on all pools for each target would rank all targets as many times and keep
// a core busy for seconds just when requests must be moved.
func (d *Discovery) publishChanges() {
	if d.snapshot == nil {
		return
	}
	byPool := make(map[string][]platformapi.TargetEntry)
	for _, t := range d.targets {
		byPool[t.Pool] = append(byPool[t.Pool], t)
	}
	for name, pool := range d.snapshot.Pools {
		entries := byPool[name]
		old, known := d.published[name]
		if known && old.pool == *pool && slices.Equal(old.entries, entries) {
			continue
		}
		d.published[name] = publishedPool{pool: *pool, entries: entries}
		d.publishPool(pool, entries)
	}
}

// publishPool passes one pool to the router and its number of slots to the gates.
func (d *Discovery) publishPool(pool *catalog.Pool, entries []platformapi.TargetEntry) {
	now := d.now()
	targets := make([]routing.Target, 0, len(entries))
	slots := 0
	for _, e := range entries {
		w := d.effectiveWeights(pool, e.Incarnation)
		targets = append(targets, routing.Target{
			Incarnation: e.Incarnation,
			Pool:        pool.Name,
			Address:     e.Address,
			DataCentre:  e.DataCentre,
			Slots:       pool.Slots,
			Models:      w.models,
			Adapters:    w.adapters,
		})
		if e.State == platformapi.TargetReady && !w.hasNoModel() {
			slots += pool.Slots
		}
	}
	d.router.SetTargets(now, routing.Pool{
		Name:          pool.Name,
		Objective:     pool.Objective,
		EjectionFloor: pool.EjectionFloor,
	}, targets)
	for _, e := range entries {
		if e.State == platformapi.TargetLeaving {
			d.router.Leaving(now, e.Incarnation)
		}
	}
	d.gates.SetCapacity(pool.Name, slots, pool.Kind == catalog.KindEngine)
}
