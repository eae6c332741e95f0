package stages

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/holder"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
)

// proofFor is how long an answer proves that its instance goes on answering: less than
// those who ask one that is silent wait for it.
const responseValidity = time.Second

// maxAnswered bounds the instances of which answers are remembered.
const maxLastResponses = 64

// sweepRelayed is the number of requests passed on from which those are looked for whose
// time is over.
const relayedSweepSize = 256

// relayed is a request that this instance passed on to the holder of the queue for one
// that doesn't reach it.
type relayedRequest struct {
	// owner is the address of the instance that has it, empty before its end.
	holder   string
	deadline time.Time
	cancel   context.CancelFunc
}

// noteAnswer notes that an instance answered.
func (s *Stages) recordResponse(now time.Time, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lastResponse) > maxLastResponses {
		clear(s.lastResponse)
	}
	s.lastResponse[address] = now
}

// relays tells whether a request of an asker that doesn't reach the holder is passed on
// to it.
//
// It guards against a second queue: while some instances don't reach the holder and the
// others do, each of two queues sends calls to the same targets.
func (s *Stages) shouldRelay(now time.Time, ask *redirectableRequest) bool {
	if ask.Redirected || len(ask.Avoided) == 0 || s.queue.servesHere(now, ask.Run.ID) {
		return false
	}
	view := s.cluster.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen := holder.Pick(view, func(name string) bool { return s.isAvoided(now, name) })
	if to, ok := s.lookUpRedirect(now, view, chosen.Name); ok {
		chosen = to
	}
	at, ok := s.lastResponse[chosen.Address]
	return chosen.Name != view.Self && slices.Contains(ask.Avoided, chosen.Address) && ok && now.Sub(at) < responseValidity
}

// relay has the stages of another instance's request run by the holder.
func (s *Stages) relay(ctx context.Context, ask *assignRequest) (*assignResponse, error) {
	r := ask.Redirectable.Run.request(time.Now())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.recordRelayed(r.ID, relayedRequest{deadline: r.Deadline, cancel: cancel})
	made, err := s.execute(ctx, r, ask.Prompt, true)
	var refused *RefusedError
	if err != nil {
		s.removeRelayed(r.ID)
	}
	switch {
	case errors.As(err, &refused):
		return &assignResponse{Redirectable: redirectableResponse{Run: runResponse{Reason: string(refused.Reason), RetryAfter: refused.RetryAfter}}}, nil
	case err != nil:
		return nil, err
	}
	s.recordRelayed(r.ID, relayedRequest{holder: made.Holder, deadline: r.Deadline, cancel: cancel})
	return &assignResponse{Redirectable: redirectableResponse{Run: runResponse{Handles: made.Handles}}, Engine: made.Engine}, nil
}

// noteRelayed notes a request that is passed on.
func (s *Stages) recordRelayed(id string, r relayedRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.relayed) >= relayedSweepSize {
		now := time.Now()
		maps.DeleteFunc(s.relayed, func(_ string, r relayedRequest) bool { return now.After(r.deadline) })
	}
	s.relayed[id] = r
}

// forgetRelayed forgets a request that was passed on, and returns it.
func (s *Stages) removeRelayed(id string) (relayedRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.relayed[id]
	delete(s.relayed, id)
	return r, ok
}

// dropHere drops ended requests that are held here, and tells their holder of those
// that were passed on.
func (s *Stages) dropEnded(served []placing.RequestEnd) {
	here := make([]placing.RequestEnd, 0, len(served))
	for _, one := range served {
		r, ok := s.removeRelayed(one.Request)
		switch {
		case !ok:
			here = append(here, one)
		case r.holder == "":
			r.cancel()
		default:
			s.Drop(r.holder, one)
		}
	}
	s.queue.drop(here...)
}
