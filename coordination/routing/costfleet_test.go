package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/cost"
)

// fleet plays instances that send requests to engines, in virtual time.
type fleet struct {
	// instances is the number of instances, shared the tokens that all prompts have in common, and
	// slow the number of engines that are twice as slow.
	instances, shared, slow int
	// sessions is the number of sessions whose requests share all but the last part of the prompt; 0 for none.
	sessions int
	// plain is true if the targets have no prompt cache, cutOff if the first instance exchanges no digests.
	plain, cutOff bool
	// report is true if responses state the engine's load and slowdown.
	report bool
	// recoverAt is when the slow engines become as fast as the others; 0 for never.
	recoverAt time.Duration
	// load is the share of the engines' capacity, digestEvery the interval of the digests; 0 for none.
	load float64
	// cost turns the placement by cost on, hints is how the callers estimate.
	cost        bool
	hints       string
	digestEvery time.Duration

	rng     *rand.Rand
	now     time.Time
	events  eventQueue
	tables  []*Table
	models  []*cost.Model
	engines map[string]*simEngine
	// light are the times to the answers of light requests, read the tokens that engines read.
	light []time.Duration
	read  int
	// sent and answered count all requests.
	sent, answered int
}

const (
	simEngines = 6
	simSlots   = 4
	simLight   = 40 * time.Millisecond
	simHeavy   = 1600 * time.Millisecond
	simPrompt  = 1200
	simRead    = 25 * time.Microsecond // per token, contained in the time of a request
	simDelay   = time.Millisecond      // of a message between an instance and an engine
	simLength  = 16 * time.Second
)

type simEngine struct {
	slow    float64
	running int
	waiting []func()
	cached  map[string]bool
	busy    time.Duration
}

type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (f *fleet) after(d time.Duration, do func()) { heap.Push(&f.events, event{f.now.Add(d), do}) }

// simRequest is a request of the load.
type simRequest struct {
	arrived time.Time
	parts   []PrefixPart
	heavy   bool
	hint    int
}

func (f *fleet) run(seed uint64) {
	f.rng, f.now, f.engines = rand.New(rand.NewPCG(seed, 9)), start, map[string]*simEngine{}
	targets := testTargets(simEngines)
	for i, t := range targets {
		f.engines[t.Incarnation] = &simEngine{slow: 1, cached: map[string]bool{}}
		if i < f.slow {
			f.engines[t.Incarnation].slow = 2
		}
	}
	if f.recoverAt > 0 {
		f.after(f.recoverAt, func() {
			for _, e := range f.engines {
				e.slow, e.busy = 1, 0
			}
		})
	}
	for i := range f.instances {
		c := Config{Instance: fmt.Sprint("i", i), LocalDataCentre: "dc-0", CostPlacement: f.cost}
		t := New(c)
		t.SetTargets(start, testPool, targets)
		f.tables = append(f.tables, t)
		f.models = append(f.models, cost.NewModel())
		if f.digestEvery > 0 && !(f.cutOff && i == 0) {
			f.after(time.Duration(f.rng.Float64()*float64(f.digestEvery)), func() { f.sendDigest(i) })
		}
	}
	mean := 0.15*simHeavy.Seconds() + 0.85*simLight.Seconds()
	rate := f.load * simEngines * simSlots / mean
	for at := 0.0; at < simLength.Seconds(); at += f.rng.ExpFloat64() / rate {
		f.after(time.Duration(at*float64(time.Second)), f.arrive)
		f.sent++
	}
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		if f.now = e.at; f.now.After(start.Add(simLength + 30*time.Second)) {
			return
		}
		e.do()
	}
}

func (f *fleet) sendDigest(i int) {
	entries := f.tables[i].Digest(f.now)
	created := f.now
	for j := range f.tables {
		if j != i && !(f.cutOff && j == 0) {
			f.after(20*time.Millisecond, func() { f.tables[j].PeerDigest(created, fmt.Sprint("i", i), entries) })
		}
	}
	f.after(f.digestEvery, func() { f.sendDigest(i) })
}

