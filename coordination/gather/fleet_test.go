package gather

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleetKind is one kind of request in a fleet's load.
type fleetKind struct {
	name     string
	priority int
	// rate is the requests a second.
	rate      float64
	objective time.Duration
	deadline  time.Duration
	// readDelay is the time from the last stage's end until the results are read.
	readDelay time.Duration
	stages    func(rng *rand.Rand) []Stage
	caller    fleetCaller
}

// timerScatter is by how much even arrivals are late. Without it those of several accounts would
// coincide, and always in the same order.
const timerScatter = 10 * time.Millisecond

// fleetCaller is who sends the requests of a kind.
type fleetCaller struct {
	// account is the client account, tier its priority, the usual one if 0.
	account string
	tier    int
	// route is the kind of request if it isn't the name. Even arrivals have constant intervals.
	route string
	even  bool
}

// fleetService is a service with its targets.
type fleetService struct {
	name    string
	targets int
	config  ServiceConfig
}

// The services and kinds of a deployment of several hundred instances. A scale of 1 has
// some 600 requests with stages a second.
const (
	lookup  = "lookup"
	ranking = "ranking"
	scoring = "scoring"
)

func fleetServices(scale float64) []fleetService {
	n := func(targets float64) int { return int(math.Ceil(targets * scale)) }
	return []fleetService{
		{lookup, n(44), ServiceConfig{Slots: 1, MaxPieces: 12, CallTime: 200 * time.Millisecond, PieceTime: 14 * time.Millisecond, ResultCapacity: 27 << 20, ResultTTL: 4 * time.Second}},
		{ranking, n(36), ServiceConfig{Slots: 1, MaxPieces: 48, CallTime: 200 * time.Millisecond, PieceTime: 3600 * time.Microsecond, ResultCapacity: 6300 << 10, ResultTTL: 4 * time.Second}},
		{scoring, n(42), ServiceConfig{Slots: 1, MaxPieces: 68, CallTime: 200 * time.Millisecond, PieceTime: 2500 * time.Microsecond, ResultCapacity: 900 << 10, ResultTTL: 4 * time.Second}},
	}
}

// around samples a number of pieces around a mean.
func around(rng *rand.Rand, mean float64, most int) int {
	return min(max(int(math.Round(mean*math.Exp(0.5*rng.NormFloat64()-0.125))), 1), most)
}

func chained(rng *rand.Rand, first int) []Stage {
	return []Stage{
		{Service: lookup, Pieces: 1, ResultBytes: 8 << 10},
		{Service: ranking, After: []int{first}, Pieces: 6, ResultBytes: 60 << 10},
		{Service: scoring, After: []int{first + 1}, Pieces: around(rng, 10, 25), ResultBytes: 6 << 10},
	}
}

func fleetKinds(scale float64) []fleetKind {
	return []fleetKind{
		{"draft", 1, 189 * scale, 1400 * time.Millisecond, 6 * time.Second, 300 * time.Millisecond, func(rng *rand.Rand) []Stage {
			if rng.Float64() > 0.7 {
				return []Stage{{Service: lookup}}
			}
			return []Stage{{Service: lookup, Pieces: around(rng, 2.5, 10), ResultBytes: 1500 << 10}}
		}, fleetCaller{}},
		{"summary", 0, 254 * scale, 2 * time.Second, 6 * time.Second, 100 * time.Millisecond, func(rng *rand.Rand) []Stage {
			return chained(rng, 0)
		}, fleetCaller{}},
		{"query", 2, 140 * scale, 1900 * time.Millisecond, 20 * time.Second, 100 * time.Millisecond, func(rng *rand.Rand) []Stage {
			large := 0
			if rng.Float64() < 0.4 {
				large = around(rng, 1.5, 6)
			}
			return append([]Stage{{Service: lookup, Pieces: large, ResultBytes: 1500 << 10}}, chained(rng, 1)...)
		}, fleetCaller{}},
	}
}

// fleetResult counts the results of the requests of one kind.
// Requests that were admitted before are counted in refusedLate as well, and in wasted if
// pieces of them were sent.
type fleetResult struct{ submitted, timely, missed, refused, refusedLate, wasted int }

func (r fleetResult) timelyShare() float64  { return float64(r.timely) / float64(r.submitted) }
func (r fleetResult) refusedShare() float64 { return float64(r.refused) / float64(r.submitted) }

