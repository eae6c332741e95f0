package gather

import (
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/pacing"
)

// Config holds the limits of a Planner. Zero values select the defaults.
type Config struct {
	// LocalityWait is how long pieces wait for a target near their inputs before they go to
	// one in another data centre.
	LocalityWait time.Duration
	// MaxRequests bounds the requests that the planner holds.
	MaxRequests int
	// AccountSharing shares scarce capacity between client accounts. AccountWeights has the
	// weights that aren't 1, by account.
	AccountSharing bool
	AccountWeights map[string]float64
	// RetryReservations reserves capacity for callers that are told when to retry.
	RetryReservations bool
	// ResultFlowControl releases work into a stage by the capacity of the stages after it.
	ResultFlowControl bool
}

// Defaults of Config.
const (
	// DefaultLocalityWait is about the time until the next target of a data centre is free.
	DefaultLocalityWait = 500 * time.Millisecond
	// DefaultMaxRequests is several seconds of the load of a fleet of a thousand instances.
	DefaultMaxRequests = 1 << 14
)

// maxResends bounds the calls that carry pieces of one stage again.
const maxResends = 4

// resultExpiryMargin is subtracted from the time that results are kept: a result must still
// exist when its reader's call has its turn.
const resultExpiryMargin = 300 * time.Millisecond

// Planner holds the requests that use a group of targets and batches their pieces into
// calls.
type Planner struct {
	config   Config
	services map[string]*service
	requests map[string]*heldRequest
	calls    map[uint64]*call
	nextCall uint64
	// freeing has the results that their targets have been asked to free, by handle.
	freeing     map[string]pendingFree
	attainments attainments
	// capacityShortAt is when a result last didn't fit at any target.
	capacityShortAt time.Time
	actions         []Action
	// limits are the paces of the targets that name a limit, by incarnation.
	limits map[string]pacing.Pace
	// reservations has the returns of refused requests that are expected.
	reservations retryReservations
	// scheduled has, by ID, how the requests of the next import are scheduled.
	scheduled map[string]ScheduledRequest
	// importing suppresses calls until all imported requests are queued.
	importing bool
}

// pendingFree is a result whose capacity is about to be freed.
type pendingFree struct {
	target *target
	bytes  int64
}

// call is a call in progress.
type call struct {
	id               uint64
	target           *target
	pieces           []pieceRef
	bytes            int64
	startedAt        time.Time
	expectedDuration time.Duration
	// overdueAt is when the pieces are queued for another target as well; hedged is true
	// once that has happened.
	overdueAt time.Time
	hedged    bool
	// timeoutAt is when the call counts as unanswered.
	timeoutAt time.Time
	// inputsReadAt is when the call is expected to have read its inputs; inputsFreed is true
	// once they have been freed.
	inputsReadAt time.Time
	inputsFreed  bool
}

type pieceRef struct {
	stage *heldStage
	index int
}

// New returns a planner without services.
func New(c Config) *Planner {
	if c.LocalityWait <= 0 {
		c.LocalityWait = DefaultLocalityWait
	}
	if c.MaxRequests <= 0 {
		c.MaxRequests = DefaultMaxRequests
	}
	return &Planner{
		config:      c,
		services:    map[string]*service{},
		requests:    map[string]*heldRequest{},
		calls:       map[uint64]*call{},
		freeing:     map[string]pendingFree{},
		attainments: newAttainments(),
	}
}

// SetService sets the configuration of a service.
func (p *Planner) SetService(name string, config ServiceConfig) {
	p.service(name).config = config
}

func (p *Planner) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{name: name, targets: map[string]*target{}, times: newCallTimes(), backlog: newBacklog(), reserved: newBacklog(), arrivalRates: map[float64]*rate{}, shares: newShares(&p.config)}
		p.services[name] = s
	}
	return s
}

