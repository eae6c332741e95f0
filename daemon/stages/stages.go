// Package stages has the stages of requests run before the requests themselves.
//
// One instance holds the queue of the stage targets, so that calls are full; the
// others hand it their requests. Which one is a hint that all instances work out
// from the membership: an instance that can't reach it asks the next.
package stages

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/holder"
	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/forward"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// Methods between instances.
const (
	methodMake = "stages.make"
	methodDrop = "stages.drop"
)

const (
	// avoidFor is how long an owner that didn't answer is passed over: the
	// membership finds out meanwhile.
	avoidFor = 3 * time.Second
	// dropDelay gathers the requests whose results have been read.
	dropDelay = 30 * time.Millisecond
	// dropTimeout bounds the word that results have been read.
	dropTimeout = 2 * time.Second
	// maxOwners bounds the instances that one request is handed to.
	maxOwners = 3
)

// Cluster is what the package needs of the connections between instances.
type Cluster interface {
	View() *membership.View
	Handle(method string, h peer.Handler, opts ...peer.HandleOption)
	Call(ctx context.Context, address, method string, body []byte) ([]byte, error)
}

// Stages makes stage results for this instance's requests and, while it holds
// the queue, for those of others.
type Stages struct {
	cluster Cluster
	owner   *Owner

	mu sync.Mutex
	// holder is the name of the instance that holds the queue, as last believed.
	holder   string
	avoided  map[string]time.Time
	dropping map[string][]string
}

// New registers the methods that other instances call.
func New(c Cluster, d exchange.Dialect, client *forward.Client, leaving func(incarnation string), scope tally.Scope) *Stages {
	s := &Stages{
		cluster:  c,
		owner:    newOwner(d, client, leaving, newMetrics(scope)),
		avoided:  map[string]time.Time{},
		dropping: map[string][]string{},
	}
	c.Handle(methodMake, s.handleMake)
	c.Handle(methodDrop, s.handleDrop)
	return s
}

// Run drives the queue until the context ends.
func (s *Stages) Run(ctx context.Context) error {
	s.owner.run(ctx)
	return nil
}

// SetTargets takes the usable targets of all services.
func (s *Stages) SetTargets(now time.Time, table *routes.Table, usable map[string][]routes.Target) {
	s.owner.setTargets(now, table, usable)
}

// makeAsk is the body of methodMake. Times are what is left, since the clocks of
// two instances differ.
type makeAsk struct {
	ID         string
	Route      string
	Key        string
	Priority   int
	Stages     []stageAsk
	Objective  time.Duration
	Deadline   time.Duration
	Rest       time.Duration
	DataCentre string
	// Kind is the priority of the kind of request.
	Kind int
}

type stageAsk struct {
	Service     string
	After       []int
	Pieces      int
	ResultBytes int64
}

// makeAnswer is the answer of methodMake.
type makeAnswer struct {
	Handles    []string
	Reason     string
	RetryAfter time.Duration
}

// encode writes a message without the names of its fields, which would be a third
// of it.
func encode(message any) ([]byte, error) {
	var b bytes.Buffer
	encoder := msgpack.NewEncoder(&b)
	encoder.UseArrayEncodedStructs(true)
	err := encoder.Encode(message)
	return b.Bytes(), err
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

// Make has all stages of a request run and returns the handles of the final
// ones' results with the instance that holds them. A *RefusedError means that
// the request was given up. The results stay until Drop.
func (s *Stages) Make(ctx context.Context, r gather.Request) (handles []string, owner string, err error) {
	for range maxOwners {
		m := s.pick(time.Now())
		handles, err = s.makeAt(ctx, m, r)
		var refused *RefusedError
		if err == nil || errors.As(err, &refused) {
			return handles, m.Address, err
		}
		if ctx.Err() != nil {
			s.Drop(m.Address, r.ID)
			return nil, "", err
		}
		telemetry.ErrorS(err, "Holder of the stage queue didn't answer", telemetry.Event{RequestID: r.ID, Peer: m.Name})
		s.avoid(m.Name)
	}
	return nil, "", err
}

// pick returns the instance that holds the queue, as far as this one knows.
func (s *Stages) pick(now time.Time) membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.cluster.View()
	chosen := holder.Pick(view, func(name string) bool { return s.isAvoided(now, name) })
	if chosen.Name != s.holder {
		s.holder = chosen.Name
		telemetry.InfoS("Holder of the stage queue", telemetry.Event{Peer: chosen.Name, Count: len(view.Live())})
	}
	return chosen
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
}

