package admission_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/admission"
	"github.com/ivyhollow/ivyhollow/coordination/deadline"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// The simulation runs the gates and the admission of several instances before
// one pool of shared slots, in virtual time: open-loop arrivals, digests that
// arrive late, work cancelled at its deadline, callers that come back.
type simulation struct {
	options
	now       time.Time
	rng       *rand.Rand
	events    eventHeap
	instances []*instance
	busySlots int
	// waiting holds what the targets queue, by the priority passed to them.
	targetQueues [tiers.MaxRanks][]*request
	peakLoad     int
	lastID       uint64
	onEnd        func(*request, bool)
	preemptions  int
}

type options struct {
	instances, slots    int
	digestInterval      time.Duration
	digestDelay         time.Duration
	gate                tiers.Config
	noGate, noAdmission bool
	ignoreDigests       bool
	ignorePriority      bool
}

// class is one stream of requests.
type class struct {
	rank        int
	rate        float64
	from, until time.Duration
	serviceTime time.Duration
	sigma       float64
	deadline    time.Duration
	resumable   bool
	// skew is the share of the requests that the first instance gets beyond
	// its even part.
	skew float64
	// retries is how often a caller comes back after a refusal or a late
	// answer; one that heeds no Retry-After comes back at once.
	retries           int
	ignoresRetryAfter bool
}

type instance struct {
	gate       *tiers.Gate
	peers      *tiers.Peers
	admission  map[int]*admission.Controller
	times      *deadline.Times
	dispatched map[uint64]*request
}

type request struct {
	class        *class
	id           uint64
	instance     *instance
	arrived, due time.Time
	sentAt       time.Time
	remaining    time.Duration
	startedAt    time.Time
	running      bool
	ended        bool
	probe        bool
	preemptions  int
	retries      int
	finishEvent  *event
}

var epoch = time.Unix(1_000_000, 0)

func newSimulation(seed uint64, o options) *simulation {
	s := &simulation{options: o, now: epoch, rng: rand.New(rand.NewPCG(seed, 1))}
	for range o.instances {
		i := &instance{
			gate:       tiers.NewGate(o.gate, o.slots),
			peers:      tiers.NewPeers(time.Minute),
			admission:  map[int]*admission.Controller{},
			times:      deadline.NewTimes(deadline.Config{}),
			dispatched: map[uint64]*request{},
		}
		s.instances = append(s.instances, i)
	}
	s.exchange()
	return s
}

func (s *simulation) schedule(t time.Time, do func()) *event {
	s.lastID++
	e := &event{at: t, sequence: s.lastID, run: do}
	heap.Push(&s.events, e)
	return e
}

func (s *simulation) run(until time.Duration) {
	end := epoch.Add(until)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(*event)
		s.now = e.at
		if !e.cancelled {
			e.run()
		}
	}
}

// exchange sends every instance's digest to the others, and ticks the gates.
func (s *simulation) exchange() {
	for n, from := range s.instances {
		d := from.gate.Digest(s.now)
		name := string(rune('a' + n))
		for _, to := range s.instances {
			if to != from && !s.ignoreDigests {
				s.schedule(s.now.Add(s.digestDelay), func() {
					to.peers.Heard(s.now, name, d)
				})
			}
		}
		s.apply(from, from.gate.SetPeers(s.now, from.peers.Load(s.now, len(s.instances))))
	}
	s.schedule(s.now.Add(s.digestInterval), s.exchange)
}

func (s *simulation) addClass(c class) {
	var next func()
	next = func() {
		if s.now.Sub(epoch) >= c.until {
			return
		}
		s.submit(&request{class: &c, retries: c.retries})
		s.schedule(s.now.Add(s.interarrivalTime(c.rate)), next)
	}
	s.schedule(epoch.Add(c.from), next)
}

func (s *simulation) interarrivalTime(rate float64) time.Duration {
	return time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
}

func (s *simulation) serviceTime(c *class) time.Duration {
	factor := math.Exp(c.sigma*s.rng.NormFloat64() - c.sigma*c.sigma/2)
	return time.Duration(float64(c.serviceTime) * factor)
}

var simulatedStage = deadline.StageKey{Pipeline: catalog.PipelineKey{Name: "p"}, Stage: "s"}

func (s *simulation) submit(w *request) {
	c := w.class
	s.lastID++
	w.id, w.arrived, w.due = s.lastID, s.now, s.now.Add(c.deadline)
	w.remaining = s.serviceTime(c)
	w.instance = s.instances[s.rng.IntN(len(s.instances))]
	if s.rng.Float64() < c.skew {
		w.instance = s.instances[0]
	}
	s.schedule(w.due, func() { s.expire(w) })
	latest := w.due
	if !s.noAdmission {
		d := s.decide(w)
		if !d.Admit {
			s.end(w, false, d.RetryAfter)
			return
		}
		latest, w.probe = d.LatestStart, d.Probe
	}
	s.enqueue(w, latest)
}

