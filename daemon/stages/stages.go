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
	methodMake   = "stages.make"
	methodFollow = "stages.follow"
	methodPlace  = "stages.place"
)

const (
	// avoidFor is how long an owner that didn't answer is passed over: the
	// membership finds out meanwhile.
	avoidFor = 3 * time.Second
	// maxOwners bounds the instances that one request is handed to.
	maxOwners = 3
	// maxMoves bounds how often a request follows the queue in a row: more instances
	// than end their stop within a request's time.
	maxMoves = 16
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
	owner   *Owner

	mu sync.Mutex
	// holder is the name of the instance that holds the queue, as last believed.
	holder  string
	avoided map[string]time.Time
	// redirects are, by the name of an instance, where it last sent a request on to.
	redirects map[string]redirect
	// answered is when instances last answered, by their addresses.
	answered map[string]time.Time
	// relayed are the requests of other instances that were passed on, by their ids.
	relayed  map[string]relayed
	dropping map[string][]placing.RequestEnd
	// asking are the requests of this instance that wait for their stages.
	asking map[string]*asking
	// stopping tells that this instance gives its queue away and takes no other.
	stopping bool
	// giving is the try to give the queue away that is under way, following the one
	// after it; nil if there is none.
	giving, following *attempt
	// taking are the hand-overs on their way to this instance, by the name of the one
	// that stops.
	taking map[string]*taking
	// ended is closed when Run ends.
	ended chan struct{}
}

// New registers the methods that other instances call.
func New(c Cluster, d exchange.Dialect, client *forward.Client, follower Follower, scope tally.Scope) *Stages {
	s := &Stages{
		cluster:   c,
		owner:     newOwner(d, client, follower, newMetrics(scope)),
		avoided:   map[string]time.Time{},
		redirects: map[string]redirect{},
		answered:  map[string]time.Time{},
		relayed:   map[string]relayed{},
		dropping:  map[string][]placing.RequestEnd{},
		asking:    map[string]*asking{},
		taking:    map[string]*taking{},
		ended:     make(chan struct{}),
	}
	s.owner.passEnd = s.passEnd
	s.owner.stalled = s.Yield
	s.owner.passDrops = func(to string, served ...placing.RequestEnd) {
		for _, one := range served {
			s.Drop(to, one)
		}
	}
	c.Handle(methodMake, s.handleMake)
	c.Handle(methodFollow, s.handleFollow)
	c.Handle(methodDrop, s.handleDrop)
	c.Handle(methodPlace, s.handlePlace)
	c.Handle(methodServed, s.handleServed)
	c.Handle(methodKnown, s.handleKnown)
	c.Handle(methodGone, s.handleGone)
	c.Handle(methodTake, s.handleTake)
	c.Handle(methodEnded, s.handleEnded)
	c.Handle(methodBound, s.handleBound)
	return s
}

// Run drives the queue until the context ends.
func (s *Stages) Run(ctx context.Context) error {
	s.owner.run(ctx, s.cluster.View)
	close(s.ended)
	return nil
}

// SetTargets takes the usable targets of all services.
func (s *Stages) SetTargets(now time.Time, table *routes.Table, usable map[string][]routes.Target) {
	s.owner.setTargets(now, table, usable)
}

// RefusedError says that a request's stages won't be run in time.
type RefusedError struct {
	Reason     gather.Reason
	RetryAfter time.Duration
	// Owner is the instance that decided.
	Owner string
}

func (e *RefusedError) Error() string {
	return "stages refused by " + e.Owner + ": " + string(e.Reason)
}

// Made is what became of a request's stages.
type Made struct {
	// Handles are the final stages' results, in their order.
	Handles []string
	// Owner is the address of the instance that holds them.
	Owner string
	// Engine is the incarnation of the engine that is to serve the request; empty if
	// the asker is to choose.
	Engine string
}

// Make has all stages of a request run, and the engine chosen that is to read its
// prompt. A *RefusedError means that the request was given up. The results stay until
// Drop.
func (s *Stages) Make(ctx context.Context, r gather.Request, prompt placing.Prompt) (Made, error) {
	return s.makeFrom(ctx, r, prompt, false)
}