func (s *Stages) makeAt(ctx context.Context, m membership.Member, r gather.Request) ([]string, error) {
	if m.Name == s.cluster.View().Self {
		end, err := s.owner.make(ctx, r)
		if err == nil && end.refused != nil {
			err = &RefusedError{Reason: end.refused.Reason, RetryAfter: end.refused.RetryAfter, Owner: m.Name}
		}
		return end.handles, err
	}
	body, err := encode(newAsk(time.Now(), r))
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	answer, err := s.cluster.Call(ctx, m.Address, methodMake, body)
	if err != nil {
		return nil, err
	}
	var a makeAnswer
	if err := msgpack.Unmarshal(answer, &a); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	if a.Reason != "" {
		return nil, &RefusedError{Reason: gather.Reason(a.Reason), RetryAfter: a.RetryAfter, Owner: m.Name}
	}
	return a.Handles, nil
}

func newAsk(now time.Time, r gather.Request) *makeAsk {
	ask := &makeAsk{
		ID: r.ID, Route: r.Route, Key: r.Key, Priority: r.Priority, Kind: r.KindPriority,
		Objective: r.Objective.Sub(now), Deadline: r.Deadline.Sub(now),
		Rest: r.Rest, DataCentre: r.DataCentre,
	}
	for _, st := range r.Stages {
		ask.Stages = append(ask.Stages, stageAsk{Service: st.Service, After: st.After, Pieces: st.Pieces, ResultBytes: st.ResultBytes})
	}
	return ask
}

func (a *makeAsk) request(now time.Time) gather.Request {
	r := gather.Request{
		ID: a.ID, Route: a.Route, Key: a.Key, Priority: a.Priority, KindPriority: a.Kind,
		Objective: now.Add(a.Objective), Deadline: now.Add(a.Deadline),
		Rest: a.Rest, DataCentre: a.DataCentre,
	}
	for _, st := range a.Stages {
		r.Stages = append(r.Stages, gather.Stage{Service: st.Service, After: st.After, Pieces: st.Pieces, ResultBytes: st.ResultBytes})
	}
	return r
}

func (s *Stages) handleMake(ctx context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var ask makeAsk
	if err := msgpack.Unmarshal(body, &ask); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	end, err := s.owner.make(ctx, ask.request(time.Now()))
	if err != nil {
		return nil, err
	}
	answer := makeAnswer{Handles: end.handles}
	if end.refused != nil {
		answer.Reason, answer.RetryAfter = string(end.refused.Reason), end.refused.RetryAfter
	}
	return encode(&answer)
}

// Drop tells the holder that a request's results have been read or that its
// caller left. It doesn't wait.
func (s *Stages) Drop(owner, id string) {
	self, _ := s.cluster.View().Find(s.cluster.View().Self)
	if owner == self.Address {
		s.owner.drop(id)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.dropping[owner]) == 0
	s.dropping[owner] = append(s.dropping[owner], id)
	if first {
		time.AfterFunc(dropDelay, func() { s.sendDrops(owner) })
	}
}

func (s *Stages) sendDrops(owner string) {
	s.mu.Lock()
	ids := s.dropping[owner]
	delete(s.dropping, owner)
	s.mu.Unlock()
	body, err := msgpack.Marshal(ids)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
		defer cancel()
		_, err = s.cluster.Call(ctx, owner, methodDrop, body)
	}
	if err != nil {
		// The holder drops them at their deadlines.
		telemetry.ErrorS(err, "Holder of the stage queue was not told of ended requests", telemetry.Event{Peer: owner, Count: len(ids)})
	}
}

func (s *Stages) handleDrop(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var ids []string
	if err := msgpack.Unmarshal(body, &ids); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	s.owner.drop(ids...)
	return nil, nil
}

// Held returns the number of requests whose stages this instance holds.
func (s *Stages) Held() int {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	return s.owner.planner.Held()
}