// SetTargets sets the targets of a service that may get calls. Calls in progress at a
// target that is missing from the list continue.
func (p *Planner) SetTargets(now time.Time, name string, list []Target) []Action {
	s := p.service(name)
	kept := make(map[string]bool, len(list))
	var added []Target
	for _, t := range list {
		kept[t.Incarnation] = true
		if known := s.targets[t.Incarnation]; known != nil {
			if known.unlisted {
				// The target may be known only from an imported queue, with its restart
				// still to be handled.
				added = append(added, t)
			}
			known.unlisted = false
			continue
		}
		s.targets[t.Incarnation] = &target{Target: t, service: s, slowness: 1, limit: p.limits[t.Incarnation]}
		added = append(added, t)
	}
	for id, t := range s.targets {
		if !kept[id] {
			t.unlisted = true
			if t.calls == 0 {
				delete(s.targets, id)
			}
		}
	}
	p.handleRestarts(now, added)
	p.dispatch(now, s)
	return p.flush()
}

// SetLimits replaces the paces of the targets that name a limit, by incarnation.
func (p *Planner) SetLimits(now time.Time, limits map[string]pacing.Pace) []Action {
	p.PrepareLimits(limits)
	for _, s := range p.services {
		p.dispatch(now, s)
	}
	return p.flush()
}

// ForgetFailures forgets the unanswered and slow calls of a service's targets: the path to them was
// lost, so that the calls show nothing about the targets.
func (p *Planner) ForgetFailures(now time.Time, name string) []Action {
	s := p.services[name]
	if s == nil {
		return nil
	}
	for _, t := range s.targets {
		t.unansweredCalls, t.unsuccessfulCalls, t.downUntil = 0, 0, time.Time{}
		t.slowness = min(t.slowness, slowThreshold)
	}
	p.dispatch(now, s)
	return p.flush()
}

// PrepareLimits is SetLimits without new calls.
func (p *Planner) PrepareLimits(limits map[string]pacing.Pace) {
	p.limits = limits
	for _, s := range p.services {
		for incarnation, t := range s.targets {
			t.limit = limits[incarnation]
		}
	}
}

// RequestCount returns the number of requests that wait or have results here.
func (p *Planner) RequestCount() int { return len(p.requests) }

// CallCount returns the number of calls in progress.
func (p *Planner) CallCount() int { return len(p.calls) }

// Submit admits a request or refuses it at once. A request without stages only has its engine
// chosen: it has been counted with its stages before, and completes at once.
func (p *Planner) Submit(now time.Time, r Request) []Action {
	if old := p.requests[r.ID]; old != nil {
		p.drop(old)
	}
	if refusal := p.refuseExcess(&r); refusal != nil {
		p.actions = append(p.actions, *refusal)
		return p.flush()
	}
	req := p.newHeldRequest(r)
	if refusal := p.judge(now, req); refusal != nil {
		p.actions = append(p.actions, *refusal)
		return p.flush()
	}
	p.setYieldingKeys(now, req)
	p.countTimely(now, req)
	p.requests[r.ID], req.held = req, true
	for _, st := range req.stages {
		if st.Pieces > 0 {
			st.service.countArrival(now, req.baseRank(), st.Pieces)
		}
	}
	p.advance(now, req)
	return p.flush()
}

// refuseExcess refuses a request that exceeds the bounds of the planner. It returns nil for others.
func (p *Planner) refuseExcess(r *Request) *Refused {
	if len(p.requests) < p.config.MaxRequests && len(r.Stages) <= maxStages {
		return nil
	}
	return &Refused{Request: r.ID, Account: r.Account, Reason: ReasonTooManyRequests, RetryAfter: minRetryAfter}
}

// judge decides about a new request. It returns nil for a request that is admitted.
func (p *Planner) judge(now time.Time, req *heldRequest) *Refused {
	req.admittedAt = now
	req.latestStart = req.Objective.Add(-p.minRemaining(req))
	req.boosted = p.attainments.underserved(now, &req.Request)
	if len(req.Stages) > 0 {
		p.attainments.countSubmitted(now, &req.Request)
	}
	p.recognizeRetry(now, req)
	p.countDemand(now, req)
	p.setKeys(now, req)
	refusal := p.admit(now, req)
	if refusal != nil {
		refusal.Account = req.Account
	}
	return refusal
}

