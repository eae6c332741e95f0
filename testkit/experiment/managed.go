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

// ControlOptions selects the enabled parts of the product's control.
type ControlOptions struct {
	Admission, Gate, Hedge, Budget bool
	// EngineOvercommit and ServiceOvercommit are the capacity of the gates, as
	// multiples of the slots.
	EngineOvercommit, ServiceOvercommit float64
}

const (
	// hedgeQuantile is the quantile of a stage's observed time after which a
	// hedge is sent.
	hedgeQuantile = 0.95
	// hedgeShare is a share of a pool's slots: hedging is disabled while at least
	// so many requests are in flight.
	hedgeShare  = 0.7
	maxAttempts = 3
	gateTTL     = 2 * time.Second
)

// managedControl is the Control with the product's admission, gates, retries
// and hedges.
type managedControl struct {
	options       ControlOptions
	shape         *Shape
	rng           *rand.Rand
	times         *deadline.Times
	admission     []*admission.Controller // by tier
	budgets       map[string]*retry.Budget
	gates         map[string]*gate
	lastDigest    map[string]time.Time
	itemByRequest map[int]*gateItem // by request
	nextID        uint64
}

// gate is the admission queue in front of a pool.
type gate struct {
	*tiers.Gate
	peers  *tiers.PeerDigests
	queued map[uint64]*gateItem
	// slots is the number of routable slots, inFlight the number of requests in
	// flight at all instances, both at the time of the last digest.
	slots    int
	inFlight float64
}

type gateItem struct {
	id         uint64
	gate       *gate
	start      func(bool)
	dispatched bool
}

