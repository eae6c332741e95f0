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

// simulation runs the gates and the admission of several instances in front of one pool of
// shared slots, in virtual time, with open-loop arrivals, delayed digests, requests that
// are cancelled at their deadline, and callers that retry.
type simulation struct {
	options
	now       time.Time
	rng       *rand.Rand
	events    eventHeap
	instances []*instance
	busySlots int
	// targetQueues holds the requests queued at the targets, by the priority passed to them.
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
	// skew is the share of the requests that the first instance gets on top of its even
	// share.
	skew float64
	// retries is how often a caller retries after a refusal or a missed deadline.
	retries int
	// ignoresRetryAfter makes callers retry at once.
	ignoresRetryAfter bool
}

type instance struct {
	gate       *tiers.Gate
	peers      *tiers.PeerDigests
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
			peers:      tiers.NewPeerDigests(time.Minute),
			admission:  map[int]*admission.Controller{},
			times:      deadline.NewTimes(deadline.Config{}),
			dispatched: map[uint64]*request{},
		}
		s.instances = append(s.instances, i)
	}
	s.exchange()
	return s
}

func (s *simulation) schedule(t time.Time, run func()) *event {
	s.lastID++
	e := &event{at: t, sequence: s.lastID, run: run}
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

// exchange sends every instance's digest to the others and updates the gates.
func (s *simulation) exchange() {
	for n, from := range s.instances {
		d := from.gate.Digest(s.now)
		name := string(rune('a' + n))
		for _, to := range s.instances {
			if to != from && !s.ignoreDigests {
				s.schedule(s.now.Add(s.digestDelay), func() {
					to.peers.Add(s.now, name, d)
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

func (s *simulation) submit(req *request) {
	c := req.class
	s.lastID++
	req.id, req.arrived, req.due = s.lastID, s.now, s.now.Add(c.deadline)
	req.remaining = s.serviceTime(c)
	req.instance = s.instances[s.rng.IntN(len(s.instances))]
	if s.rng.Float64() < c.skew {
		req.instance = s.instances[0]
	}
	s.schedule(req.due, func() { s.expire(req) })
	latest := req.due
	if !s.noAdmission {
		d := s.decide(req)
		if !d.Admit {
			s.end(req, false, d.RetryAfter)
			return
		}
		latest, req.probe = d.LatestStart, d.Probe
	}
	s.enqueue(req, latest)
}

func (s *simulation) decide(req *request) admission.Decision {
	c := req.class
	controller := req.instance.admission[c.rank]
	if controller == nil {
		controller = admission.New(admission.Config{})
		req.instance.admission[c.rank] = controller
	}
	p50, p95 := req.instance.times.Estimate(s.stageKey(c), c.serviceTime)
	stage := deadline.RemainingStage{P50: p50, P95: p95, Wait: req.instance.gate.EstimatedWait(s.now, c.rank)}
	return controller.Decide(s.now, req.due, []deadline.RemainingStage{stage}, s.rng)
}

func (s *simulation) stageKey(c *class) deadline.StageKey {
	k := simulatedStage
	k.Size = uint8(c.rank)
	return k
}

func (s *simulation) enqueue(req *request, latest time.Time) {
	req.instance.dispatched[req.id] = req
	if s.noGate {
		s.sendToTargets(req)
		return
	}
	s.apply(req.instance, req.instance.gate.Enqueue(s.now, tiers.Item{
		ID: req.id, Rank: req.class.rank, LatestStart: latest,
		Resumable: req.class.resumable, Preemptions: req.preemptions,
	}))
}

func (s *simulation) apply(i *instance, actions []tiers.Action) {
	for _, a := range actions {
		req := i.dispatched[a.ID]
		switch a.Kind {
		case tiers.Dispatch:
			s.sendToTargets(req)
		case tiers.Refuse:
			s.end(req, false, a.RetryAfter)
		case tiers.Preempt:
			s.preempt(req)
		}
	}
}

// sendToTargets sends a request to the targets, which run the most urgent first.
func (s *simulation) sendToTargets(req *request) {
	req.sentAt = s.now
	rank := req.class.rank
	if s.ignorePriority {
		rank = 0
	}
	s.targetQueues[rank] = append(s.targetQueues[rank], req)
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
		req := s.targetQueues[r][0]
		if !req.ended && s.busySlots >= s.slots {
			return
		}
		s.targetQueues[r] = s.targetQueues[r][1:]
		if !req.ended {
			s.busySlots++
			req.running, req.startedAt = true, s.now
			req.finishEvent = s.schedule(s.now.Add(req.remaining), func() { s.finish(req) })
		}
	}
}

func (s *simulation) finish(req *request) {
	s.freeSlot(req)
	req.instance.times.Observe(s.now, s.stageKey(req.class), req.class.serviceTime, s.now.Sub(req.sentAt))
	s.end(req, true, 0)
	s.apply(req.instance, req.instance.gate.Finished(s.now, req.id))
	s.startQueued()
}

// freeSlot frees the slot of a running request.
func (s *simulation) freeSlot(req *request) {
	if req.running {
		s.busySlots--
		req.running = false
		req.finishEvent.cancelled = true
	}
}

// expire ends a request at its deadline: the instance cancels it at the target.
func (s *simulation) expire(req *request) {
	if req.ended {
		return
	}
	s.freeSlot(req)
	if !req.sentAt.IsZero() {
		req.instance.times.Observe(s.now, s.stageKey(req.class), req.class.serviceTime, s.now.Sub(req.sentAt))
	}
	s.end(req, false, 0)
	s.apply(req.instance, req.instance.gate.Abandon(s.now, req.id))
	s.apply(req.instance, req.instance.gate.Finished(s.now, req.id))
	s.startQueued()
}

// resumeCost is the time to read the prompt again when a generation is resumed.
const resumeCost = 100 * time.Millisecond

func (s *simulation) preempt(req *request) {
	s.preemptions++
	if req.running {
		req.remaining -= s.now.Sub(req.startedAt)
		s.freeSlot(req)
	} else {
		s.targetQueues[req.class.rank] = without(s.targetQueues[req.class.rank], req)
	}
	req.remaining += resumeCost
	req.preemptions++
	old := req.id
	s.lastID++
	req.id = s.lastID
	delete(req.instance.dispatched, old)
	s.schedule(s.now, func() {
		s.apply(req.instance, req.instance.gate.Finished(s.now, old))
		if !req.ended {
			s.enqueue(req, req.due.Add(-req.remaining))
		}
		s.startQueued()
	})
}

func without(list []*request, req *request) []*request {
	var out []*request
	for _, x := range list {
		if x != req {
			out = append(out, x)
		}
	}
	return out
}

func (s *simulation) end(req *request, answered bool, retryAfter time.Duration) {
	if req.ended {
		return
	}
	req.ended = true
	if req.probe {
		req.instance.admission[req.class.rank].ProbeEnded(answered)
	}
	delete(req.instance.dispatched, req.id)
	if s.onEnd != nil {
		s.onEnd(req, answered)
	}
	if answered || req.retries == 0 {
		return
	}
	if req.class.ignoresRetryAfter {
		retryAfter = 0
	}
	retry := &request{class: req.class, retries: req.retries - 1}
	s.schedule(s.now.Add(retryAfter), func() { s.submit(retry) })
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
