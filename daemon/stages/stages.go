// Package stages runs the stages of requests before the requests themselves.
//
// One instance holds the queue of the stage targets, so that calls are full; the others send
// their requests to it. All instances derive the holder from the membership. That is only a
// hint: an instance that can't reach the holder asks the next one.
package stages

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/holder"
	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/pacing"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/forward"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// Methods between instances. Instances of earlier versions know only the first ones.
const (
	methodRun          = "stages.make"
	methodRedirectable = "stages.follow"
	methodAssign       = "stages.place"
	// methodAssignPaced replaces methodAssign for pools whose targets have a pace.
	methodAssignPaced = "stages.pace"
	// methodSchedule replaces methodAssignPaced where requests are scheduled by more than their
	// priority and their deadline.
	methodSchedule = "stages.schedule"
)

const (
	// avoidPeriod is how long an instance that didn't respond is avoided. The membership
	// detects its failure meanwhile.
	avoidPeriod = 3 * time.Second
	// maxCandidates limits the instances that are asked for one request, or for one handover.
	maxCandidates = 3
	// maxRedirects limits how many redirects in a row a request follows. It exceeds the
	// number of instances that complete their stop within a request's time.
	maxRedirects = 16
)

// Cluster has the operations of the connections between instances that the package needs.
type Cluster interface {
	View() *membership.View
	Handle(method string, h peer.Handler, opts ...peer.HandleOption)
	Call(ctx context.Context, address, method string, body []byte) ([]byte, error)
	// AwaitJoin waits until an instance that has just started knows who holds the queue, or
	// until the context ends.
	AwaitJoin(ctx context.Context)
}

// Follower has the operations of the follower of the platform's entries that the package
// needs.
type Follower interface {
	// Leaving records that an incarnation accepts nothing new.
	Leaving(incarnation string)
	// TargetsAge returns the age of the knowledge of the targets.
	TargetsAge() time.Duration
	// Usable reports whether an incarnation may receive new work.
	Usable(incarnation string) bool
}

// Stages runs the stages of this instance's requests and, while it holds the queue, the stages
// of other instances' requests.
type Stages struct {
	cluster Cluster
	queue   *queue

	mu sync.Mutex
	// holder is the name of the last known holder of the queue.
	holder       string
	avoidedUntil map[string]time.Time
	// redirects are the latest redirects by the names of the redirecting instances.
	redirects map[string]redirect
	// lastResponse is when instances last responded, by address.
	lastResponse map[string]time.Time
	// relayed are the relayed requests of other instances, by ID.
	relayed map[string]relayedRequest
	// pendingReports are the reports of ended requests that aren't sent yet, by the address of the
	// holder. unreported has the reports that haven't arrived yet, by request ID.
	pendingReports map[string]*endReport
	unreported     map[string][]*endReport
	// waiting are the requests of this instance that wait for their stages, by ID.
	waiting map[string]*waitingRequest
	// stopping means that this instance hands its queue over and accepts no other.
	stopping bool
	// handover is the handover attempt in progress, nextHandover the one after it; nil if
	// there is none.
	handover, nextHandover *handoverAttempt
	// incoming are the handovers in progress to this instance, by the name of the sender.
	incoming map[string]*incomingHandover
	// ended is closed when Run ends.
	ended chan struct{}
	// claim is the claim of the queue after the start.
	claim queueClaim
	// sendsScheduling is true if requests are sent with what only methodSchedule carries; those that
	// have an engine chosen are too if placesByCost is true.
	sendsScheduling bool
	// reservesRetries is true if capacity is reserved for callers that are told when to retry.
	reservesRetries bool
	// placesByCost is true if engines are chosen by the work that each has left.
	placesByCost bool
	// awaitLimits waits, after the start, until the limits are known that another instance knows.
	awaitLimits func(ctx context.Context, from string)
}