// fleetRun simulates a load against a planner in virtual time.
type fleetRun struct {
	planner *Planner
	rng     *rand.Rand
	kinds   []fleetKind
	// surge multiplies a kind's rate at a time since the start.
	surge    func(kind string, at time.Duration) float64
	begin    time.Time
	now      time.Time
	events   fleetEvents
	order    int
	nextID   int
	handles  int
	open     map[string]*fleetOpen
	results  map[string]*fleetResult
	calls    map[string]int
	pieces   map[string]int
	services map[string]fleetService
	// renumbered has the ids of calls at the present planner by those at an earlier one.
	renumbered map[uint64]uint64
	// plannerTime is the time spent in the planner.
	plannerTime time.Duration
	maxHeld     int
	dataCentres int
	// carryOut replaces how calls run and results are freed; it reports whether it did.
	carryOut func(Action) bool
}

type fleetOpen struct {
	kind       fleetKind
	at, due    time.Time
	sentPieces bool
}

type fleetEvent struct {
	at    time.Time
	order int
	run   func()
}

type fleetEvents []fleetEvent

func (e fleetEvents) Len() int { return len(e) }
func (e fleetEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e fleetEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *fleetEvents) Push(x any)   { *e = append(*e, x.(fleetEvent)) }
func (e *fleetEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newFleetRun(seed uint64, scale float64) *fleetRun {
	return newFleetRunOf(seed, Config{}, fleetServices(scale), fleetKinds(scale), 5)
}

func newFleetRunOf(seed uint64, config Config, services []fleetService, kinds []fleetKind, dataCentres int) *fleetRun {
	r := &fleetRun{
		planner: New(config), rng: rand.New(rand.NewPCG(seed, 1)), kinds: kinds, dataCentres: dataCentres,
		surge: func(string, time.Duration) float64 { return 1 },
		begin: time.Unix(1000, 0), now: time.Unix(1000, 0),
		open: map[string]*fleetOpen{}, results: map[string]*fleetResult{},
		calls: map[string]int{}, pieces: map[string]int{}, services: map[string]fleetService{},
	}
	for _, s := range services {
		r.services[s.name] = s
		r.planner.SetService(s.name, s.config)
		var list []Target
		for i := range s.targets {
			id := fmt.Sprintf("%s-%d", s.name, i)
			list = append(list, Target{Incarnation: id, Name: id, Address: id, DataCentre: fmt.Sprint("dc", i%dataCentres)})
		}
		r.step(func() []Action { return r.planner.SetTargets(r.now, s.name, list) })
	}
	for _, k := range r.kinds {
		r.results[k.name] = &fleetResult{}
		r.arrive(k)
	}
	r.tick()
	return r
}

func (r *fleetRun) at(d time.Duration, run func()) {
	r.order++
	heap.Push(&r.events, fleetEvent{r.now.Add(d), r.order, run})
}

// run simulates until a time since the start.
func (r *fleetRun) run(until time.Duration) {
	for len(r.events) > 0 && r.events[0].at.Sub(r.begin) < until {
		next := heap.Pop(&r.events).(fleetEvent)
		r.now = next.at
		next.run()
	}
}

func (r *fleetRun) arrive(k fleetKind) {
	rate := k.rate * r.surge(k.name, r.now.Sub(r.begin))
	if k.caller.even {
		r.at(time.Duration(float64(time.Second)/rate), func() {
			r.at(time.Duration(r.rng.Int64N(int64(timerScatter))), func() { r.submit(k) })
			r.arrive(k)
		})
		return
	}
	r.at(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		r.submit(k)
		r.arrive(k)
	})
}

func (r *fleetRun) submit(k fleetKind) {
	r.nextID++
	q := Request{
		ID: fmt.Sprint("q", r.nextID), Route: cmp.Or(k.caller.route, k.name), Key: "k", Priority: 1 + k.caller.tier, KindPriority: k.priority, Account: k.caller.account,
		Stages: k.stages(r.rng), Objective: r.now.Add(k.objective), Deadline: r.now.Add(k.deadline),
		Remaining: k.readDelay, DataCentre: fmt.Sprint("dc", r.rng.IntN(r.dataCentres)),
	}
	r.results[k.name].submitted++
	r.open[q.ID] = &fleetOpen{kind: k, at: r.now, due: q.Objective}
	r.step(func() []Action { return r.planner.Submit(r.now, q) })
	r.maxHeld = max(r.maxHeld, r.planner.RequestCount())
}

func (r *fleetRun) tick() {
	r.at(100*time.Millisecond, func() {
		r.step(func() []Action { return r.planner.Tick(r.now) })
		r.tick()
	})
}

// step runs a step of the planner and carries out its actions.
func (r *fleetRun) step(step func() []Action) {
	begin := time.Now()
	actions := step()
	r.plannerTime += time.Since(begin)
	for _, a := range actions {
		if r.carryOut != nil && r.carryOut(a) {
			continue
		}
		switch a := a.(type) {
		case StartCall:
			r.call(a)
		case Completed:
			r.ended(a.Request, true)
		case Refused:
			r.ended(a.Request, false)
		case FreeResults:
			handles := a.Handles
			r.at(45*time.Millisecond, func() { r.step(func() []Action { return r.planner.FreeDone(r.now, handles) }) })
		}
	}
}

