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
	busy      int
	// waiting holds what the targets queue, by the priority passed to them.
	waiting  [tiers.MaxRanks][]*work
	peak     int
	lastID   uint64
	observed func(*work, bool)
	preempts int
}

type options struct {
	instances, slots   int
	digestEvery        time.Duration
	digestDelay        time.Duration
	gate               tiers.Config
	ungated, unchecked bool
	deaf               bool
	ignorePriority     bool
}

// class is one stream of requests.
type class struct {
	rank      int
	rate      float64
	from, to  time.Duration
	service   time.Duration
	spread    float64
	deadline  time.Duration
	resumable bool
	// skew is the share of the requests that the first instance gets beyond
	// its even part.
	skew float64
	// retries is how often a caller comes back after a refusal or a late
	// answer; one that heeds no Retry-After comes back at once.
	retries int
	hasty   bool
}

type instance struct {
	gate       *tiers.Gate
	peers      *tiers.PeerDigests
	admission  map[int]*admission.Controller
	times      *deadline.Times
	dispatched map[uint64]*work
}

type work struct {
	class        *class
	id           uint64
	at           *instance
	began, due   time.Time
	sent         time.Time
	left         time.Duration
	started      time.Time
	running      bool
	over         bool
	probe        bool
	preemptions  int
	retries      int
	cancelFinish *event
}

var epoch = time.Unix(1_000_000, 0)

func newSimulation(seed uint64, o options) *simulation {
	s := &simulation{options: o, now: epoch, rng: rand.New(rand.NewPCG(seed, 1))}
	for range o.instances {
		i := &instance{
			gate:       tiers.NewGate(o.gate, o.slots),
			peers:      tiers.NewPeerDigests(time.Minute),
			admission:  map[int]*admission.Controller{},
			times:      deadline.NewTimes(deadline.Config{}),
			dispatched: map[uint64]*work{},
		}
		s.instances = append(s.instances, i)
	}
	s.exchange()
	return s
}

func (s *simulation) at(t time.Time, do func()) *event {
	s.lastID++
	e := &event{at: t, seq: s.lastID, do: do}
	heap.Push(&s.events, e)
	return e
}

func (s *simulation) run(until time.Duration) {
	end := epoch.Add(until)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(*event)
		s.now = e.at
		if !e.cancelled {
			e.do()
		}
	}
}

// exchange sends every instance's digest to the others, and ticks the gates.
func (s *simulation) exchange() {
	for n, from := range s.instances {
		d := from.gate.Digest(s.now)
		name := string(rune('a' + n))
		for _, to := range s.instances {
			if to != from && !s.deaf {
				s.at(s.now.Add(s.digestDelay), func() {
					to.peers.Add(s.now, name, d)
				})
			}
		}
		s.apply(from, from.gate.SetPeers(s.now, from.peers.Load(s.now, len(s.instances))))
	}
	s.at(s.now.Add(s.digestEvery), s.exchange)
}

func (s *simulation) offer(c class) {
	var next func()
	next = func() {
		if s.now.Sub(epoch) >= c.to {
			return
		}
		s.submit(&work{class: &c, retries: c.retries})
		s.at(s.now.Add(s.exponential(c.rate)), next)
	}
	s.at(epoch.Add(c.from), next)
}

func (s *simulation) exponential(rate float64) time.Duration {
	return time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
}

func (s *simulation) serviceTime(c *class) time.Duration {
	factor := math.Exp(c.spread*s.rng.NormFloat64() - c.spread*c.spread/2)
	return time.Duration(float64(c.service) * factor)
}

var stageName = deadline.StageKey{Pipeline: catalog.PipelineKey{Name: "p"}, Stage: "s"}

func (s *simulation) submit(w *work) {
	c := w.class
	s.lastID++
	w.id, w.began, w.due = s.lastID, s.now, s.now.Add(c.deadline)
	w.left = s.serviceTime(c)
	w.at = s.instances[s.rng.IntN(len(s.instances))]
	if s.rng.Float64() < c.skew {
		w.at = s.instances[0]
	}
	s.at(w.due, func() { s.expire(w) })
	latest := w.due
	if !s.unchecked {
		d := s.decide(w)
		if !d.Admit {
			s.end(w, false, d.RetryAfter)
			return
		}
		latest, w.probe = d.LatestStart, d.Probe
	}
	s.enqueue(w, latest)
}

func (s *simulation) decide(w *work) admission.Decision {
	c := w.class
	control := w.at.admission[c.rank]
	if control == nil {
		control = admission.New(admission.Config{})
		w.at.admission[c.rank] = control
	}
	p50, p95 := w.at.times.Estimate(s.key(c), c.service)
	stage := deadline.Remaining{P50: p50, P95: p95, Wait: w.at.gate.EstimatedWait(s.now, c.rank)}
	return control.Decide(s.now, w.due, []deadline.Remaining{stage}, s.rng)
}

