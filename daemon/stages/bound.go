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

// methodBound is the method by which a stopping instance has its requests end earlier.
const methodShorten = "stages.bound"

// boundTimeout bounds the word that requests must end earlier.
const shortenTimeout = time.Second

// boundAsk is the body of methodBound.
type shortenRequest struct {
	// Left is the time that the requests have from now on.
	Remaining time.Duration
	IDs       []string
}

// asking is a request of this instance that waits for its stages.
type waitingRequest struct {
	// owner is the address of the instance that was asked last.
	holder string
	// until is the earlier deadline that Bound gave it; zero if none.
	deadline time.Time
}

// Bound has requests of this instance that wait for their stages end by an earlier
// time, as it begins its planned stop. Make returns a *RefusedError with
// gather.ReasonStopping at once for those that won't be done by then. It doesn't wait.
//
// The failure it guards against: a request waits until its instance's grace ends and
// is then given up, when its caller has no time left to be served elsewhere.
func (s *Stages) ShortenDeadlines(until time.Time, ids ...string) {
	s.mu.Lock()
	byOwner := map[string][]string{}
	for _, id := range ids {
		if a := s.waiting[id]; a != nil {
			a.deadline = until
			byOwner[a.holder] = append(byOwner[a.holder], id)
		}
	}
	s.mu.Unlock()
	self, _ := s.cluster.View().Find(s.cluster.View().Self)
	for owner, ids := range byOwner {
		if owner == self.Address {
			s.queue.shortenDeadlines(until, ids)
			continue
		}
		go s.sendShorten(owner, until, ids)
	}
}

func (s *Stages) sendShorten(owner string, until time.Time, ids []string) {
	body, err := encode(&shortenRequest{Remaining: time.Until(until), IDs: ids})
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), shortenTimeout)
		defer cancel()
		_, err = s.cluster.Call(ctx, owner, methodShorten, body)
	}
	if err != nil {
		// They end by their own deadlines, or with this instance.
		telemetry.ErrorS(err, "Holder of the stage queue was not told of a stop", telemetry.Event{Peer: owner, Count: len(ids)})
	}
}

func (s *Stages) handleShorten(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var ask shortenRequest
	if err := msgpack.Unmarshal(body, &ask); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	s.queue.shortenDeadlines(time.Now().Add(ask.Remaining), ask.IDs)
	return nil, nil
}

// bound gives requests an earlier deadline. One that has moved meanwhile has it from
// its asker, which asks the new holder with it.
func (o *queue) shortenDeadlines(until time.Time, ids []string) {
	o.apply(func(p *gather.Planner) []gather.Action { return p.ShortenDeadlines(time.Now(), until, ids...) })
}

// ask notes which instance is asked for a request and returns the request with the
// deadline that it has by now; true if Bound gave it.
func (s *Stages) addWaiting(owner string, r gather.Request) (gather.Request, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.waiting[r.ID]
	if a == nil {
		a = &waitingRequest{}
		s.waiting[r.ID] = a
	}
	a.holder = owner
	if a.deadline.IsZero() || !a.deadline.Before(r.Deadline) {
		return r, false
	}
	r.Deadline = a.deadline
	return r, true
}

// asked forgets a request whose stages have ended.
func (s *Stages) removeWaiting(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
}