func newManagedControl(s *Shape, options ControlOptions) *managedControl {
	m := &managedControl{
		options:       options,
		shape:         s,
		rng:           newRand(1, 3),
		times:         deadline.NewTimes(deadline.Config{}),
		budgets:       map[string]*retry.Budget{},
		gates:         map[string]*gate{},
		lastDigest:    map[string]time.Time{},
		itemByRequest: map[int]*gateItem{},
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

// capacity returns the capacity of a stage's gate for a number of slots.
func (m *managedControl) capacity(stage *StageShape, slots int) int {
	if stage.Kind == catalog.KindEngine {
		return int(m.options.EngineOvercommit * float64(slots))
	}
	return int(m.options.ServiceOvercommit * float64(slots))
}

func (m *managedControl) stageKey(stage int) deadline.StageKey {
	return deadline.StageKey{Pipeline: catalog.PipelineKey{Name: m.shape.Name}, Stage: m.shape.Stages[stage].Name}
}

// remaining returns the request's stages from the given one on, with their
// estimated times.
func (m *managedControl) remaining(now time.Time, r *Request, from int) []deadline.RemainingStage {
	var list []deadline.RemainingStage
	for i := from; i < len(r.Work); i++ {
		if r.Work[i] == 0 {
			continue
		}
		stage := &m.shape.Stages[i]
		p50, p95 := m.times.Estimate(m.stageKey(i), stage.meanIdleTime())
		rem := deadline.RemainingStage{Stage: i, P50: p50, P95: p95}
		if len(list) > 0 {
			rem.After = []int{list[len(list)-1].Stage}
		}
		if m.options.Gate {
			rem.Wait = m.gates[stage.Pool].EstimatedWait(now, r.Tier)
		}
		list = append(list, rem)
	}
	return list
}

func (m *managedControl) requestDeadline(now time.Time, s StageInfo) time.Time {
	return now.Add(s.Remaining - s.Shape.ClientDelay)
}

// Admit implements Control.
func (m *managedControl) Admit(now time.Time, s StageInfo) bool {
	if !m.options.Admission {
		return true
	}
	d := m.admission[s.Request.Tier].Decide(now, m.requestDeadline(now, s), m.remaining(now, s.Request, 0), m.rng)
	return d.Admit
}

// StartStage implements Control.
func (m *managedControl) StartStage(now time.Time, s StageInfo, start func(bool)) {
	m.leaveGate(now, s.Request)
	latest := m.requestDeadline(now, s)
	if m.options.Admission {
		latest = deadline.Plan(now, latest, m.remaining(now, s.Request, s.Stage))[0].LatestStart
	}
	if !m.options.Gate {
		start(!now.After(latest))
		return
	}
	g := m.gates[s.StageShape().Pool]
	m.nextID++
	item := &gateItem{id: m.nextID, gate: g, start: start}
	g.queued[item.id] = item
	m.itemByRequest[s.Request.ID] = item
	g.apply(g.Enqueue(now, tiers.Item{ID: item.id, Rank: s.Request.Tier, LatestStart: latest}))
}

// leaveGate releases the request's entry at the gate of its previous stage.
func (m *managedControl) leaveGate(now time.Time, r *Request) {
	item := m.itemByRequest[r.ID]
	if item == nil {
		return
	}
	delete(m.itemByRequest, r.ID)
	if item.dispatched {
		item.gate.apply(item.gate.Finished(now, item.id))
		return
	}
	delete(item.gate.queued, item.id)
	item.gate.apply(item.gate.Abandon(now, item.id))
}

// busy returns whether the requests in flight at all instances use too many
// slots for hedging.
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
func (m *managedControl) Retry(now time.Time, s StageInfo) bool {
	if s.Attempts >= maxAttempts || !s.StageShape().Repeatable {
		return false
	}
	p50, _ := m.times.Estimate(m.stageKey(s.Stage), s.StageShape().meanIdleTime())
	if s.Remaining < p50 {
		return false
	}
	return !m.options.Budget || m.budgets[s.StageShape().Pool].SpendRetry(now)
}

// HedgeAfter implements Control. The cost objective does not hedge.
func (m *managedControl) HedgeAfter(_ time.Time, s StageInfo) (time.Duration, bool) {
	if !m.options.Hedge || m.shape.Objective == catalog.ObjectiveCost || !s.StageShape().Repeatable {
		return 0, false
	}
	return m.times.Quantile(m.stageKey(s.Stage), s.StageShape().meanIdleTime(), hedgeQuantile), true
}

// Hedge implements Control. It rejects a hedge that would probably miss the
// deadline, and one that would take the slot of a waiting request.
func (m *managedControl) Hedge(now time.Time, s StageInfo) bool {
	if m.options.Gate && m.gates[s.StageShape().Pool].busy() {
		return false
	}
	p50, _ := m.times.Estimate(m.stageKey(s.Stage), s.StageShape().meanIdleTime())
	return s.Remaining >= p50 && m.budgets[s.StageShape().Pool].SpendHedge(now)
}

// AttemptDone implements Control.
func (m *managedControl) AttemptDone(now time.Time, s StageInfo, result routing.Result, _ float64) {
	if result.Outcome != routing.OutcomeOK {
		return
	}
	m.times.Observe(now, m.stageKey(s.Stage), s.StageShape().meanIdleTime(), result.Latency)
	m.budgets[s.StageShape().Pool].AddSuccess(now)
}

// RequestDone implements Control.
func (m *managedControl) RequestDone(now time.Time, s StageInfo, _ bool) {
	m.leaveGate(now, s.Request)
}

// Digest implements Gossiper.
func (m *managedControl) Digest(now time.Time, slots map[string]int) any {
	digest := map[string]tiers.Digest{}
	if !m.options.Gate {
		return digest
	}
	instances := 1
	for origin, at := range m.lastDigest {
		if now.Sub(at) > gateTTL {
			delete(m.lastDigest, origin)
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
func (m *managedControl) PeerDigest(now time.Time, origin string, digest any) {
	m.lastDigest[origin] = now
	for pool, d := range digest.(map[string]tiers.Digest) {
		m.gates[pool].peers.Add(now, origin, d)
	}
}

// Managed returns a policy with the product's routing and the selected parts of
// its control.
func Managed(name string, options ControlOptions, config routing.Config) Policy {
	p := Routed(name, config)
	p.NewControl = func(s *Shape) Control { return newManagedControl(s, options) }
	return p
}
