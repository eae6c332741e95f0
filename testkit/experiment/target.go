package experiment

import (
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// response is the response of a target to an attempt.
type response struct {
	outcome routing.Outcome
	// idleTime is the time that the work would take on an idle target. A real
	// instance derives it from the token counts in the response.
	idleTime time.Duration
}

// job is one attempt as the target runs it.
type job struct {
	request *Request
	stage   int
	reply   func(response)

	state           jobState
	started         time.Duration
	workTime        time.Duration // time spent running, set at the end
	prefillTokens   int           // tokens that were not in the target's cache
	avoidableTokens int           // of these, tokens that another engine had cached
	idleTime        time.Duration
}

type jobState uint8

const (
	jobQueued jobState = iota
	jobRunning
	jobEnded
)

// target models a target with slots, queues by rank and, for engines, a prefix
// cache.
type target struct {
	clock *clock
	spec  routing.Target
	stage *StageShape
	cache *prefixCache

	active  int
	queued  int
	queues  [][]*job // by rank
	running []*job
	// cachedElsewhere returns whether any engine has a prompt part cached.
	cachedElsewhere func(part string) bool
	history         loadHistory

	slowness float64 // factor of the processing time, normally 1
	failing  bool
	down     bool
}

const (
	failFastDelay = 5 * time.Millisecond
	// heartbeatTimeout is the time after which a silent connection counts as
	// failed.
	heartbeatTimeout = 500 * time.Millisecond
	// connectTimeout is the time after which a target counts as unreachable.
	connectTimeout = 300 * time.Millisecond
)

func newTarget(c *clock, spec routing.Target, stage *StageShape, ranks int) *target {
	t := &target{clock: c, spec: spec, stage: stage, slowness: 1}
	t.queues = make([][]*job, ranks)
	if stage.Kind == catalog.KindEngine {
		t.cache = newPrefixCache(cacheTokens)
	}
	return t
}

// submit starts or queues a job when it arrives.
func (t *target) submit(j *job) {
	if t.failing {
		t.clock.after(failFastDelay, func() { t.respond(j, routing.OutcomeFailed) })
		return
	}
	// The call carries the deadline; the target cancels the job then.
	t.clock.at(j.request.Deadline, func() { t.cancel(j, routing.OutcomeDeadlineMissed) })
	if t.active < t.spec.Slots {
		t.start(j)
		return
	}
	t.queued++
	queue := t.queueOf(j)
	t.queues[queue] = append(t.queues[queue], j)
}

// queueOf returns the index of a job's queue: engines serve by priority, other
// targets in the order of arrival.
func (t *target) queueOf(j *job) int {
	if t.stage.Kind == catalog.KindEngine {
		return j.request.Tier
	}
	return 0
}

func (t *target) start(j *job) {
	t.active++
	t.running = append(t.running, j)
	j.state = jobRunning
	j.started = t.clock.now
	j.idleTime = t.computeIdleTime(j)
	batch := 1 + batchSlowdown*float64(t.active)/float64(t.spec.Slots)
	length := time.Duration(float64(j.idleTime) * t.slowness * batch)
	t.clock.after(length, func() { t.finish(j) })
}

// computeIdleTime returns the time that a job takes on an idle target. For an
// engine it also reads the prompt into the cache.
func (t *target) computeIdleTime(j *job) time.Duration {
	if t.cache == nil {
		return time.Duration(j.request.Work[j.stage] * float64(t.stage.MeanTime))
	}
	for _, part := range j.request.Prefix {
		if !t.cache.has(part.ID) && t.cachedElsewhere(part.ID) {
			j.avoidableTokens += part.Tokens
		}
	}
	j.prefillTokens = tailTokens + t.cache.read(j.request.Prefix)
	return time.Duration(j.prefillTokens)*prefillTime + time.Duration(j.request.OutputTokens)*decodeTime
}

func (t *target) finish(j *job) {
	if j.state != jobRunning {
		return
	}
	t.release(j)
	t.respond(j, routing.OutcomeOK)
	t.startQueued()
}

func (t *target) release(j *job) {
	t.active--
	i := slices.Index(t.running, j)
	t.running = slices.Delete(t.running, i, i+1)
	j.workTime = t.clock.now - j.started
}

func (t *target) respond(j *job, outcome routing.Outcome) {
	if j.state == jobEnded {
		return
	}
	j.state = jobEnded
	j.reply(response{outcome, j.idleTime})
}

// cancel stops a queued or running job.
func (t *target) cancel(j *job, outcome routing.Outcome) {
	switch j.state {
	case jobQueued:
		t.queued--
		t.respond(j, outcome)
	case jobRunning:
		t.release(j)
		t.respond(j, outcome)
		t.startQueued()
	case jobEnded:
	}
}

func (t *target) startQueued() {
	for t.active < t.spec.Slots {
		j := t.dequeue()
		if j == nil {
			return
		}
		t.queued--
		t.start(j)
	}
}

func (t *target) dequeue() *job {
	for rank := range t.queues {
		for len(t.queues[rank]) > 0 {
			j := t.queues[rank][0]
			t.queues[rank] = t.queues[rank][1:]
			if j.state == jobQueued {
				return j
			}
		}
	}
	return nil
}

// crash stops the target like a power failure: its jobs get no response.
func (t *target) crash() {
	t.down = true
	for _, j := range slices.Clone(t.running) {
		t.release(j)
		t.dropJob(j)
	}
	for rank := range t.queues {
		for _, j := range t.queues[rank] {
			t.dropJob(j)
		}
		t.queues[rank] = nil
	}
	t.queued = 0
	if t.cache != nil {
		t.cache.clear()
	}
}

// dropJob ends a job without a response. The instance detects the failure by
// missing heartbeats.
func (t *target) dropJob(j *job) {
	if j.state == jobEnded {
		return
	}
	j.state = jobEnded
	t.clock.after(heartbeatTimeout, func() { j.reply(response{outcome: routing.OutcomeFailed}) })
}

// loadHistory is a ring buffer of the target's recent load, for delayed reports.
type loadHistory struct {
	samples [64]loadSample
	next    int
}

type loadSample struct {
	at             time.Duration
	active, queued int
}

const loadSampleInterval = 50 * time.Millisecond

func (t *target) sampleLoad() {
	t.history.samples[t.history.next%len(t.history.samples)] = loadSample{t.clock.now, t.active, t.queued}
	t.history.next++
}

// report returns the load as it was the given time ago, and false if the
// history doesn't go back that far.
func (t *target) report(age time.Duration) (loadSample, bool) {
	back := 1 + int(age/loadSampleInterval)
	if back > len(t.history.samples) || back > t.history.next {
		return loadSample{}, false
	}
	return t.history.samples[(t.history.next-back)%len(t.history.samples)], true
}