func (s *simulation) decide(w *request) admission.Decision {
	c := w.class
	control := w.instance.admission[c.rank]
	if control == nil {
		control = admission.New(admission.Config{})
		w.instance.admission[c.rank] = control
	}
	p50, p95 := w.instance.times.Estimate(s.stageKey(c), c.serviceTime)
	stage := deadline.RemainingStage{P50: p50, P95: p95, Wait: w.instance.gate.Wait(s.now, c.rank)}
	return control.Decide(s.now, w.due, []deadline.RemainingStage{stage}, s.rng)
}

func (s *simulation) stageKey(c *class) deadline.StageKey {
	k := simulatedStage
	k.Size = uint8(c.rank)
	return k
}

func (s *simulation) enqueue(w *request, latest time.Time) {
	w.instance.dispatched[w.id] = w
	if s.noGate {
		s.sendToTargets(w)
		return
	}
	s.apply(w.instance, w.instance.gate.Enqueue(s.now, tiers.Item{
		ID: w.id, Rank: w.class.rank, LatestStart: latest,
		Resumable: w.class.resumable, Preemptions: w.preemptions,
	}))
}

func (s *simulation) apply(i *instance, actions []tiers.Action) {
	for _, a := range actions {
		w := i.dispatched[a.ID]
		switch a.Kind {
		case tiers.Dispatch:
			s.sendToTargets(w)
		case tiers.Refuse:
			s.end(w, false, a.RetryAfter)
		case tiers.Preempt:
			s.preempt(w)
		}
	}
}

// send hands work to the targets, which run the most urgent first.
func (s *simulation) sendToTargets(w *request) {
	w.sentAt = s.now
	rank := w.class.rank
	if s.ignorePriority {
		rank = 0
	}
	s.targetQueues[rank] = append(s.targetQueues[rank], w)
	queued := 0
	for r := range s.targetQueues {
		queued += len(s.targetQueues[r])
	}
	s.peakLoad = max(s.peakLoad, s.busySlots+queued)
	s.startQueued()
}

func (s *simulation) startQueued() {
	for r := 0; r < len(s.targetQueues); {
		if len(s.targetQueues[r]) == 0 {
			r++
			continue
		}
		w := s.targetQueues[r][0]
		if !w.ended && s.busySlots >= s.slots {
			return
		}
		s.targetQueues[r] = s.targetQueues[r][1:]
		if !w.ended {
			s.busySlots++
			w.running, w.startedAt = true, s.now
			w.finishEvent = s.schedule(s.now.Add(w.remaining), func() { s.finish(w) })
		}
	}
}

func (s *simulation) finish(w *request) {
	s.freeSlot(w)
	w.instance.times.Observe(s.now, s.stageKey(w.class), w.class.serviceTime, s.now.Sub(w.sentAt))
	s.end(w, true, 0)
	s.apply(w.instance, w.instance.gate.Finished(s.now, w.id))
	s.startQueued()
}

// stop takes running work off its slot.
func (s *simulation) freeSlot(w *request) {
	if w.running {
		s.busySlots--
		w.running = false
		w.finishEvent.cancelled = true
	}
}

// expire ends work at its deadline: the instance cancels it at the target.
func (s *simulation) expire(w *request) {
	if w.ended {
		return
	}
	s.freeSlot(w)
	if !w.sentAt.IsZero() {
		w.instance.times.Observe(s.now, s.stageKey(w.class), w.class.serviceTime, s.now.Sub(w.sentAt))
	}
	s.end(w, false, 0)
	s.apply(w.instance, w.instance.gate.Abandon(s.now, w.id))
	s.apply(w.instance, w.instance.gate.Finished(s.now, w.id))
	s.startQueued()
}

// rereadPrompt is what a resumed generation pays again.
const resumeCost = 100 * time.Millisecond

func (s *simulation) preempt(w *request) {
	s.preemptions++
	if w.running {
		w.remaining -= s.now.Sub(w.startedAt)
		s.freeSlot(w)
	} else {
		s.targetQueues[w.class.rank] = without(s.targetQueues[w.class.rank], w)
	}
	w.remaining += resumeCost
	w.preemptions++
	old := w.id
	s.lastID++
	w.id = s.lastID
	delete(w.instance.dispatched, old)
	s.schedule(s.now, func() {
		s.apply(w.instance, w.instance.gate.Finished(s.now, old))
		if !w.ended {
			s.enqueue(w, w.due.Add(-w.remaining))
		}
		s.startQueued()
	})
}

func without(list []*request, w *request) []*request {
	var out []*request
	for _, x := range list {
		if x != w {
			out = append(out, x)
		}
	}
	return out
}

func (s *simulation) end(w *request, answered bool, retryAfter time.Duration) {
	if w.ended {
		return
	}
	w.ended = true
	if w.probe {
		w.instance.admission[w.class.rank].ProbeEnded(answered)
	}
	delete(w.instance.dispatched, w.id)
	if s.onEnd != nil {
		s.onEnd(w, answered)
	}
	if answered || w.retries == 0 {
		return
	}
	if w.class.ignoresRetryAfter {
		retryAfter = 0
	}
	again := &request{class: w.class, retries: w.retries - 1}
	s.schedule(s.now.Add(retryAfter), func() { s.submit(again) })
}

type event struct {
	at        time.Time
	sequence  uint64
	run       func()
	cancelled bool
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
