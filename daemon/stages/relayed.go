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

// responseValidity is how long an instance counts as responsive after a response. It is less
// than the time for which requesters wait for a silent instance.
const responseValidity = time.Second

// maxLastResponses limits the instances whose responses are recorded.
const maxLastResponses = 64

// relayedSweepSize is the number of recorded relayed requests at and above which the expired
// ones are removed before another one is recorded.
const relayedSweepSize = 256

// relayedRequest is a request that this instance relays to the holder of the queue for a
// requester that can't reach the holder.
type relayedRequest struct {
	// holder is the address of the instance that has the request. It is empty until the
	// request ends.
	holder   string
	deadline time.Time
	cancel   context.CancelFunc
}

// recordResponse records that an instance responded.
func (s *Stages) recordResponse(now time.Time, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lastResponse) > maxLastResponses {
		clear(s.lastResponse)
	}
	s.lastResponse[address] = now
}

// shouldRelay reports whether a request is relayed to the holder because its requester can't
// reach it.
//
// Relaying prevents a second queue: while only some instances reach the holder, the others
// would otherwise start a queue elsewhere, and both queues would send calls to the same targets.
func (s *Stages) shouldRelay(now time.Time, request *redirectableRequest) bool {
	if request.Redirected || len(request.Avoided) == 0 || s.queue.servesHere(now, request.Run.ID) {
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
	return chosen.Name != view.Self && slices.Contains(request.Avoided, chosen.Address) && ok && now.Sub(at) < responseValidity
}

// relay runs the stages of another instance's request at the holder.
func (s *Stages) relay(ctx context.Context, request *scheduleRequest) (*scheduleResponse, error) {
	r := request.request(time.Now())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.recordRelayed(r.ID, relayedRequest{deadline: r.Deadline, cancel: cancel})
	result, err := s.execute(ctx, r, request.Assign.Prompt, true)
	var refused *RefusedError
	if err != nil {
		s.removeRelayed(r.ID)
	}
	switch {
	case errors.As(err, &refused):
		run := runResponse{Reason: string(refused.Reason), RetryAfter: refused.RetryAfter}
		return &scheduleResponse{Paced: pacedResponse{Assign: assignResponse{Redirectable: redirectableResponse{Run: run}}}, Reserved: refused.Reserved}, nil
	case err != nil:
		return nil, err
	}
	s.recordRelayed(r.ID, relayedRequest{holder: result.Holder, deadline: r.Deadline, cancel: cancel})
	return &scheduleResponse{Paced: pacedResponse{
		Assign:    assignResponse{Redirectable: redirectableResponse{Run: runResponse{Handles: result.Handles}}, Engine: result.Engine},
		SendAfter: time.Until(result.SendAt),
	}}, nil
}

// recordRelayed records a request that is relayed.
func (s *Stages) recordRelayed(id string, r relayedRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.relayed) >= relayedSweepSize {
		now := time.Now()
		maps.DeleteFunc(s.relayed, func(_ string, r relayedRequest) bool { return now.After(r.deadline) })
	}
	s.relayed[id] = r
}

// removeRelayed removes and returns a request that was relayed.
func (s *Stages) removeRelayed(id string) (relayedRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.relayed[id]
	delete(s.relayed, id)
	return r, ok
}

// dropEnded drops the ended requests that are held here, and reports those that were relayed
// to their holders. It waits for these reports, since the requester may send the requests again next.
func (s *Stages) dropEnded(ctx context.Context, ends []placing.RequestEnd) {
	local := make([]placing.RequestEnd, 0, len(ends))
	for _, end := range ends {
		if end.EndsStream() {
			local = append(local, end)
			continue
		}
		r, ok := s.removeRelayed(end.Request)
		switch {
		case !ok:
			local = append(local, end)
		case r.holder == "":
			r.cancel()
		default:
			end.Running = false // its end won't be forwarded
			s.Drop(r.holder, end)
		}
	}
	s.queue.drop(local...)
	ids := make([]string, len(ends))
	for i, end := range ends {
		ids[i] = end.Request
	}
	s.awaitForwarded(ctx, ids...)
}

// awaitForwarded waits until the ends of requests that are reported to other instances have arrived
// there, so that requesters may send the requests there, or until forwardWait is over.
func (s *Stages) awaitForwarded(ctx context.Context, ids ...string) {
	ctx, cancel := context.WithTimeout(ctx, forwardWait)
	defer cancel()
	for _, id := range ids {
		s.awaitEndReports(ctx, id)
	}
}