func (s *simulation) key(c *class) deadline.StageKey {
	k := stageName
	k.Size = uint8(c.rank)
	return k
}

func (s *simulation) enqueue(w *work, latest time.Time) {
	w.at.dispatched[w.id] = w
	if s.ungated {
		s.send(w)
		return
	}
	s.apply(w.at, w.at.gate.Enqueue(s.now, tiers.Item{
		ID: w.id, Rank: w.class.rank, LatestStart: latest,
		Resumable: w.class.resumable, Preemptions: w.preemptions,
	}))
}

func (s *simulation) apply(i *instance, actions []tiers.Action) {
	for _, a := range actions {
		w := i.dispatched[a.ID]
		switch a.Kind {
		case tiers.Dispatch:
			s.send(w)
		case tiers.Refuse:
			s.end(w, false, a.RetryAfter)
		case tiers.Preempt:
			s.preempt(w)
		}
	}
}

// send hands work to the targets, which run the most urgent first.
func (s *simulation) send(w *work) {
	w.sent = s.now
	rank := w.class.rank
	if s.ignorePriority {
		rank = 0
	}
	s.waiting[rank] = append(s.waiting[rank], w)
	queued := 0
	for r := range s.waiting {
		queued += len(s.waiting[r])
	}
	s.peak = max(s.peak, s.busy+queued)
	s.serve()
}

func (s *simulation) serve() {
	for r := 0; r < len(s.waiting); {
		if len(s.waiting[r]) == 0 {
			r++
			continue
		}
		w := s.waiting[r][0]
		if !w.over && s.busy >= s.slots {
			return
		}
		s.waiting[r] = s.waiting[r][1:]
		if !w.over {
			s.busy++
			w.running, w.started = true, s.now
			w.cancelFinish = s.at(s.now.Add(w.left), func() { s.finish(w) })
		}
	}
}

func (s *simulation) finish(w *work) {
	s.stop(w)
	w.at.times.Observe(s.now, s.key(w.class), w.class.service, s.now.Sub(w.sent))
	s.end(w, true, 0)
	s.apply(w.at, w.at.gate.Finished(s.now, w.id))
	s.serve()
}

// stop takes running work off its slot.
func (s *simulation) stop(w *work) {
	if w.running {
		s.busy--
		w.running = false
		w.cancelFinish.cancelled = true
	}
}

// expire ends work at its deadline: the instance cancels it at the target.
func (s *simulation) expire(w *work) {
	if w.over {
		return
	}
	s.stop(w)
	if !w.sent.IsZero() {
		w.at.times.Observe(s.now, s.key(w.class), w.class.service, s.now.Sub(w.sent))
	}
	s.end(w, false, 0)
	s.apply(w.at, w.at.gate.Abandon(s.now, w.id))
	s.apply(w.at, w.at.gate.Finished(s.now, w.id))
	s.serve()
}

// rereadPrompt is what a resumed generation pays again.
const rereadPrompt = 100 * time.Millisecond

func (s *simulation) preempt(w *work) {
	s.preempts++
	if w.running {
		w.left -= s.now.Sub(w.started)
		s.stop(w)
	} else {
		s.waiting[w.class.rank] = without(s.waiting[w.class.rank], w)
	}
	w.left += rereadPrompt
	w.preemptions++
	old := w.id
	s.lastID++
	w.id = s.lastID
	delete(w.at.dispatched, old)
	s.at(s.now, func() {
		s.apply(w.at, w.at.gate.Finished(s.now, old))
		if !w.over {
			s.enqueue(w, w.due.Add(-w.left))
		}
		s.serve()
	})
}

func without(list []*work, w *work) []*work {
	var out []*work
	for _, x := range list {
		if x != w {
			out = append(out, x)
		}
	}
	return out
}

func (s *simulation) end(w *work, answered bool, retryAfter time.Duration) {
	if w.over {
		return
	}
	w.over = true
	if w.probe {
		w.at.admission[w.class.rank].Probed(answered)
	}
	delete(w.at.dispatched, w.id)
	if s.observed != nil {
		s.observed(w, answered)
	}
	if answered || w.retries == 0 {
		return
	}
	if w.class.hasty {
		retryAfter = 0
	}
	again := &work{class: w.class, retries: w.retries - 1}
	s.at(s.now.Add(retryAfter), func() { s.submit(again) })
}

type event struct {
	at        time.Time
	seq       uint64
	do        func()
	cancelled bool
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
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
