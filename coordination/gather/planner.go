package gather

import (
	"slices"
	"time"
)

// Config holds the bounds of a Planner. Zero values take the defaults.
type Config struct {
	// Patience is how long pieces wait for a target beside their inputs before
	// they go to one of another data centre.
	LocalityWait time.Duration
	// MaxRequests bounds the requests that are held.
	MaxRequests int
}

// Defaults of Config.
const (
	// DefaultPatience is about the time until the next target of a data centre
	// comes free.
	DefaultLocalityWait = 500 * time.Millisecond
	// DefaultMaxRequests is several seconds of the load of a fleet of a thousand
	// instances.
	DefaultMaxRequests = 1 << 14
)

// maxResends bounds the calls that carry pieces of one stage again.
const maxResends = 4

// keepMargin is taken off the time that results are kept: a result must still be
// there when its reader's call has its turn.
const resultExpiryMargin = 300 * time.Millisecond

// Planner holds the requests of a group of targets.
type Planner struct {
	config   Config
	services map[string]*service
	requests map[string]*heldRequest
	calls    map[uint64]*call
	nextCall uint64
	// freeing are the results whose makers are being told, by handle.
	freeing     map[string]pendingFree
	attainments attainments
	// shortAt is when a result last found no room at any target.
	capacityShortAt time.Time
	actions         []Action
	// importing tells that calls wait until all imported requests do.
	importing bool
}

// freeing is a result whose room is about to be given back.
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
	// overdue is when the pieces are made elsewhere as well; handedOn tells that
	// they are.
	overdueAt time.Time
	hedged    bool
	// expires is when it counts as lost.
	timeoutAt time.Time
	// readBy is when it has read its inputs, released tells that they were given
	// back since.
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

// SetService takes the shape of a service's targets.
func (p *Planner) SetService(name string, shape ServiceConfig) {
	p.service(name).config = shape
}

func (p *Planner) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{name: name, targets: map[string]*target{}, times: newCallTimes(), backlog: newBacklog(), arrivalRates: map[float64]*rate{}}
		p.services[name] = s
	}
	return s
}

