package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/admission"
	"github.com/ivyhollow/ivyhollow/coordination/deadline"
	"github.com/ivyhollow/ivyhollow/coordination/retry"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Parts switches the parts of the product's control.
type Parts struct {
	Admission, Gate, Hedge, Budget bool
	// EngineOvercommit and ServiceOvercommit multiply the slots that the gates
	// may fill.
	EngineOvercommit, ServiceOvercommit float64
}

const (
	// hedgeQuantile of a stage's learned time starts a hedge.
	hedgeQuantile = 0.95
	// hedgeShare of a pool's slots in use is where hedging ends.
	hedgeShare  = 0.7
	maxAttempts = 3
	gateTTL     = 2 * time.Second
)

// managed is the product's admission, gates, retries and hedges.
type managed struct {
	parts     Parts
	shape     *Shape
	rng       *rand.Rand
	times     *deadline.Times
	admission []*admission.Controller // by tier
	budgets   map[string]*retry.Budget
	gates     map[string]*gate
	heard     map[string]time.Time
	items     map[int]*gateItem // by request
	nextID    uint64
}

// gate is the queue before a pool.
type gate struct {
	*tiers.Gate
	peers  *tiers.PeerDigests
	queued map[uint64]*gateItem
	// slots and inFlight are of all instances, as the digests told last.
	slots    int
	inFlight float64
}

type gateItem struct {
	id         uint64
	gate       *gate
	start      func(bool)
	dispatched bool
}

func newManaged(s *Shape, parts Parts) *managed {
	m := &managed{
		parts:   parts,
		shape:   s,
		rng:     newRand(1, 3),
		times:   deadline.NewTimes(deadline.Config{}),
		budgets: map[string]*retry.Budget{},
		gates:   map[string]*gate{},
		heard:   map[string]time.Time{},
		items:   map[int]*gateItem{},
	}
	for range s.Tiers {
		m.admission = append(m.admission, admission.New(admission.Config{}))
	}
	for _, stage := range s.Stages {
		m.budgets[stage.Pool] = retry.NewBudget(retry.Config{})
		config := tiers.Config{PriorityScheduling: stage.Kind == catalog.KindEngine}
		m.gates[stage.Pool] = &gate{
			Gate:   tiers.NewGate(config, m.capacity(&stage, stage.Targets*stage.Slots)),
			peers:  tiers.NewPeerDigests(gateTTL),
			queued: map[uint64]*gateItem{},
		}
	}
	return m
}

// capacity is what a gate may fill of a pool's slots.
func (m *managed) capacity(stage *StageShape, slots int) int {
	if stage.Kind == catalog.KindEngine {
		return int(m.parts.EngineOvercommit * float64(slots))
	}
	return int(m.parts.ServiceOvercommit * float64(slots))
}

func (m *managed) key(stage int) deadline.StageKey {
	return deadline.StageKey{Pipeline: catalog.PipelineKey{Name: m.shape.Name}, Stage: m.shape.Stages[stage].Name}
}

// remaining describes the stages from the given one on.
func (m *managed) remaining(now time.Time, r *Request, from int) []deadline.Remaining {
	var list []deadline.Remaining
	for i := from; i < len(r.Work); i++ {
		if r.Work[i] == 0 {
			continue
		}
		stage := &m.shape.Stages[i]
		p50, p95 := m.times.Estimate(m.key(i), stage.mean())
		rem := deadline.Remaining{Stage: i, P50: p50, P95: p95}
		if len(list) > 0 {
			rem.After = []int{list[len(list)-1].Stage}
		}
		if m.parts.Gate {
			rem.Wait = m.gates[stage.Pool].EstimatedWait(now, r.Tier)
		}
		list = append(list, rem)
	}
	return list
}

func (m *managed) due(now time.Time, s StageInfo) time.Time {
	return now.Add(s.Left - s.Shape.ClientDelay)
}

// Admit implements Control.
func (m *managed) Admit(now time.Time, s StageInfo) bool {
	if !m.parts.Admission {
		return true
	}
	d := m.admission[s.Request.Tier].Decide(now, m.due(now, s), m.remaining(now, s.Request, 0), m.rng)
	return d.Admit
}

// StartStage implements Control.
func (m *managed) StartStage(now time.Time, s StageInfo, start func(bool)) {
	m.leaveGate(now, s.Request)
	latest := m.due(now, s)
	if m.parts.Admission {
		latest = deadline.Plan(now, latest, m.remaining(now, s.Request, s.Stage))[0].LatestStart
	}
	if !m.parts.Gate {
		start(!now.After(latest))
		return
	}
	g := m.gates[s.Spec().Pool]
	m.nextID++
	item := &gateItem{id: m.nextID, gate: g, start: start}
	g.queued[item.id] = item
	m.items[s.Request.ID] = item
	g.apply(g.Enqueue(now, tiers.Item{ID: item.id, Rank: s.Request.Tier, LatestStart: latest}))
}