// makeFrom is Make; sent tells that another instance sent the request on.
func (s *Stages) makeFrom(ctx context.Context, r gather.Request, prompt placing.Prompt, sent bool) (Made, error) {
	defer s.asked(r.ID)
	s.cluster.AwaitJoin(ctx)
	var err error
	for range maxOwners {
		var made Made
		m, redirected := s.pick(time.Now())
		made, m, err = s.follow(ctx, m, r, prompt, sent || redirected)
		var refused *RefusedError
		if err == nil || errors.As(err, &refused) {
			made.Owner = m.Address
			return made, err
		}
		if ctx.Err() != nil {
			s.Drop(m.Address, placing.RequestEnd{Request: r.ID})
			return Made{}, err
		}
		telemetry.ErrorS(err, "Holder of the stage queue didn't answer", telemetry.Event{RequestID: r.ID, Peer: m.Name})
		s.avoid(m.Name)
	}
	return Made{}, err
}

// movedError tells where the queue has gone.
type movedError struct{ to string }

func (e *movedError) Error() string { return "the queue has moved to " + e.to }

// follow has a request made by an instance, or by the one that has its queue now. It
// returns the one that answered. sent tells that some instance has sent it on.
func (s *Stages) follow(ctx context.Context, m membership.Member, r gather.Request, prompt placing.Prompt, sent bool) (Made, membership.Member, error) {
	for range maxMoves {
		made, err := s.makeAt(ctx, m, r, prompt, sent)
		var moved *movedError
		if !errors.As(err, &moved) {
			return made, m, err
		}
		to := s.memberAt(moved.to)
		s.noteRedirect(m, to)
		m, sent = to, true
	}
	return Made{}, m, errors.Newf("the queue moved %d times", maxMoves)
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
func (s *Stages) pick(now time.Time) (_ membership.Member, redirected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.cluster.View()
	if self, ok := view.Find(view.Self); ok && s.owner.tookLately(now) {
		return self, false
	}
	chosen := holder.Pick(view, func(name string) bool { return s.isAvoided(now, name) })
	if chosen.Name != s.holder {
		s.holder = chosen.Name
		telemetry.InfoS("Holder of the stage queue", telemetry.Event{Peer: chosen.Name, Count: len(view.Live())})
	}
	if to, ok := s.redirected(now, view, chosen.Name); ok {
		return to, true
	}
	return chosen, false
}

// isAvoided tells whether an instance is passed over since it didn't answer; mu is
// held.
func (s *Stages) isAvoided(now time.Time, name string) bool {
	until, ok := s.avoided[name]
	if ok && !now.Before(until) {
		delete(s.avoided, name)
		return false
	}
	return ok
}

func (s *Stages) avoid(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoided[name] = time.Now().Add(avoidFor)
	delete(s.redirects, name)
}

func (s *Stages) makeAt(ctx context.Context, m membership.Member, r gather.Request, prompt placing.Prompt, sent bool) (Made, error) {
	r, bounded := s.ask(m.Address, r)
	if m.Name == s.cluster.View().Self {
		s.takeBackAvoided(ctx, time.Now())
		end, err := s.owner.make(ctx, r, prompt, bounded, false)
		if err == nil && end.movedTo != "" {
			return Made{}, &movedError{end.movedTo}
		}
		if err == nil && end.refused != nil {
			err = &RefusedError{Reason: end.refused.Reason, RetryAfter: end.refused.RetryAfter, Owner: m.Name}
		}
		return Made{Handles: end.handles, Engine: end.engine}, err
	}
	follow := followAsk{*newAsk(time.Now(), r), bounded, sent, s.passed(time.Now())}
	answer, err := s.makeRemote(ctx, m.Address, &placeAsk{follow, prompt})
	if errors.Is(err, peer.ErrConnLost) {
		// The holder keeps the request for a moment, and may well be there.
		answer, err = s.makeRemote(ctx, m.Address, &placeAsk{follow, prompt})
	}
	if err != nil {
		return Made{}, err
	}
	s.noteAnswer(time.Now(), m.Address)
	if answer.Follow.Moved != "" {
		return Made{}, &movedError{answer.Follow.Moved}
	}
	if made := answer.Follow.Made; made.Reason != "" {
		return Made{}, &RefusedError{Reason: gather.Reason(made.Reason), RetryAfter: made.RetryAfter, Owner: m.Name}
	}
	s.owner.noteRead(prompt, answer.Engine)
	return Made{Handles: answer.Follow.Made.Handles, Engine: answer.Engine}, nil
}

// makeRemote asks another instance; one of an earlier version by the latest method that
// it knows.
func (s *Stages) makeRemote(ctx context.Context, address string, ask *placeAsk) (placeAnswer, error) {
	var answer placeAnswer
	err := s.callFor(ctx, address, methodPlace, ask, &answer)
	if errors.Is(err, peer.ErrNoMethod) {
		err = s.callFor(ctx, address, methodFollow, &ask.Follow, &answer.Follow)
	}
	if errors.Is(err, peer.ErrNoMethod) {
		err = s.callFor(ctx, address, methodMake, &ask.Follow.Make, &answer.Follow.Made)
	}
	return answer, err
}

// callFor calls a method with a message and reads its answer.
func (s *Stages) callFor(ctx context.Context, address, method string, message, answer any) error {
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

func (s *Stages) handleMake(ctx context.Context, from peer.Peer, body []byte) ([]byte, error) {
	var ask makeAsk
	if err := msgpack.Unmarshal(body, &ask); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	answer, err := s.makeFor(ctx, from, &placeAsk{Follow: followAsk{Make: ask, Sent: true}})
	if err != nil {
		return nil, err
	}
	if answer.Follow.Moved != "" {
		return nil, errMoved
	}
	return encode(&answer.Follow.Made)
}

func (s *Stages) handleFollow(ctx context.Context, from peer.Peer, body []byte) ([]byte, error) {
	var ask placeAsk
	if err := msgpack.Unmarshal(body, &ask.Follow); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	answer, err := s.makeFor(ctx, from, &ask)
	if err != nil {
		return nil, err
	}
	return encode(&answer.Follow)
}

func (s *Stages) handlePlace(ctx context.Context, from peer.Peer, body []byte) ([]byte, error) {
	var ask placeAsk
	if err := msgpack.Unmarshal(body, &ask); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	answer, err := s.makeFor(ctx, from, &ask)
	if err != nil {
		return nil, err
	}
	return encode(answer)
}

// makeFor has the stages of another instance's request run.
func (s *Stages) makeFor(ctx context.Context, from peer.Peer, ask *placeAsk) (*placeAnswer, error) {
	if to := s.sendOn(time.Now(), &ask.Follow); to != "" {
		return &placeAnswer{Follow: followAnswer{Moved: to}}, nil
	}
	if s.lostHolder(ctx, &ask.Follow) || s.relays(time.Now(), &ask.Follow) {
		return s.relay(ctx, ask)
	}
	r := ask.Follow.Make.request(time.Now())
	end, err := s.owner.make(ctx, r, ask.Prompt, ask.Follow.Bounded, true)
	if err != nil {
		return nil, err
	}
	answer := &placeAnswer{followAnswer{Made: makeAnswer{Handles: end.handles}, Moved: end.movedTo}, end.engine}
	switch {
	case end.refused != nil:
		answer.Follow.Made.Reason, answer.Follow.Made.RetryAfter = string(end.refused.Reason), end.refused.RetryAfter
	case end.movedTo == "":
		s.owner.noteReader(r.ID, reading{sender{from.Name, from.Incarnation}, r.Deadline})
	}
	return answer, nil
}

// Held returns the number of requests whose stages this instance holds, and of calls
// that it carries out, also for another instance's queue.
func (s *Stages) Held() int {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	return s.owner.planner.Held() + s.owner.running + len(s.owner.freeing)
}