// SetTargets takes the targets of a service that may get calls. Calls in
// progress at one that is left out go on.
func (p *Planner) SetTargets(now time.Time, name string, list []Target) []Action {
	s := p.service(name)
	kept := make(map[string]bool, len(list))
	var added []Target
	for _, t := range list {
		kept[t.Incarnation] = true
		if known := s.targets[t.Incarnation]; known != nil {
			if known.unlisted {
				// It may be here only since a queue that was taken over told of it.
				added = append(added, t)
			}
			known.unlisted = false
			continue
		}
		s.targets[t.Incarnation] = &target{Target: t, service: s, slowness: 1}
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

// Held returns the number of requests that wait or have results here.
func (p *Planner) RequestCount() int { return len(p.requests) }

// Calls returns the number of calls in progress.
func (p *Planner) CallCount() int { return len(p.calls) }

// Submit takes a request in, or refuses it at once.
func (p *Planner) Submit(now time.Time, r Request) []Action {
	if old := p.requests[r.ID]; old != nil {
		p.drop(old)
	}
	if len(p.requests) >= p.config.MaxRequests || len(r.Stages) > maxStages {
		p.actions = append(p.actions, Refused{Request: r.ID, Reason: ReasonTooManyRequests, RetryAfter: minRetryAfter})
		return p.flush()
	}
	w := p.newHeldRequest(r)
	w.admittedAt = now
	w.latestStart = w.Objective.Add(-p.minRemaining(w))
	w.boosted = p.attainments.underserved(now, &w.Request)
	p.attainments.countSubmitted(now, &w.Request)
	if refusal := p.admit(now, w); refusal != nil {
		p.actions = append(p.actions, *refusal)
		return p.flush()
	}
	p.requests[r.ID] = w
	for _, st := range w.stages {
		if st.Pieces > 0 {
			st.service.countArrival(now, w.baseRank(), st.Pieces)
		}
	}
	p.advance(now, w)
	return p.flush()
}

// HasOther tells whether the planner holds another request under the id of this one. One
// that is asked for again, on its way with the queue or for a second attempt, is the same.
func (p *Planner) IDInUse(r Request) bool {
	w := p.requests[r.ID]
	return w != nil && !(w.Route == r.Route && w.Key == r.Key && slices.Equal(w.Request.pieces(), r.pieces()))
}

// Drop forgets a request: its caller left, or its results have been read. What
// it still holds is freed.
func (p *Planner) Drop(_ time.Time, id string) []Action {
	if w := p.requests[id]; w != nil {
		p.drop(w)
	}
	return p.flush()
}

func (p *Planner) drop(w *heldRequest) {
	delete(p.requests, w.ID)
	w.leaveBacklog()
	for _, s := range w.stages {
		p.dequeue(s)
		for _, r := range s.results {
			p.free(r)
		}
	}
}

// Tick does what is due: results that were kept too long, requests that can't
// be done in time, and targets that are tried again.
func (p *Planner) Tick(now time.Time) []Action {
	for _, w := range p.requests {
		p.expireResults(now, w)
		if !w.completed {
			p.updateBacklog(now, w)
			p.enforceDeadline(now, w)
		} else if now.After(w.Deadline) {
			// The instance that asked is gone, or its word was lost.
			p.drop(w)
		}
	}
	p.hedgeOverdueCalls(now)
	p.freeReadInputs(now)
	for _, s := range p.services {
		for _, t := range s.targets {
			t.expireReservations(now)
		}
		p.dispatch(now, s)
	}
	return p.flush()
}

// expireResults drops results that their makers no longer keep, and has those
// made again that are still needed.
func (p *Planner) expireResults(now time.Time, w *heldRequest) {
	if p.dropResults(w, func(r *result) bool { return !now.Before(r.expiresAt) }) {
		p.advance(now, w)
	}
}

// unmake has a piece made again whose result is gone. Stages that read it wait
// until it is there: a piece with only some of its inputs would be answered with
// another request's work, or with none.
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

// needed tells whether the results are still to be read: by the request's own
// target, or by pieces that wait. Pieces in a call have read them; should that call
// fail, its target's next answer tells that they are gone.
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

// needsLater tells whether the stage waits for other inputs than those that are
// there.
func (s *heldStage) waitsForInputs() bool { return !s.done() && !s.inputsReady() }

// giveUpLate refuses a request as soon as what is left takes longer than there
// is time. One that is late and has nothing to lose yet is refused as soon as the
// work before it leaves no time: its caller hears so while it can still do
// something else.
func (p *Planner) enforceDeadline(now time.Time, w *heldRequest) {
	if least := p.minRemaining(w); now.Add(least).After(w.Deadline) {
		p.refuse(w, Refused{
			Reason: ReasonDeadlineTooNear, RetryAfter: minRetryAfter,
			Needed: least, TimeToDeadline: w.Deadline.Sub(now),
		})
		return
	}
	if w.started || !now.After(w.latestStart) {
		return
	}
	if refusal := p.admit(now, w); refusal != nil {
		p.refuse(w, *refusal)
	}
}

// giveUp drops a request that was taken in, and refuses it.
func (p *Planner) refuse(w *heldRequest, refusal Refused) {
	p.drop(w)
	if w.deadlineShortened {
		refusal = refusal.asStopping()
	}
	refusal.Request = w.ID
	p.actions = append(p.actions, refusal)
}

// advance queues the stages of a request that are due, and completes it when all
// are done.
func (p *Planner) advance(now time.Time, w *heldRequest) {
	if w.completed {
		return
	}
	w.latestStart = w.Objective.Add(-p.minRemaining(w))
	defer p.updateBacklog(now, w)
	if w.allDone() {
		w.completed = true
		if !now.Add(w.Remaining).After(w.Objective) {
			p.attainments.countTimely(now, &w.Request)
		}
		for _, s := range w.stages {
			// A piece that is made again may not be needed any more.
			s.pending = nil
			p.dequeue(s)
		}
		p.actions = append(p.actions, Completed{
			Request: w.ID, Handles: w.handles(), Times: w.stageTimes(), Route: w.Route, Bytes: w.finalBytes(),
			Elapsed: now.Sub(w.admittedAt), Predicted: w.predicted, TimeToObjective: w.Objective.Sub(w.admittedAt),
		})
		return
	}
	p.rerunMissingInputs(w)
	for _, s := range w.stages {
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

// restoreInputs has the inputs made again of stages that have pieces to send and
// whose inputs were given back, or have expired: a piece that is to be made once
// more was to be made for the last time when they were. Sent without them it would
// cost a call, whose answer says that they are gone.
func (p *Planner) rerunMissingInputs(w *heldRequest) {
	for i := len(w.stages) - 1; i >= 0; i-- {
		s := w.stages[i]
		if len(s.pending) == 0 || !s.inputsReady() {
			continue
		}
		for _, before := range s.After {
			for n, r := range w.stages[before].results {
				if r.freed {
					p.rerunPiece(w.stages[before], n)
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

// free gives a result's room back.
func (p *Planner) free(r *result) {
	if r == nil || r.freed {
		return
	}
	r.freed = true
	p.freeHandle(r.target, r.handle, r.bytes)
}

// freeHandle joins the handles of one target into one action. The room counts as
// taken until the target has been told.
func (p *Planner) freeHandle(held *target, handle string, bytes int64) {
	t := held.Target
	p.freeing[handle] = pendingFree{held, bytes}
	for i, a := range p.actions {
		if f, ok := a.(FreeResults); ok && f.Target == t {
			f.Handles = append(f.Handles, handle)
			p.actions[i] = f
			return
		}
	}
	p.actions = append(p.actions, FreeResults{Target: t, Handles: []string{handle}})
}

// FreeDone tells that a target gave the room of results back, or that it couldn't
// be told.
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
	out := p.actions
	p.actions = nil
	return out
}
