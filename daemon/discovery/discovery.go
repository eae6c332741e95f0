// Package discovery joins the platform's list of targets with the pools'
// records and hands the result to the router and to the gates.
package discovery

import (
	"slices"
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Router takes the targets of each pool; *routing.Table is one.
type Router interface {
	SetTargets(now time.Time, pool routing.Pool, targets []routing.Target)
	Leaving(now time.Time, incarnation string)
}

// Gates take the number of slots of each pool; *gate.Group is one.
type Gates interface {
	SetCapacity(pool string, slots int, ordered bool)
}

// Discovery holds the newest list and the newest records. It is safe for
// concurrent use; updates reach the router one at a time.
type Discovery struct {
	router Router
	gates  Gates
	now    func() time.Time

	mu       sync.Mutex
	snapshot *catalog.Snapshot
	targets  []platformapi.TargetEntry
	loaded   map[string]weights
	// handed is what was handed to the router last, by pool.
	published map[string]publishedPool
}

// handed is a pool and its targets as the router has them.
type publishedPool struct {
	pool    catalog.Pool
	entries []platformapi.TargetEntry
}

// New makes a discovery that knows nothing yet.
func New(router Router, gates Gates, now func() time.Time) *Discovery {
	return &Discovery{
		router:    router,
		gates:     gates,
		now:       now,
		loaded:    make(map[string]weights),
		published: make(map[string]publishedPool),
	}
}

// SetSnapshot takes the configuration in force.
func (d *Discovery) SetSnapshot(s *catalog.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.snapshot = s
	d.publishChanges()
}

// SetTargets takes the platform's whole list.
func (d *Discovery) SetTargets(targets []platformapi.TargetEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets = targets
	d.pruneLoaded()
	d.publishChanges()
}

// SetLoaded takes what an engine says that it has loaded.
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

// Engines returns the listed engines; keep chooses among them.
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

// forget drops the weights of engines that are not listed any more. It needs
// the lock.
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

// update hands on the pools in which something has changed. It needs the lock.
//
// Guard: each change of the list comes alone. When a data centre with hundreds
// of targets is lost, handing on all pools for each one would rank all targets
// as often, and keep a core busy for seconds just when requests must be moved.
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

func (d *Discovery) publishPool(pool *catalog.Pool, entries []platformapi.TargetEntry) {
	now := d.now()
	targets := make([]routing.Target, 0, len(entries))
	slots := 0
	for _, e := range entries {
		serves := d.effectiveWeights(pool, e.Incarnation)
		targets = append(targets, routing.Target{
			Incarnation: e.Incarnation,
			Pool:        pool.Name,
			Address:     e.Address,
			DataCentre:  e.DataCentre,
			Slots:       pool.Slots,
			Models:      serves.models,
			Adapters:    serves.adapters,
		})
		if e.State == platformapi.TargetReady && !serves.hasNoModel() {
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