// New returns a Stages and registers the methods that other instances call.
//
// limits bound what cold targets get.
func New(c Cluster, d exchange.Dialect, client *forward.Client, follower Follower, limits pacing.Limits, config gather.Config, scope tally.Scope) *Stages {
	s := &Stages{
		cluster:         c,
		queue:           newQueue(d, client, follower, config, newMetrics(scope)),
		sendsScheduling: config.AccountSharing || config.RetryReservations,
		reservesRetries: config.RetryReservations,
		avoidedUntil:    map[string]time.Time{},
		redirects:       map[string]redirect{},
		lastResponse:    map[string]time.Time{},
		relayed:         map[string]relayedRequest{},
		pendingReports:  map[string]*endReport{},
		unreported:      map[string][]*endReport{},
		waiting:         map[string]*waitingRequest{},
		incoming:        map[string]*incomingHandover{},
		ended:           make(chan struct{}),
		claim:           queueClaim{startedAt: time.Now(), done: make(chan struct{})},
		awaitLimits:     func(context.Context, string) {},
	}
	s.queue.limits, s.queue.view = limits, c.View
	s.queue.reportCallEnd = s.reportCallEnd
	s.queue.onStall = s.Yield
	s.queue.forwardDrops = func(to string, ends ...placing.RequestEnd) {
		for _, end := range ends {
			s.Drop(to, end)
		}
	}
	c.Handle(methodRun, s.handleRun)
	c.Handle(methodRedirectable, s.handleRedirectable)
	c.Handle(methodDrop, s.handleDrop)
	c.Handle(methodAssign, s.handleAssign)
	c.Handle(methodAssignPaced, s.handleAssignPaced)
	c.Handle(methodSchedule, s.handleSchedule)
	c.Handle(methodRequestEnds, s.handleRequestEnds)
	c.Handle(methodRequestProgress, s.handleRequestProgress)
	c.Handle(methodCaches, s.handleCaches)
	c.Handle(methodRunning, s.handleRunning)
	c.Handle(methodUnreachable, s.handleUnreachable)
	c.Handle(methodHandover, s.handleHandover)
	c.Handle(methodTakeSchedule, s.handleTakeSchedule)
	c.Handle(methodCallEnd, s.handleCallEnd)
	c.Handle(methodShorten, s.handleShorten)
	c.Handle(methodClaim, s.handleClaim, peer.Idempotent())
	c.Handle(methodAccounts, s.handleAccounts, peer.Idempotent())
	c.Handle(methodExplain, s.handleExplain, peer.Idempotent())
	return s
}

// Run drives the queue until the context ends.
func (s *Stages) Run(ctx context.Context) error {
	s.queue.run(ctx, s.cluster.View)
	close(s.ended)
	return nil
}

// SetTargets replaces the usable targets of all services.
func (s *Stages) SetTargets(now time.Time, table *routes.Table, usable map[string][]routes.Target) {
	s.queue.setTargets(now, table, usable)
}

// SetLimits replaces the limits that targets name, in requests a second by incarnation.
func (s *Stages) SetLimits(limits map[string]float64) { s.queue.setLimits(time.Now(), limits) }

// ForgetFailures forgets what failed calls seemed to show about the stage targets of a service: this
// instance has lost its path to them.
func (s *Stages) ForgetFailures(service string) { s.queue.forgetFailures(service) }

func (q *queue) forgetFailures(service string) {
	q.apply(func(p *gather.Planner) []gather.Action { return p.ForgetFailures(time.Now(), service) })
}

// OnResponse sets the function that is called with the header of each response to a stage call. It
// must be called before Run.
func (s *Stages) OnResponse(f func(incarnation string, response exchange.TargetResponse)) {
	s.queue.onResponse = f
}

// AwaitLimits sets the function that waits, after the start, until the limits that targets name are
// known as far as the instance at an address knows them, or the context ends. Until then this instance
// starts no calls for that one, grants it no sends and accepts no queue. It must be called before Run.
func (s *Stages) AwaitLimits(f func(ctx context.Context, from string)) { s.awaitLimits = f }

// RefusedError means that a request's stages won't be run by its deadline.
type RefusedError struct {
	Reason     gather.Reason
	RetryAfter time.Duration
	// Reserved is true if capacity is reserved for the caller's retry.
	Reserved bool
	// NoTimeLeft is true if retries are reserved, and no time within the caller's deadline was found.
	NoTimeLeft bool
	// Holder is the name of the instance that decided.
	Holder string
}

func (e *RefusedError) Error() string {
	return "stages refused by " + e.Holder + ": " + string(e.Reason)
}

// Result is the result of a request's stages.
type Result struct {
	// Handles are the handles of the final stages' results, in their order.
	Handles []string
	// Holder is the address of the instance that holds the results.
	Holder string
	// Engine is the incarnation of the engine that is to serve the request. It is empty if
	// the requester is to choose.
	Engine string
	// SendAt is when the request may be sent to Engine, if the pool is paced. If Engine is
	// empty and SendAt lies ahead, it is when there will be a grant.
	SendAt time.Time
}

