package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxLeaving bounds the leaving incarnations that are remembered.
const maxLeaving = 16384

// Table chooses the targets for the requests of one instance.
type Table struct {
	config Config
	view   atomic.Pointer[view]
	counts counters
	// digestsAt is the mean time of the peers' digests, in Unix nanoseconds; 0 without any.
	digestsAt atomic.Int64

	mu      sync.Mutex // serialises updates; never held by Pick
	states  map[string]*targetState
	pools   map[string]*listedPool
	leaving map[string]time.Time // when it was last listed or reported as leaving
	digests peerDigests
}

// listedPool is the state of a pool according to its latest list.
type listedPool struct {
	pool       Pool
	listed     map[string]bool
	subset     []Target
	ejectionMu sync.Mutex // serialises the pool's ejections
	remaining  remainingTime
}

// view is the immutable state that Pick reads.
type view struct {
	pools    map[string]*poolView
	byTarget map[string]*targetView
	byHash   map[uint32]*targetView
}

type poolView struct {
	pool       Pool
	targets    []*targetView
	ejectionMu *sync.Mutex
	remaining  *remainingTime
}

// targetView is one target of a view, with its mutable state.
type targetView struct {
	Target
	*targetState
	pool    *poolView
	leaving bool
	local   bool
}

// New returns an empty table.
func New(config Config) *Table {
	t := &Table{
		config:  config.withDefaults(),
		states:  map[string]*targetState{},
		pools:   map[string]*listedPool{},
		leaving: map[string]time.Time{},
	}
	t.digests.byOrigin = map[string]*originDigest{}
	t.publish()
	return t
}

// SetTargets replaces the list of a pool's targets with the platform's latest. If the
// list is longer than Config.SubsetSize, only a subset is kept. An incarnation that was
// reported as leaving stays so, whatever the list says.
func (t *Table) SetTargets(now time.Time, pool Pool, targets []Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	input, known := t.pools[pool.Name]
	if !known {
		input = &listedPool{}
		t.pools[pool.Name] = input
	}
	hadTargets := len(input.subset) > 0
	input.pool = pool
	input.listed = make(map[string]bool, len(targets))
	for _, target := range targets {
		input.listed[target.Incarnation] = true
	}
	input.subset = t.config.subset(targets)
	// If all targets are new, none has a slow start: no other could take its traffic.
	added := int64(0)
	if hadTargets {
		added = now.UnixNano()
	}
	for _, target := range input.subset {
		if t.states[target.Incarnation] == nil {
			t.states[target.Incarnation] = newTargetState(target, added, t.config.PrefixTableSize)
		}
	}
	t.dropUnlisted(now)
	t.publish()
}

// Leaving records that an incarnation is shutting down, as reported by the list, the
// target's own response or a peer, whichever is first. It gets no new requests from
// then on. The record can't be undone, so an outdated list doesn't make the target
// routable again.
func (t *Table) Leaving(now time.Time, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.leaving[incarnation]; known {
		return
	}
	if len(t.leaving) >= maxLeaving {
		t.dropOldestLeaving()
	}
	t.leaving[incarnation] = now
	t.publish()
}

// ForgetFailures forgets the failures of attempts at a pool's targets: the path to them was lost, so
// that the failures show nothing about the targets.
func (t *Table) ForgetFailures(pool string) {
	p := t.view.Load().pools[pool]
	if p == nil {
		return
	}
	for _, target := range p.targets {
		target.health.forgetFailures()
	}
}

// Report records a target's load report.
func (t *Table) Report(now time.Time, incarnation string, load Load) {
	target := t.view.Load().byTarget[incarnation]
	if target == nil {
		return
	}
	target.applyReport(now, load, !t.config.disabled(MechanismAgeCorrection))
	target.costs.slowdown.report(now.UnixNano()-int64(load.Age), load.Slowdown)
}

// CacheEvent records a page of an engine's cache events.
func (t *Table) CacheEvent(now time.Time, incarnation string, update CacheUpdate) {
	target := t.view.Load().byTarget[incarnation]
	if target == nil {
		return
	}
	target.prefixes.apply(now.UnixNano(), update)
}

// dropUnlisted drops the state of targets that are in no subset any more and have no
// request in flight, and the leaving marks of incarnations that have been in no list
// for Config.LeavingRetention.
func (t *Table) dropUnlisted(now time.Time) {
	kept := make(map[string]bool, len(t.states))
	for _, input := range t.pools {
		for _, target := range input.subset {
			kept[target.Incarnation] = true
		}
	}
	for incarnation, state := range t.states {
		if !kept[incarnation] && state.inFlight.Load() == 0 {
			delete(t.states, incarnation)
		}
	}
	for incarnation, seen := range t.leaving {
		if t.listed(incarnation) {
			t.leaving[incarnation] = now
			continue
		}
		if now.Sub(seen) > t.config.LeavingRetention {
			delete(t.leaving, incarnation)
		}
	}
}

func (t *Table) listed(incarnation string) bool {
	for _, input := range t.pools {
		if input.listed[incarnation] {
			return true
		}
	}
	return false
}

func (t *Table) dropOldestLeaving() {
	oldest := ""
	for incarnation, seen := range t.leaving {
		if oldest == "" || seen.Before(t.leaving[oldest]) {
			oldest = incarnation
		}
	}
	delete(t.leaving, oldest)
}

// publish builds a new view and makes it the one that Pick reads.
func (t *Table) publish() {
	v := &view{
		pools:    make(map[string]*poolView, len(t.pools)),
		byTarget: make(map[string]*targetView, len(t.states)),
		byHash:   make(map[uint32]*targetView, len(t.states)),
	}
	for name, input := range t.pools {
		p := &poolView{pool: input.pool, ejectionMu: &input.ejectionMu, remaining: &input.remaining}
		for _, target := range input.subset {
			tv := t.newTargetView(target, p)
			p.targets = append(p.targets, tv)
			v.byTarget[target.Incarnation] = tv
			v.byHash[tv.hash] = tv
		}
		v.pools[name] = p
	}
	t.view.Store(v)
}

func (t *Table) newTargetView(target Target, p *poolView) *targetView {
	_, leaving := t.leaving[target.Incarnation]
	return &targetView{
		Target:      target,
		targetState: t.states[target.Incarnation],
		pool:        p,
		leaving:     leaving,
		local:       target.DataCentre == t.config.LocalDataCentre,
	}
}