// IDInUse reports whether the planner holds a different request with the same id. A request
// that is submitted again, during a handover of the queue or for a second attempt, is the
// same.
func (p *Planner) IDInUse(r Request) bool {
	req := p.requests[r.ID]
	return req != nil && !(req.Route == r.Route && req.Key == r.Key && slices.Equal(req.Request.pieces(), r.pieces()))
}

// Drop removes a request whose caller left or whose results have been read, and frees the
// results it still holds.
func (p *Planner) Drop(_ time.Time, id string) []Action {
	if req := p.requests[id]; req != nil {
		p.drop(req)
	}
	return p.flush()
}

func (p *Planner) drop(req *heldRequest) {
	delete(p.requests, req.ID)
	req.leaveBacklog()
	for _, s := range req.stages {
		p.dequeue(s)
		for _, r := range s.results {
			p.free(r)
		}
	}
}

// Tick drops expired results, refuses requests that can't meet their deadlines, hedges
// overdue calls and retries targets.
func (p *Planner) Tick(now time.Time) []Action {
	p.expireReservations(now)
	for _, req := range p.requests {
		p.expireResults(now, req)
		if !req.completed {
			p.updateBacklog(now, req)
			p.enforceDeadline(now, req)
		} else if now.After(req.Deadline) {
			// The requester failed, or its report was lost.
			p.drop(req)
		}
	}
	p.hedgeOverdueCalls(now)
	p.freeReadInputs(now)
	for _, s := range p.services {
		s.grants.Prune(now)
		s.expireShares(now)
		for _, t := range s.targets {
			t.expireReservations(now)
		}
		p.dispatch(now, s)
	}
	return p.flush()
}

// expireResults drops results that their targets no longer keep, and queues pieces again if
// their results are still needed.
func (p *Planner) expireResults(now time.Time, req *heldRequest) {
	if p.dropResults(req, func(r *result) bool { return !now.Before(r.expiresAt) }) {
		p.advance(now, req)
	}
}

// rerunPiece queues a piece again because its result is missing. Stages that read the result
// wait until it exists again: a piece that is sent with only some of its inputs would get the
// result of another request's work, or none.
func (p *Planner) rerunPiece(s *heldStage, index int) {
	s.results[index] = nil
	s.produced--
	s.pending = append(s.pending, index)
	s.readySince = time.Time{}
	for _, reader := range s.request.stages {
		if slices.Contains(reader.After, s.index) {
			p.dequeue(reader)
			reader.readySince = time.Time{}
		}
	}
}

// needed reports whether a stage's results will still be read: by the request's own target, if
// the stage is final, or by stages that have pending pieces or wait for inputs. Pieces in a
// call aren't counted; allReadersRead checks whether they have read the results. If such a
// call fails after the results were freed, the results are produced again.
func (p *Planner) needed(s *heldStage) bool {
	if s.final() {
		return true
	}
	for _, other := range s.request.stages {
		if slices.Contains(other.After, s.index) && (len(other.pending) > 0 || other.waitsForInputs()) {
			return true
		}
	}
	return false
}

// waitsForInputs reports whether the stage needs inputs that don't exist yet.
func (s *heldStage) waitsForInputs() bool { return !s.done() && !s.inputsReady() }

// enforceDeadline refuses a request as soon as the rest of it takes longer than the time to
// its deadline. A request that will miss its objective and hasn't started is refused as
// soon as the work ahead of it leaves no time, while its caller can still react.
func (p *Planner) enforceDeadline(now time.Time, req *heldRequest) {
	if remaining := p.minRemaining(req); now.Add(remaining).After(req.Deadline) {
		p.refuse(req, Refused{
			Reason: ReasonDeadlineTooNear, RetryAfter: minRetryAfter,
			Needed: remaining, TimeToDeadline: req.Deadline.Sub(now),
		})
		return
	}
	if req.started || req.returned || !now.After(req.latestStart) {
		return
	}
	refusal := p.admit(now, req)
	if refusal == nil || refusal.Reason == ReasonNoTarget && req.targetsListed() {
		return // targets that don't answer may have paused, and are tried again soon
	}
	p.refuse(req, *refusal)
}

