// Package stages has the stages of requests run before the requests themselves.
//
// One instance holds the queue of the stage targets, so that calls are full; the
// others hand it their requests. Which one is a hint that all instances work out
// from the membership: an instance that can't reach it asks the next.
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
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/forward"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// Methods between instances.
const (
	methodRun          = "stages.make"
	methodRedirectable = "stages.follow"
	methodAssign       = "stages.place"
)

const (
	// avoidFor is how long an owner that didn't answer is passed over: the
	// membership finds out meanwhile.
	avoidPeriod = 3 * time.Second
	// maxOwners bounds the instances that one request is handed to.
	maxCandidates = 3
	// maxMoves bounds how often a request follows the queue in a row: more instances
	// than end their stop within a request's time.
	maxRedirects = 16
)

// Cluster is what the package needs of the connections between instances.
type Cluster interface {
	View() *membership.View
	Handle(method string, h peer.Handler, opts ...peer.HandleOption)
	Call(ctx context.Context, address, method string, body []byte) ([]byte, error)
	// AwaitJoin waits until an instance that has just started knows who holds the queue,
	// or the context ends.
	AwaitJoin(ctx context.Context)
}

// Follower is what the package needs of the follower of the platform's entries.
type Follower interface {
	// Leaving is told of an incarnation that takes nothing new.
	Leaving(incarnation string)
	// TargetsAge is how old the knowledge of the targets is.
	TargetsAge() time.Duration
}

// Stages makes stage results for this instance's requests and, while it holds
// the queue, for those of others.
type Stages struct {
	cluster Cluster
	queue   *queue

	mu sync.Mutex
	// holder is the name of the instance that holds the queue, as last believed.
	holder       string
	avoidedUntil map[string]time.Time
	// redirects are, by the name of an instance, where it last sent a request on to.
	redirects map[string]redirect
	// answered is when instances last answered, by their addresses.
	lastResponse map[string]time.Time
	// relayed are the requests of other instances that were passed on, by their ids.
	relayed      map[string]relayedRequest
	pendingDrops map[string][]placing.RequestEnd
	// asking are the requests of this instance that wait for their stages.
	waiting map[string]*waitingRequest
	// stopping tells that this instance gives its queue away and takes no other.
	stopping bool
	// giving is the try to give the queue away that is under way, following the one
	// after it; nil if there is none.
	handover, nextHandover *handoverAttempt
	// taking are the hand-overs on their way to this instance, by the name of the one
	// that stops.
	incoming map[string]*incomingHandover
	// ended is closed when Run ends.
	ended chan struct{}
}

// New registers the methods that other instances call.
func New(c Cluster, d exchange.Dialect, client *forward.Client, follower Follower, scope tally.Scope) *Stages {
	s := &Stages{
		cluster:      c,
		queue:        newQueue(d, client, follower, newMetrics(scope)),
		avoidedUntil: map[string]time.Time{},
		redirects:    map[string]redirect{},
		lastResponse: map[string]time.Time{},
		relayed:      map[string]relayedRequest{},
		pendingDrops: map[string][]placing.RequestEnd{},
		waiting:      map[string]*waitingRequest{},
		incoming:     map[string]*incomingHandover{},
		ended:        make(chan struct{}),
	}
	s.queue.reportCallEnd = s.reportCallEnd
	s.queue.onStall = s.Yield
	s.queue.forwardDrops = func(to string, served ...placing.RequestEnd) {
		for _, one := range served {
			s.Drop(to, one)
		}
	}
	c.Handle(methodRun, s.handleRun)
	c.Handle(methodRedirectable, s.handleRedirectable)
	c.Handle(methodDrop, s.handleDrop)
	c.Handle(methodAssign, s.handleAssign)
	c.Handle(methodRequestEnds, s.handleRequestEnds)
	c.Handle(methodCaches, s.handleCaches)
	c.Handle(methodUnreachable, s.handleUnreachable)
	c.Handle(methodHandover, s.handleHandover)
	c.Handle(methodCallEnd, s.handleCallEnd)
	c.Handle(methodShorten, s.handleShorten)
	return s
}

// Run drives the queue until the context ends.
func (s *Stages) Run(ctx context.Context) error {
	s.queue.run(ctx, s.cluster.View)
	close(s.ended)
	return nil
}

// SetTargets takes the usable targets of all services.
func (s *Stages) SetTargets(now time.Time, table *routes.Table, usable map[string][]routes.Target) {
	s.queue.setTargets(now, table, usable)
}