// leaveGate ends the request's place at the gate of its stage before.
func (m *managed) leaveGate(now time.Time, r *Request) {
	item := m.items[r.ID]
	if item == nil {
		return
	}
	delete(m.items, r.ID)
	if item.dispatched {
		item.gate.apply(item.gate.Finished(now, item.id))
		return
	}
	delete(item.gate.queued, item.id)
	item.gate.apply(item.gate.Abandon(now, item.id))
}

// busy tells whether the requests in flight at all instances fill the targets.
func (g *gate) busy() bool {
	return g.inFlight >= hedgeShare*float64(g.slots)
}

func (g *gate) apply(actions []tiers.Action) {
	for _, a := range actions {
		item := g.queued[a.ID]
		if item == nil || a.Kind == tiers.Preempt {
			continue
		}
		delete(g.queued, a.ID)
		item.dispatched = a.Kind == tiers.Dispatch
		item.start(item.dispatched)
	}
}

// Retry implements Control.
func (m *managed) Retry(now time.Time, s StageInfo) bool {
	if s.Attempt >= maxAttempts || !s.Spec().Repeatable {
		return false
	}
	p50, _ := m.times.Estimate(m.key(s.Stage), s.Spec().mean())
	if s.Left < p50 {
		return false
	}
	return !m.parts.Budget || m.budgets[s.Spec().Pool].SpendRetry(now)
}

// HedgeAfter implements Control. The cost objective does not hedge.
func (m *managed) HedgeAfter(_ time.Time, s StageInfo) (time.Duration, bool) {
	if !m.parts.Hedge || m.shape.Objective == catalog.ObjectiveCost || !s.Spec().Repeatable {
		return 0, false
	}
	return m.times.Quantile(m.key(s.Stage), s.Spec().mean(), hedgeQuantile), true
}

// Hedge implements Control. A hedge that can't end in time is not worth it, nor
// one that takes the slot of a request which waits.
func (m *managed) Hedge(now time.Time, s StageInfo) bool {
	if m.parts.Gate && m.gates[s.Spec().Pool].busy() {
		return false
	}
	p50, _ := m.times.Estimate(m.key(s.Stage), s.Spec().mean())
	return s.Left >= p50 && m.budgets[s.Spec().Pool].SpendHedge(now)
}

// AttemptDone implements Control.
func (m *managed) AttemptDone(now time.Time, s StageInfo, result routing.Result, _ float64) {
	if result.Outcome != routing.OutcomeOK {
		return
	}
	m.times.Observe(now, m.key(s.Stage), s.Spec().mean(), result.Latency)
	m.budgets[s.Spec().Pool].AddSuccess(now)
}

// RequestDone implements Control.
func (m *managed) RequestDone(now time.Time, s StageInfo, _ bool) {
	m.leaveGate(now, s.Request)
}

// Digest implements Gossiper.
func (m *managed) Digest(now time.Time, slots map[string]int) any {
	digest := map[string]tiers.Digest{}
	if !m.parts.Gate {
		return digest
	}
	instances := 1
	for origin, at := range m.heard {
		if now.Sub(at) > gateTTL {
			delete(m.heard, origin)
			continue
		}
		instances++
	}
	for _, stage := range m.shape.Stages {
		g := m.gates[stage.Pool]
		if slots[stage.Pool] > 0 {
			g.apply(g.SetCapacity(now, m.capacity(&stage, slots[stage.Pool])))
		}
		peers := g.peers.Load(now, instances)
		g.apply(g.SetPeers(now, peers))
		g.apply(g.Tick(now))
		own := g.Gate.Digest(now)
		digest[stage.Pool] = own
		g.slots = slots[stage.Pool]
		g.inFlight = 0
		for rank := range own.Ranks {
			g.inFlight += float64(own.Ranks[rank].InFlight + peers.Ranks[rank].InFlight)
		}
	}
	return digest
}

// PeerDigest implements Gossiper.
func (m *managed) PeerDigest(now time.Time, origin string, digest any) {
	m.heard[origin] = now
	for pool, d := range digest.(map[string]tiers.Digest) {
		m.gates[pool].peers.Add(now, origin, d)
	}
}

// Managed returns the product's routing with parts of its control.
func Managed(name string, parts Parts, config routing.Config) Policy {
	p := Routed(name, config)
	p.NewControl = func(s *Shape) Control { return newManaged(s, parts) }
	return p
}