func (r *fleetRun) call(c StartCall) {
	config := r.services[c.Service].config
	r.calls[c.Service]++
	r.pieces[c.Service] += len(c.Pieces)
	for _, piece := range c.Pieces {
		if open := r.open[piece.Request]; open != nil {
			open.sentPieces = true
		}
	}
	took := config.CallTime + time.Duration(len(c.Pieces))*config.PieceTime
	r.at(took, func() {
		results := make([]PieceResult, len(c.Pieces))
		for i := range results {
			r.handles++
			results[i].Handle = fmt.Sprint("h", r.handles)
		}
		r.step(func() []Action { return r.planner.CallDone(r.now, r.callID(c.ID), CallAnswered, results) })
	})
}

func (r *fleetRun) callID(id uint64) uint64 {
	if to, ok := r.renumbered[id]; ok {
		return to
	}
	return id
}

// handover moves the queue to a new planner.
func (r *fleetRun) handover() {
	schedule, state := r.planner.ExportSchedule(r.now), r.planner.Export(r.now)
	next := New(r.planner.config)
	for name, s := range r.services {
		next.SetService(name, s.config)
		next.SetTargets(r.now, name, r.planner.services[name].listedTargets())
	}
	r.planner = next
	r.step(func() []Action {
		next.ImportSchedule(r.now, schedule)
		actions, ids := next.Import(r.now, state)
		r.renumbered = ids
		return actions
	})
}

func (r *fleetRun) ended(id string, completed bool) {
	open := r.open[id]
	delete(r.open, id)
	result := r.results[open.kind.name]
	if !completed {
		result.refused++
		if r.now.After(open.at) {
			result.refusedLate++
		}
		if open.sentPieces {
			result.wasted++
		}
		return
	}
	if r.now.Add(open.kind.readDelay).After(open.due) {
		result.missed++
	} else {
		result.timely++
	}
	r.at(open.kind.readDelay, func() { r.step(func() []Action { return r.planner.Drop(r.now, id) }) })
}

func (r *fleetRun) log(t testing.TB) {
	submitted := 0
	for _, k := range r.kinds {
		v := r.results[k.name]
		submitted += v.submitted
		t.Logf("%s: asked %d, timely %.3f, late %.3f, refused %.3f", k.name, v.submitted,
			v.timelyShare(), float64(v.missed)/float64(v.submitted), v.refusedShare())
	}
	for name, n := range r.calls {
		t.Logf("%s: %d calls of %.1f pieces", name, n, float64(r.pieces[name])/float64(n))
	}
	t.Logf("%s a request, at most %d held", r.plannerTime/time.Duration(submitted), r.maxHeld)
}

// Prevents degradation with the number of targets and of waiting requests: a limit that
// refuses requests, or an order that leaves targets idle. All kinds arrive at twice their
// rate for five seconds, with the same number of targets per request in both fleets.
func TestLargeFleetIsServedLikeSmallOne(t *testing.T) {
	play := func(scale float64) *fleetRun {
		r := newFleetRun(1, scale)
		r.surge = func(_ string, at time.Duration) float64 {
			if at > 2*time.Second && at < 7*time.Second {
				return 2
			}
			return 1
		}
		r.run(12 * time.Second)
		r.log(t)
		return r
	}
	small, large := play(1), play(3)
	for name, got := range large.results {
		want := small.results[name]
		require.Greater(t, got.timelyShare(), want.timelyShare()-0.1, name)
		require.Less(t, got.refusedShare(), want.refusedShare()+0.01, name)
	}
}

// checkBacklog compares the backlogs with a count over all waiting requests.
func checkBacklog(t require.TestingT, p *Planner) {
	for _, s := range p.services {
		pieces := 0
		for _, w := range p.requests {
			for _, st := range w.stages {
				if st.service == s && !w.completed {
					pieces += len(st.pending)
				}
			}
		}
		total := 0
		for _, r := range s.backlog.ranks {
			slots := 0
			for _, w := range r.buckets {
				slots += w.pieces
			}
			require.Equal(t, r.total.pieces, slots)
			total += slots
		}
		require.Equal(t, pieces, total, s.name)
		if s.shares == nil {
			continue
		}
		for _, own := range s.shares.queued {
			for _, part := range []backlog{own.timely, own.yielding} {
				for _, r := range part.ranks {
					total -= r.total.pieces
				}
			}
		}
		require.Zero(t, total, "queued work of the accounts of %s", s.name)
	}
}