// RefusedError says that a request's stages won't be run in time.
type RefusedError struct {
	Reason     gather.Reason
	RetryAfter time.Duration
	// Owner is the instance that decided.
	Holder string
}

func (e *RefusedError) Error() string {
	return "stages refused by " + e.Holder + ": " + string(e.Reason)
}

// Made is what became of a request's stages.
type Result struct {
	// Handles are the final stages' results, in their order.
	Handles []string
	// Owner is the address of the instance that holds them.
	Holder string
	// Engine is the incarnation of the engine that is to serve the request; empty if
	// the asker is to choose.
	Engine string
}

// Make has all stages of a request run, and the engine chosen that is to read its
// prompt. A *RefusedError means that the request was given up. The results stay until
// Drop.
func (s *Stages) Execute(ctx context.Context, r gather.Request, prompt placing.Prompt) (Result, error) {
	return s.execute(ctx, r, prompt, false)
}

// makeFrom is Make; sent tells that another instance sent the request on.
func (s *Stages) execute(ctx context.Context, r gather.Request, prompt placing.Prompt, sent bool) (Result, error) {
	defer s.removeWaiting(r.ID)
	s.cluster.AwaitJoin(ctx)
	var err error
	for range maxCandidates {
		var made Result
		m, redirected := s.pickHolder(time.Now())
		made, m, err = s.followRedirects(ctx, m, r, prompt, sent || redirected)
		var refused *RefusedError
		if err == nil || errors.As(err, &refused) {
			made.Holder = m.Address
			return made, err
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

// movedError tells where the queue has gone.
type movedError struct{ to string }

func (e *movedError) Error() string { return "the queue has moved to " + e.to }

// follow has a request made by an instance, or by the one that has its queue now. It
// returns the one that answered. sent tells that some instance has sent it on.
func (s *Stages) followRedirects(ctx context.Context, m membership.Member, r gather.Request, prompt placing.Prompt, sent bool) (Result, membership.Member, error) {
	for range maxRedirects {
		made, err := s.executeAt(ctx, m, r, prompt, sent)
		var moved *movedError
		if !errors.As(err, &moved) {
			return made, m, err
		}
		to := s.memberAt(moved.to)
		s.recordRedirect(m, to)
		m, sent = to, true
	}
	return Result{}, m, errors.Newf("the queue moved %d times", maxRedirects)
}

// memberAt returns the member of an address; one that isn't known has just that.
func (s *Stages) memberAt(address string) membership.Member {
	for _, m := range s.cluster.View().Members {
		if m.Address == address {
			return m
		}
	}
	return membership.Member{Name: address, Address: address}
}

// pick returns the instance that holds the queue, as far as this one knows, and whether
// it does so by another's word.
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

// isAvoided tells whether an instance is passed over since it didn't answer; mu is
// held.
func (s *Stages) isAvoided(now time.Time, name string) bool {
	until, ok := s.avoidedUntil[name]
	if ok && !now.Before(until) {
		delete(s.avoidedUntil, name)
		return false
	}
	return ok
}

func (s *Stages) avoid(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidedUntil[name] = time.Now().Add(avoidPeriod)
	delete(s.redirects, name)
}

func (s *Stages) executeAt(ctx context.Context, m membership.Member, r gather.Request, prompt placing.Prompt, sent bool) (Result, error) {
	r, bounded := s.addWaiting(m.Address, r)
	if m.Name == s.cluster.View().Self {
		s.takeBackAvoided(ctx, time.Now())
		end, err := s.queue.execute(ctx, r, prompt, bounded, false)
		if err == nil && end.movedTo != "" {
			return Result{}, &movedError{end.movedTo}
		}
		if err == nil && end.refused != nil {
			err = &RefusedError{Reason: end.refused.Reason, RetryAfter: end.refused.RetryAfter, Holder: m.Name}
		}
		return Result{Handles: end.handles, Engine: end.engine}, err
	}
	follow := redirectableRequest{*newRunRequest(time.Now(), r), bounded, sent, s.avoidedAddresses(time.Now())}
	answer, err := s.executeRemote(ctx, m.Address, &assignRequest{follow, prompt})
	if errors.Is(err, peer.ErrConnLost) {
		// The holder keeps the request for a moment, and may well be there.
		answer, err = s.executeRemote(ctx, m.Address, &assignRequest{follow, prompt})
	}
	if err != nil {
		return Result{}, err
	}
	s.recordResponse(time.Now(), m.Address)
	if answer.Redirectable.MovedTo != "" {
		return Result{}, &movedError{answer.Redirectable.MovedTo}
	}
	if made := answer.Redirectable.Run; made.Reason != "" {
		return Result{}, &RefusedError{Reason: gather.Reason(made.Reason), RetryAfter: made.RetryAfter, Holder: m.Name}
	}
	s.queue.recordPrefill(prompt, answer.Engine)
	return Result{Handles: answer.Redirectable.Run.Handles, Engine: answer.Engine}, nil
}

// makeRemote asks another instance; one of an earlier version by the latest method that
// it knows.
func (s *Stages) executeRemote(ctx context.Context, address string, ask *assignRequest) (assignResponse, error) {
	var answer assignResponse
	err := s.callMethod(ctx, address, methodAssign, ask, &answer)
	if errors.Is(err, peer.ErrNoMethod) {
		err = s.callMethod(ctx, address, methodRedirectable, &ask.Redirectable, &answer.Redirectable)
	}
	if errors.Is(err, peer.ErrNoMethod) {
		err = s.callMethod(ctx, address, methodRun, &ask.Redirectable.Run, &answer.Redirectable.Run)
	}
	return answer, err
}

// callFor calls a method with a message and reads its answer.
func (s *Stages) callMethod(ctx context.Context, address, method string, message, answer any) error {
	body, err := encode(message)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	reply, err := s.cluster.Call(ctx, address, method, body)
	if err != nil {
		return err
	}
	return errors.Wrap(msgpack.Unmarshal(reply, answer), "decode")
}

func (s *Stages) handleRun(ctx context.Context, from peer.Peer, body []byte) ([]byte, error) {
	var ask runRequest
	if err := msgpack.Unmarshal(body, &ask); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	answer, err := s.executeFor(ctx, from, &assignRequest{Redirectable: redirectableRequest{Run: ask, Redirected: true}})
	if err != nil {
		return nil, err
	}
	if answer.Redirectable.MovedTo != "" {
		return nil, errMoved
	}
	return encode(&answer.Redirectable.Run)
}

func (s *Stages) handleRedirectable(ctx context.Context, from peer.Peer, body []byte) ([]byte, error) {
	var ask assignRequest
	if err := msgpack.Unmarshal(body, &ask.Redirectable); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	answer, err := s.executeFor(ctx, from, &ask)
	if err != nil {
		return nil, err
	}
	return encode(&answer.Redirectable)
}

func (s *Stages) handleAssign(ctx context.Context, from peer.Peer, body []byte) ([]byte, error) {
	var ask assignRequest
	if err := msgpack.Unmarshal(body, &ask); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	answer, err := s.executeFor(ctx, from, &ask)
	if err != nil {
		return nil, err
	}
	return encode(answer)
}

// makeFor has the stages of another instance's request run.
func (s *Stages) executeFor(ctx context.Context, from peer.Peer, ask *assignRequest) (*assignResponse, error) {
	if to := s.redirectTo(time.Now(), &ask.Redirectable); to != "" {
		return &assignResponse{Redirectable: redirectableResponse{MovedTo: to}}, nil
	}
	if s.relaysToYielded(ctx, &ask.Redirectable) || s.shouldRelay(time.Now(), &ask.Redirectable) {
		return s.relay(ctx, ask)
	}
	r := ask.Redirectable.Run.request(time.Now())
	end, err := s.queue.execute(ctx, r, ask.Prompt, ask.Redirectable.DeadlineShortened, true)
	if err != nil {
		return nil, err
	}
	answer := &assignResponse{redirectableResponse{Run: runResponse{Handles: end.handles}, MovedTo: end.movedTo}, end.engine}
	switch {
	case end.refused != nil:
		answer.Redirectable.Run.Reason, answer.Redirectable.Run.RetryAfter = string(end.refused.Reason), end.refused.RetryAfter
	case end.movedTo == "":
		s.queue.recordReader(r.ID, resultReader{instanceID{from.Name, from.Incarnation}, r.Deadline})
	}
	return answer, nil
}

// Held returns the number of requests whose stages this instance holds, and of calls
// that it carries out, also for another instance's queue.
func (s *Stages) ActiveCount() int {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	return s.queue.planner.RequestCount() + s.queue.runningCalls + len(s.queue.pendingFree)
}
