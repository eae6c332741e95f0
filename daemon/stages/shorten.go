package stages

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// methodShorten shortens the deadlines of requests of a stopping instance.
const methodShorten = "stages.bound"

// shortenTimeout limits the request to shorten deadlines.
const shortenTimeout = time.Second

// shortenRequest is the body of methodShorten.
type shortenRequest struct {
	// Remaining is the time until the new deadline.
	Remaining time.Duration
	IDs       []string
}

// waitingRequest is a request of this instance that waits for its stages.
type waitingRequest struct {
	// holder is the address of the instance that was asked last.
	holder string
	// deadline is the deadline set by ShortenDeadlines. It is zero if there is none.
	deadline time.Time
}

// ShortenDeadlines shortens the deadlines of this instance's requests that wait for their
// stages, as the instance begins its planned stop. Execute returns a *RefusedError with
// gather.ReasonStopping at once for requests that won't complete by the new deadline.
// ShortenDeadlines doesn't wait.
//
// Without it a request would wait until the grace period of its instance ends and then be
// given up, when its caller has no time left to be served elsewhere.
func (s *Stages) ShortenDeadlines(deadline time.Time, ids ...string) {
	s.mu.Lock()
	byHolder := map[string][]string{}
	for _, id := range ids {
		if waiting := s.waiting[id]; waiting != nil {
			waiting.deadline = deadline
			byHolder[waiting.holder] = append(byHolder[waiting.holder], id)
		}
	}
	s.mu.Unlock()
	self, _ := s.cluster.View().Find(s.cluster.View().Self)
	for holder, ids := range byHolder {
		if holder == self.Address {
			s.queue.shortenDeadlines(deadline, ids)
			continue
		}
		go s.sendShorten(holder, deadline, ids)
	}
}

func (s *Stages) sendShorten(holder string, deadline time.Time, ids []string) {
	body, err := encode(&shortenRequest{Remaining: time.Until(deadline), IDs: ids})
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), shortenTimeout)
		defer cancel()
		_, err = s.cluster.Call(ctx, holder, methodShorten, body)
	}
	if err != nil {
		// The requests end at their own deadlines, or with this instance.
		telemetry.ErrorS(err, "Holder of the stage queue was not told of a stop", telemetry.Event{Peer: holder, Count: len(ids)})
	}
}

func (s *Stages) handleShorten(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var request shortenRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	s.queue.shortenDeadlines(time.Now().Add(request.Remaining), request.IDs)
	return nil, nil
}

// shortenDeadlines shortens the deadlines of requests. For a request that has moved
// meanwhile, its requester sends the new deadline with the request to the new holder.
func (q *queue) shortenDeadlines(deadline time.Time, ids []string) {
	q.apply(func(p *gather.Planner) []gather.Action { return p.ShortenDeadlines(time.Now(), deadline, ids...) })
}

// addWaiting records the instance that is asked to run a request's stages. It returns the
// request with its current deadline, and true if ShortenDeadlines set this deadline.
func (s *Stages) addWaiting(holder string, r gather.Request) (gather.Request, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := s.waiting[r.ID]
	if waiting == nil {
		waiting = &waitingRequest{}
		s.waiting[r.ID] = waiting
	}
	waiting.holder = holder
	if waiting.deadline.IsZero() || !waiting.deadline.Before(r.Deadline) {
		return r, false
	}
	r.Deadline = waiting.deadline
	return r, true
}

// removeWaiting removes a request whose stages have ended.
func (s *Stages) removeWaiting(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
}