// refuse drops an admitted request and refuses it.
func (p *Planner) refuse(req *heldRequest, refusal Refused) {
	p.drop(req)
	if req.deadlineShortened {
		refusal = refusal.asStopping()
	}
	refusal.Request, refusal.Account = req.ID, req.Account
	p.actions = append(p.actions, refusal)
}

// advance queues the stages of a request that can run, and completes the request once all
// its final stages are done.
func (p *Planner) advance(now time.Time, req *heldRequest) {
	if req.completed {
		return
	}
	req.latestStart = req.Objective.Add(-p.minRemaining(req))
	defer p.updateBacklog(now, req)
	if req.allDone() {
		req.completed = true
		if len(req.Stages) > 0 && !now.Add(req.Remaining).After(req.timelyBy()) {
			p.attainments.countTimely(now, &req.Request)
		}
		for _, s := range req.stages {
			// A piece that was queued again may no longer be needed.
			s.pending = nil
			p.dequeue(s)
		}
		p.actions = append(p.actions, Completed{
			Request: req.ID, Handles: req.handles(), Times: req.stageTimes(), Route: req.Route, Bytes: req.finalBytes(),
			Elapsed: now.Sub(req.admittedAt), Predicted: req.predicted, TimeToObjective: req.Objective.Sub(req.admittedAt),
		})
		return
	}
	p.rerunMissingInputs(req)
	for _, s := range req.stages {
		if len(s.pending) == 0 || !s.runnable() {
			continue
		}
		if s.readySince.IsZero() {
			s.readySince = now
		}
		p.enqueue(s)
		p.dispatch(now, s.service)
	}
}

// rerunMissingInputs queues pieces again if their results were freed or have expired and are
// inputs of stages with pending pieces. Inputs are freed when their readers are expected to
// run for the last time. A reader that ran again without them would waste a call that only
// reports them missing.
func (p *Planner) rerunMissingInputs(req *heldRequest) {
	for i := len(req.stages) - 1; i >= 0; i-- {
		s := req.stages[i]
		if len(s.pending) == 0 || !s.inputsReady() {
			continue
		}
		for _, input := range s.After {
			for n, r := range req.stages[input].results {
				if r.freed {
					p.rerunPiece(req.stages[input], n)
				}
			}
		}
	}
}

func (p *Planner) enqueue(s *heldStage) {
	sv := s.service
	if !slices.Contains(sv.queue, s) {
		sv.queue = append(sv.queue, s)
	}
}

func (p *Planner) dequeue(s *heldStage) {
	sv := s.service
	if i := slices.Index(sv.queue, s); i >= 0 {
		sv.queue = slices.Delete(sv.queue, i, i+1)
	}
}

// free frees a result.
func (p *Planner) free(r *result) {
	if r == nil || r.freed {
		return
	}
	r.freed = true
	p.freeHandle(r.target, r.handle, r.bytes)
}

// freeHandle adds a handle to the target's pending FreeResults action, or starts one. The
// capacity counts as occupied until FreeDone reports the end of the action.
func (p *Planner) freeHandle(producer *target, handle string, bytes int64) {
	t := producer.Target
	p.freeing[handle] = pendingFree{producer, bytes}
	for i, a := range p.actions {
		if f, ok := a.(FreeResults); ok && f.Target == t {
			f.Handles = append(f.Handles, handle)
			p.actions[i] = f
			return
		}
	}
	p.actions = append(p.actions, FreeResults{Target: t, Service: producer.service.name, Handles: []string{handle}, Urgent: p.config.ResultFlowControl && producer.nearlyFull()})
}

// FreeDone reports that a target has freed results, or couldn't be notified.
func (p *Planner) FreeDone(now time.Time, handles []string) []Action {
	touched := map[*service]bool{}
	for _, handle := range handles {
		if f, ok := p.freeing[handle]; ok {
			delete(p.freeing, handle)
			f.target.usedBytes -= f.bytes
			touched[f.target.service] = true
		}
	}
	for s := range touched {
		p.dispatch(now, s)
	}
	return p.flush()
}

func (p *Planner) flush() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}