// Execute runs all stages of a request, and has the holder of the queue choose the engine that is
// to process the prompt. A *RefusedError means that the request was refused. The results are
// kept until Drop.
func (s *Stages) Execute(ctx context.Context, r gather.Request, prompt placing.Prompt) (Result, error) {
	return s.execute(ctx, r, prompt, false)
}

// execute implements Execute. wasRedirected is true for a request that this instance relays for
// another one: the instances that are asked don't redirect it as they would a new request.
func (s *Stages) execute(ctx context.Context, r gather.Request, prompt placing.Prompt, wasRedirected bool) (Result, error) {
	defer s.removeWaiting(r.ID)
	s.cluster.AwaitJoin(ctx)
	var err error
	for range maxCandidates {
		var result Result
		m, redirected := s.pickHolder(time.Now())
		result, m, err = s.followRedirects(ctx, m, r, prompt, wasRedirected || redirected)
		var refused *RefusedError
		if err == nil || errors.As(err, &refused) {
			result.Holder = m.Address
			return result, err
		}
		if ctx.Err() != nil {
			s.Drop(m.Address, placing.RequestEnd{Request: r.ID})
			return Result{}, err
		}
		telemetry.ErrorS(err, "Holder of the stage queue didn't answer", telemetry.Event{RequestID: r.ID, Peer: m.Name})
		s.avoid(m.Name)
	}
	return Result{}, err
}

// movedError reports the instance that has the queue now.
type movedError struct{ to string }

func (e *movedError) Error() string { return "the queue has moved to " + e.to }

// followRedirects runs a request at an instance, or at the one that now has that instance's queue.
// It returns the instance that was asked last. redirected means that some instance redirected the
// request.
func (s *Stages) followRedirects(ctx context.Context, m membership.Member, r gather.Request, prompt placing.Prompt, redirected bool) (Result, membership.Member, error) {
	for range maxRedirects {
		result, err := s.executeAt(ctx, m, r, prompt, redirected)
		var moved *movedError
		if !errors.As(err, &moved) {
			return result, m, err
		}
		to := s.memberAt(moved.to)
		s.recordRedirect(m, to)
		m, redirected = to, true
	}
	return Result{}, m, errors.Newf("the queue moved %d times", maxRedirects)
}

// memberAt returns the member with an address. A member that is unknown gets the address as
// its name.
func (s *Stages) memberAt(address string) membership.Member {
	for _, m := range s.cluster.View().Members {
		if m.Address == address {
			return m
		}
	}
	return membership.Member{Name: address, Address: address}
}

// pickHolder returns the instance that holds the queue, as far as this one knows, and whether
// this one knows it from a redirect by another instance.
func (s *Stages) pickHolder(now time.Time) (_ membership.Member, redirected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.cluster.View()
	if self, ok := view.Find(view.Self); ok && s.queue.isRecentHolder(now) {
		return self, false
	}
	chosen := holder.Pick(view, func(name string) bool { return s.isAvoided(now, name) })
	if chosen.Name != s.holder {
		s.holder = chosen.Name
		telemetry.InfoS("Holder of the stage queue", telemetry.Event{Peer: chosen.Name, Count: len(view.Live())})
	}
	if to, ok := s.lookUpRedirect(now, view, chosen.Name); ok {
		return to, true
	}
	return chosen, false
}

// isAvoided reports whether an instance is avoided because it didn't respond. mu must be
// held.
func (s *Stages) isAvoided(now time.Time, name string) bool {
	if s.avoids(now, name) {
		return true
	}
	delete(s.avoidedUntil, name)
	return false
}

// avoids is isAvoided without the removal of what is over. mu must be held.
func (s *Stages) avoids(now time.Time, name string) bool {
	until, ok := s.avoidedUntil[name]
	return ok && now.Before(until)
}

func (s *Stages) avoid(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidedUntil[name] = time.Now().Add(avoidPeriod)
	delete(s.redirects, name)
}