func (f *fleet) arrive() {
	r := &simRequest{arrived: f.now, heavy: f.rng.Float64() < 0.15}
	unique := PrefixPart{fmt.Sprint("u", f.rng.Uint64()), simPrompt - f.shared}
	switch {
	case f.plain:
	case f.shared == 0:
		r.parts = []PrefixPart{unique}
	default:
		name := "common"
		if f.sessions > 0 {
			name = fmt.Sprint("session", f.rng.IntN(f.sessions))
		}
		r.parts = []PrefixPart{{name, f.shared}, unique}
	}
	r.hint = f.hint(r.heavy)
	i := f.rng.IntN(f.instances)
	f.send(f.tables[i], f.models[i], r)
}

// Output tokens of the requests.
const simLightOutput, simHeavyOutput = 4, 160

func (f *fleet) hint(heavy bool) int {
	wrong := f.hints == "tenth" && f.rng.Float64() < 0.1
	switch {
	case f.hints == "":
		return 0
	case f.hints == "tenfold":
		return []int{simLightOutput, simHeavyOutput}[f.rng.IntN(2)] * []int{1, 10}[f.rng.IntN(2)]
	case heavy != wrong:
		return simHeavyOutput
	}
	return simLightOutput
}

func (f *fleet) send(t *Table, m *cost.Model, r *simRequest) {
	q := Query{Pool: testPool.Name}
	cr := cost.Request{Pool: testPool.Name, Route: "r", Hint: r.hint}
	if !f.plain {
		cr.Uncached, cr.PromptTokens = simPrompt, simPrompt
	}
	if f.cost {
		q.Work = &Work{Estimate: m.Estimate(f.now, cr), PromptTokens: cr.PromptTokens, Prefix: r.parts}
	}
	if len(r.parts) > 0 {
		q.HomeKey = r.parts[max(len(r.parts)-2, 0)].ID
	}
	choice, err := t.Pick(f.now, f.rng, q)
	if err != nil {
		panic(err)
	}
	attempt := t.StartedWork(f.now, choice.Target.Incarnation, q.Work)
	sent := f.now
	f.after(simDelay, func() {
		e := f.engines[choice.Target.Incarnation]
		e.run(f, r, func() {
			state := Load{Active: e.running, Queued: len(e.waiting), Slots: simSlots, Slowdown: e.slow, Age: simDelay}
			f.after(simDelay, func() {
				if had, ok := attempt.Conditions(f.now); ok {
					cr.Uncached = had.Uncached
					m.Observe(f.now, cr, cost.Observation{Total: f.now.Sub(sent), Wait: had.Wait, Slowdown: had.Slowdown})
				}
				attempt.Done(f.now, Result{Latency: f.now.Sub(sent)})
				if f.report {
					t.Report(f.now, choice.Target.Incarnation, state)
				}
				f.answered++
				if !r.heavy {
					f.light = append(f.light, f.now.Sub(r.arrived))
				}
			})
		})
	})
}

// run runs a request when a slot is free.
func (e *simEngine) run(f *fleet, r *simRequest, done func()) {
	if e.running == simSlots {
		e.waiting = append(e.waiting, func() { e.run(f, r, done) })
		return
	}
	e.running++
	duration := simLight
	if r.heavy {
		duration = simHeavy
	}
	hit := true
	for _, p := range r.parts {
		if hit = hit && e.cached[p.ID]; hit {
			duration -= time.Duration(p.Tokens) * simRead
			continue
		}
		f.read += p.Tokens
		e.cached[p.ID] = true
	}
	duration = time.Duration(float64(duration) * e.slow)
	e.busy += duration
	f.after(duration, func() {
		e.running--
		done()
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			next()
		}
	})
}

// busiest returns the work of the busiest engine, relative to the mean.
func (f *fleet) busiest() float64 {
	most, sum := 0.0, 0.0
	for _, e := range f.engines {
		most, sum = max(most, e.busy.Seconds()), sum+e.busy.Seconds()
	}
	return most / sum * simEngines
}

// inTime returns the share of the light requests that were answered within 0.3 s, and the ninth decile.
func (f *fleet) inTime() (share float64, p90 time.Duration) {
	slices.Sort(f.light)
	n, _ := slices.BinarySearch(f.light, 300*time.Millisecond+1)
	return float64(n) / float64(len(f.light)), f.light[len(f.light)*9/10]
}
