package gather

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// flowDeployment is a deployment whose stages pass results on.
type flowDeployment struct {
	services    []fleetService
	kinds       []fleetKind
	dataCentres int
	// apart is the delay of a message between data centres.
	apart time.Duration
	// surging arrives factor times as often from the fourth second until ends.
	surging string
	factor  float64
	ends    time.Duration
	// binding is the stage service that binds.
	binding string
}

// flowTarget is a stand-in target: it runs one call at a time and has room for its results.
type flowTarget struct {
	dataCentre string
	used       int64
	busyUntil  time.Time
	held       map[string]*flowResult
}

type flowResult struct {
	at    *flowTarget
	bytes int64
	work  time.Duration
	used  bool
}

// flowTotals are the measures of one stage service.
type flowTotals struct {
	calls, pieces  int
	full, wasted   time.Duration
	noRoom, unused int
}

// flowRun plays a flowDeployment.
type flowRun struct {
	*fleetRun
	d         flowDeployment
	targets   map[string]*flowTarget
	results   map[string]*flowResult
	stages    map[string][]Stage
	totals    map[string]*flowTotals
	byPeriod  map[int]map[string]*flowTotals
	refusedAt map[int]int
}

const (
	flowTTL  = 4 * time.Second
	linkBits = 10_000_000_000
	freeTook = 5 * time.Millisecond
)

func flowService(name string, targets, pieces int, piece float64, room float64) fleetService {
	return fleetService{name, targets, ServiceConfig{
		Slots: 1, MaxPieces: pieces, CallTime: 200 * time.Millisecond, PieceTime: time.Duration(piece * float64(time.Millisecond)),
		ResultCapacity: int64(room * 1e6), ResultTTL: flowTTL, LinkRate: linkBits,
	}}
}

// flowChain is the stages P, F and N; the first reads no results.
func flowChain(rng *rand.Rand, first int) []Stage {
	return []Stage{
		{Service: "P", Pieces: 1, ResultBytes: 8 << 10},
		{Service: "F", After: []int{first}, Pieces: 6, ResultBytes: 60 << 10},
		{Service: "N", After: []int{first + 1}, Pieces: around(rng, 10, 25), ResultBytes: 6 << 10},
	}
}

func flowKinds(rates [3]float64, objectives [3]time.Duration) []fleetKind {
	return []fleetKind{
		{"summary", 0, rates[0], objectives[0], 6 * time.Second, 300 * time.Millisecond, func(rng *rand.Rand) []Stage {
			if rng.Float64() > 0.7 {
				return []Stage{{Service: "P"}}
			}
			return []Stage{{Service: "P", Pieces: around(rng, 2.5, 10), ResultBytes: 1500 << 10}}
		}, fleetCaller{}},
		{"question", 1, rates[1], objectives[1], 6 * time.Second, 100 * time.Millisecond, func(rng *rand.Rand) []Stage {
			return flowChain(rng, 0)
		}, fleetCaller{}},
		{"line", 2, rates[2], objectives[2], 20 * time.Second, 100 * time.Millisecond, func(rng *rand.Rand) []Stage {
			large := 0
			if rng.Float64() < 0.4 {
				large = around(rng, 1.5, 6)
			}
			return append([]Stage{{Service: "P", Pieces: large, ResultBytes: 1500 << 10}}, flowChain(rng, 1)...)
		}, fleetCaller{}},
	}
}

func flowDeployments() []flowDeployment {
	s := time.Second
	return []flowDeployment{
		{[]fleetService{flowService("P", 18, 10, 17, 22), flowService("F", 15, 40, 4.3, 5.2), flowService("N", 18, 56, 3.1, 0.73)},
			flowKinds([3]float64{41, 94, 47}, [3]time.Duration{1200 * time.Millisecond, 4 * s, 2 * s}), 3, 900 * time.Microsecond, "question", 4.4, 9 * s, "F"},
		{[]fleetService{flowService("P", 17, 20, 8.6, 45), flowService("F", 15, 68, 2.5, 8.9), flowService("N", 16, 94, 1.8, 1.2)},
			flowKinds([3]float64{146, 156, 77}, [3]time.Duration{1200 * time.Millisecond, 3 * s, 3 * s}), 4, 4900 * time.Microsecond, "summary", 3, 10 * s, "P"},
	}
}

func newFlowRun(seed uint64, config Config, d flowDeployment) *flowRun {
	f := &flowRun{d: d, targets: map[string]*flowTarget{}, results: map[string]*flowResult{}, stages: map[string][]Stage{}, totals: map[string]*flowTotals{},
		byPeriod: map[int]map[string]*flowTotals{}, refusedAt: map[int]int{}}
	kinds := slices.Clone(d.kinds)
	for i := range kinds {
		stages := kinds[i].stages
		kinds[i].stages = func(rng *rand.Rand) []Stage {
			s := stages(rng)
			f.stages[fmt.Sprint("q", f.nextID)] = s
			return s
		}
	}
	f.fleetRun = newFleetRunOf(seed, config, d.services, kinds, d.dataCentres)
	for _, s := range d.services {
		f.totals[s.name] = &flowTotals{}
		for i := range s.targets {
			f.targets[fmt.Sprintf("%s-%d", s.name, i)] = &flowTarget{dataCentre: fmt.Sprint("dc", i%d.dataCentres), held: map[string]*flowResult{}}
		}
	}
	f.surge = func(kind string, at time.Duration) float64 {
		if at > 15*time.Second {
			return 1e-4
		}
		if kind == d.surging && at > 4*time.Second && at < d.ends {
			return d.factor
		}
		return 1
	}
	f.carryOut = f.carry
	return f
}