func (s *Stages) executeAt(ctx context.Context, m membership.Member, r gather.Request, prompt placing.Prompt, redirected bool) (Result, error) {
	s.settleEnds(ctx, r.ID)
	r, shortened := s.addWaiting(m.Address, r)
	if m.Name == s.cluster.View().Self {
		s.takeBackAvoided(ctx, time.Now())
		s.awaitQueueClaim(ctx)
		end, err := s.queue.execute(ctx, r, prompt, shortened, false)
		if err == nil && end.movedTo != "" {
			return Result{}, &movedError{end.movedTo}
		}
		if err == nil && end.refused != nil {
			err = s.refusedError(end.refused.Reason, end.refused.RetryAfter, end.refused.Reserved, m.Name)
		}
		return Result{Handles: end.handles, Engine: end.engine, SendAt: end.sendAt}, err
	}
	redirectable := redirectableRequest{*newRunRequest(time.Now(), r), shortened, redirected, s.avoidedAddresses(time.Now())}
	request := newScheduleRequest(&assignRequest{redirectable, prompt}, r)
	response, err := s.executeRemote(ctx, m.Address, request)
	if errors.Is(err, peer.ErrConnLost) {
		// The holder keeps the request for reconnectTimeout, and may well be reachable.
		response, err = s.executeRemote(ctx, m.Address, request)
	}
	if err != nil {
		return Result{}, err
	}
	s.recordResponse(time.Now(), m.Address)
	assigned := &response.Paced.Assign
	if assigned.Redirectable.MovedTo != "" {
		return Result{}, &movedError{assigned.Redirectable.MovedTo}
	}
	run := assigned.Redirectable.Run
	if run.Reason != "" {
		return Result{}, s.refusedError(gather.Reason(run.Reason), run.RetryAfter, response.Reserved, m.Name)
	}
	s.queue.recordPrefill(prompt, assigned.Engine)
	return Result{Handles: run.Handles, Engine: assigned.Engine, SendAt: time.Now().Add(response.Paced.SendAfter)}, nil
}

// executeRemote sends a request to another instance. For an instance of an earlier version it
// uses the latest method that the instance knows.
func (s *Stages) executeRemote(ctx context.Context, address string, scheduled *scheduleRequest) (scheduleResponse, error) {
	var whole scheduleResponse
	response, request := &whole.Paced, &scheduled.Assign
	assigned := &response.Assign
	err := error(peer.ErrNoMethod)
	if s.sendsScheduling || s.placesByCost && request.Prompt.Pool != "" {
		err = s.callSchedule(ctx, address, methodSchedule, scheduled, &whole)
	}
	if errors.Is(err, peer.ErrNoMethod) && request.Prompt.Pool != "" {
		err = s.callMethod(ctx, address, methodAssignPaced, request, response)
	}
	if errors.Is(err, peer.ErrNoMethod) {
		err = s.callMethod(ctx, address, methodAssign, request, assigned)
	}
	if errors.Is(err, peer.ErrNoMethod) {
		err = s.callMethod(ctx, address, methodRedirectable, &request.Redirectable, &assigned.Redirectable)
	}
	if errors.Is(err, peer.ErrNoMethod) {
		err = s.callMethod(ctx, address, methodRun, &request.Redirectable.Run, &assigned.Redirectable.Run)
	}
	return whole, err
}

// callSchedule calls a method whose body is that of methodSchedule. What predicts the costs of engines is
// sent only if they decide.
func (s *Stages) callSchedule(ctx context.Context, address, method string, scheduled *scheduleRequest, response any) error {
	var output outputEstimate
	if s.placesByCost {
		output = outputEstimate{scheduled.Assign.Prompt.Hint, scheduled.Assign.Prompt.MaxOutput}
	}
	body, err := encodeSchedule(scheduled, output)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	return s.callBody(ctx, address, method, body, response)
}

// Paced reports whether sends to the targets of a pool need grants.
func (s *Stages) Paced(pool string) bool { return s.queue.isPaced(pool) }

// callMethod calls a method with a message and decodes its response.
func (s *Stages) callMethod(ctx context.Context, address, method string, message, response any) error {
	body, err := encode(message)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	return s.callBody(ctx, address, method, body, response)
}

// callBody calls a method with an encoded message and decodes its response.
func (s *Stages) callBody(ctx context.Context, address, method string, body []byte, response any) error {
	reply, err := s.cluster.Call(ctx, address, method, body)
	if err != nil {
		return err
	}
	return errors.Wrap(msgpack.Unmarshal(reply, response), "decode")
}

// ActiveCount returns the sum of three numbers: the requests whose stages this instance holds,
// the calls that it carries out, also for another instance's queue, and the targets whose
// results it is about to free.
func (s *Stages) ActiveCount() int {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	return s.queue.planner.RequestCount() + s.queue.runningCalls + len(s.queue.pendingFree)
}
