package experiment

import (
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// answer is what a target replies.
type response struct {
	outcome routing.Outcome
	// units is the idle time of the work done, as its size tells it: known
	// from the tokens that the answer counts.
	idleTime time.Duration
}

// job is one attempt at a target.
type job struct {
	request *Request
	stage   int
	reply   func(response)

	state           jobState
	started         time.Duration
	workTime        time.Duration // worked, once ended
	prefillTokens   int           // tokens read because no cache held them
	avoidableTokens int           // of these, tokens that another engine had cached
	idleTime        time.Duration
}

type jobState uint8

const (
	jobQueued jobState = iota
	jobRunning
	jobEnded
)

// target is the fake of a target: slots, a queue by priority and, for engines,
// a prefix cache.
type target struct {
	clock *clock
	spec  routing.Target
	stage *StageShape
	cache *prefixCache

	active  int
	queued  int
	queues  [][]*job // by rank
	running []*job
	// elsewhere tells whether another engine holds a part.
	cachedElsewhere func(part string) bool
	history         loadHistory

	slowness float64 // 1 is usual
	failing  bool
	down     bool
}

const (
	failFastDelay = 5 * time.Millisecond
	// silenceNoticed is how long it takes to call a silent connection dead.
	heartbeatTimeout = 500 * time.Millisecond
	// connectTimeout is how long it takes to call a target unreachable.
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

// submit takes a job at the moment it arrives.
func (t *target) submit(j *job) {
	if t.failing {
		t.clock.after(failFastDelay, func() { t.respond(j, routing.OutcomeFailed) })
		return
	}
	// The call names how long its answer is of use; the target stops then.
	t.clock.at(j.request.Deadline, func() { t.cancel(j, routing.OutcomeDeadlineMissed) })
	if t.active < t.spec.Slots {
		t.start(j)
		return
	}
	t.queued++
	queue := t.queueOf(j)
	t.queues[queue] = append(t.queues[queue], j)
}

// queueOf returns the queue of a job: engines serve by priority, services in
// the order of arrival.
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

// work returns the idle time of a job and reads its prompt into the cache.
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

// cancel stops a job, whether it waits or runs.
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

// lose stops the target as a lost power supply does: nothing is answered.
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

// lost ends a job without an answer: the caller notices by missing heartbeats.
func (t *target) dropJob(j *job) {
	if j.state == jobEnded {
		return
	}
	j.state = jobEnded
	t.clock.after(heartbeatTimeout, func() { j.reply(response{outcome: routing.OutcomeFailed}) })
}

// loadHistory remembers the load of the last seconds for late reports.
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

// report returns the load as it was some time ago.
func (t *target) report(age time.Duration) (loadSample, bool) {
	back := 1 + int(age/loadSampleInterval)
	if back > len(t.history.samples) || back > t.history.next {
		return loadSample{}, false
	}
	return t.history.samples[(t.history.next-back)%len(t.history.samples)], true
}