func (f *flowRun) carry(a Action) bool {
	switch a := a.(type) {
	case StartCall:
		f.startCall(a)
	case FreeResults:
		delay := 40 * time.Millisecond
		if a.Urgent {
			delay = 0
		}
		f.at(delay+freeTook/2, func() {
			for _, h := range a.Handles {
				f.free(h, f.targets[a.Target.Incarnation])
			}
		})
		f.at(delay+freeTook, func() { f.step(func() []Action { return f.planner.FreeDone(f.now, a.Handles) }) })
	case Refused:
		f.refusedAt[int(f.now.Sub(f.begin)/time.Second)]++
		return false
	case Completed:
		open := f.open[a.Request]
		f.at(open.kind.readDelay-time.Millisecond, func() {
			for _, h := range a.Handles {
				if r := f.results[h]; r != nil {
					r.used = true
				}
			}
		})
		return false
	default:
		return false
	}
	return true
}

func (f *flowRun) free(handle string, t *flowTarget) {
	if r := t.held[handle]; r != nil {
		delete(t.held, handle)
		t.used -= r.bytes
	}
}

// startCall has the call wait for its turn.
func (f *flowRun) startCall(c StartCall) {
	t := f.targets[c.Target.Incarnation]
	f.at(max(t.busyUntil.Sub(f.now), 0)+time.Millisecond, func() { f.turn(c, t) })
	// Reserve the turn, so that calls keep their order.
	t.busyUntil = f.now.Add(max(t.busyUntil.Sub(f.now), 0) + time.Millisecond)
}

// turn reads the inputs of a call, which takes the links of both ends, and does its work.
func (f *flowRun) turn(c StartCall, t *flowTarget) {
	config := f.services[c.Service].config
	var bytes int64
	var delay time.Duration
	results := make([]PieceResult, len(c.Pieces))
	read := map[string]bool{}
	var work time.Duration
	running := 0
	total := f.totals[c.Service]
	for i, p := range c.Pieces {
		stage := f.stages[p.Request][p.Stage]
		for _, h := range p.Inputs {
			r := f.results[h]
			if r == nil || r.at.held[h] == nil {
				results[i].Failure = PieceInputMissing
				continue
			}
			r.used = true
			if !read[h] && r.at != t {
				read[h] = true
				bytes += r.bytes
				if r.at.dataCentre != t.dataCentre {
					delay = f.d.apart
				}
			}
		}
		switch {
		case results[i].Failure != PieceOK:
			// Its inputs are produced again.
		case t.used+stage.ResultBytes > config.ResultCapacity:
			results[i].Failure = PieceNoCapacity
			total.noRoom++
		default:
			t.used += stage.ResultBytes
			running++
			f.handles++
			results[i].Handle = fmt.Sprint("h", f.handles)
			factor := 1.0
			if stage.ResultBytes == 8<<10 {
				factor = 0.3
			}
			work += time.Duration(factor * float64(config.PieceTime))
			r := &flowResult{at: t, bytes: stage.ResultBytes}
			f.results[results[i].Handle], t.held[results[i].Handle] = r, r
		}
	}
	took := 2*delay + time.Duration(bytes*8*int64(time.Second)/linkBits) + config.CallTime + work
	for _, r := range results {
		if r.Handle != "" {
			f.results[r.Handle].work = took / time.Duration(running)
			f.at(flowTTL, func() { f.free(r.Handle, t) })
		}
	}
	t.busyUntil = f.now.Add(took)
	full := (config.CallTime + time.Duration(config.MaxPieces)*config.PieceTime) * time.Duration(running) / time.Duration(config.MaxPieces)
	begin, end := f.now.Sub(f.begin), f.now.Add(took).Sub(f.begin)
	f.period(begin, c.Service).calls++
	f.period(begin, c.Service).pieces += running
	for at := begin; at < end; {
		next := min(at.Truncate(time.Second)+time.Second, end)
		f.period(at, c.Service).full += time.Duration(float64(full) * float64(next-at) / float64(took))
		at = next
	}
	f.at(took+time.Millisecond, func() {
		f.step(func() []Action { return f.planner.CallDone(f.now, c.ID, CallAnswered, results) })
	})
}

// period returns the measures of a service in the second of a time since the start.
func (f *flowRun) period(at time.Duration, service string) *flowTotals {
	second := int(at / time.Second)
	if f.byPeriod[second] == nil {
		f.byPeriod[second] = map[string]*flowTotals{}
	}
	if f.byPeriod[second][service] == nil {
		f.byPeriod[second][service] = &flowTotals{}
	}
	return f.byPeriod[second][service]
}

// overloaded returns the sums over the seconds in which requests were refused, from the second
// second of the burst on, and the number of these seconds.
func (f *flowRun) overloaded() (map[string]*flowTotals, int) {
	sums, n := map[string]*flowTotals{}, 0
	for s := range f.d.services {
		sums[f.d.services[s].name] = &flowTotals{}
	}
	for period, by := range f.byPeriod {
		if period < 5 || f.refusedAt[period] == 0 {
			continue
		}
		n++
		for name, t := range by {
			sums[name].calls += t.calls
			sums[name].pieces += t.pieces
			sums[name].full += t.full
		}
	}
	return sums, n
}

// finish counts the results that nobody used.
func (f *flowRun) finish() {
	for _, r := range f.results {
		for id, t := range f.targets {
			if t == r.at && !r.used {
				total := f.totals[id[:1]]
				total.unused++
				total.wasted += r.work
			}
		}
	}
}
