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
const proofFor = time.Second

// maxAnswered bounds the instances of which answers are remembered.
const maxAnswered = 64

// sweepRelayed is the number of requests passed on from which those are looked for whose
// time is over.
const sweepRelayed = 256

// relayed is a request that this instance passed on to the holder of the queue for one
// that doesn't reach it.
type relayed struct {
	// owner is the address of the instance that has it, empty before its end.
	owner  string
	until  time.Time
	cancel context.CancelFunc
}

// noteAnswer notes that an instance answered.
func (s *Stages) noteAnswer(now time.Time, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.answered) > maxAnswered {
		clear(s.answered)
	}
	s.answered[address] = now
}

// relays tells whether a request of an asker that doesn't reach the holder is passed on
// to it.
//
// It guards against a second queue: while some instances don't reach the holder and the
// others do, each of two queues sends calls to the same targets.
func (s *Stages) relays(now time.Time, ask *followAsk) bool {
	if ask.Sent || len(ask.Passed) == 0 || s.owner.keeps(now, ask.Make.ID) {
		return false
	}
	view := s.cluster.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen := holder.Pick(view, func(name string) bool { return s.isAvoided(now, name) })
	if to, ok := s.redirected(now, view, chosen.Name); ok {
		chosen = to
	}
	at, ok := s.answered[chosen.Address]
	return chosen.Name != view.Self && slices.Contains(ask.Passed, chosen.Address) && ok && now.Sub(at) < proofFor
}

// relay has the stages of another instance's request run by the holder.
func (s *Stages) relay(ctx context.Context, ask *placeAsk) (*placeAnswer, error) {
	r := ask.Follow.Make.request(time.Now())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.noteRelayed(r.ID, relayed{until: r.Deadline, cancel: cancel})
	made, err := s.makeFrom(ctx, r, ask.Prompt, true)
	var refused *RefusedError
	if err != nil {
		s.forgetRelayed(r.ID)
	}
	switch {
	case errors.As(err, &refused):
		return &placeAnswer{Follow: followAnswer{Made: makeAnswer{Reason: string(refused.Reason), RetryAfter: refused.RetryAfter}}}, nil
	case err != nil:
		return nil, err
	}
	s.noteRelayed(r.ID, relayed{owner: made.Owner, until: r.Deadline, cancel: cancel})
	return &placeAnswer{Follow: followAnswer{Made: makeAnswer{Handles: made.Handles}}, Engine: made.Engine}, nil
}

// noteRelayed notes a request that is passed on.
func (s *Stages) noteRelayed(id string, r relayed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.relayed) >= sweepRelayed {
		now := time.Now()
		maps.DeleteFunc(s.relayed, func(_ string, r relayed) bool { return now.After(r.until) })
	}
	s.relayed[id] = r
}

// forgetRelayed forgets a request that was passed on, and returns it.
func (s *Stages) forgetRelayed(id string) (relayed, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.relayed[id]
	delete(s.relayed, id)
	return r, ok
}

// dropHere drops ended requests that are held here, and tells their holder of those
// that were passed on.
func (s *Stages) dropHere(served []placing.RequestEnd) {
	here := make([]placing.RequestEnd, 0, len(served))
	for _, one := range served {
		r, ok := s.forgetRelayed(one.Request)
		switch {
		case !ok:
			here = append(here, one)
		case r.owner == "":
			r.cancel()
		default:
			s.Drop(r.owner, one)
		}
	}
	s.owner.drop(here...)
}
