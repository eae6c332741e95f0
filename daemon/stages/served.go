package stages

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// Methods by which askers tell of requests that have ended.
const (
	methodDrop        = "stages.drop"
	methodRequestEnds = "stages.served"
)

const (
	// dropDelay gathers the requests whose results have been read.
	dropDelay = 30 * time.Millisecond
	// dropTimeout bounds the word that results have been read.
	dropTimeout = 2 * time.Second
)

// Drop tells the holder that a request's results have been read, and how its engine did,
// or that its caller left. It doesn't wait.
func (s *Stages) Drop(owner string, served placing.RequestEnd) {
	self, _ := s.cluster.View().Find(s.cluster.View().Self)
	if owner == self.Address {
		s.queue.drop(served)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.pendingDrops[owner]) == 0
	s.pendingDrops[owner] = append(s.pendingDrops[owner], served)
	if first {
		time.AfterFunc(dropDelay, func() { s.sendDrops(owner) })
	}
}

func (s *Stages) sendDrops(owner string) {
	s.mu.Lock()
	served := s.pendingDrops[owner]
	delete(s.pendingDrops, owner)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
	defer cancel()
	if err := s.reportEnds(ctx, owner, served); err != nil {
		// The holder drops them at their deadlines.
		telemetry.ErrorS(err, "Holder of the stage queue was not told of ended requests", telemetry.Event{Peer: owner, Count: len(served)})
		s.dropElsewhere(owner, served)
	}
}

// tellServed tells a holder of ended requests; one of an earlier version just which
// they are.
func (s *Stages) reportEnds(ctx context.Context, owner string, served []placing.RequestEnd) error {
	body, err := encode(served)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	if _, err = s.cluster.Call(ctx, owner, methodRequestEnds, body); !errors.Is(err, peer.ErrNoMethod) {
		return err
	}
	ids := make([]string, len(served))
	for i, one := range served {
		ids[i] = one.Request
	}
	if body, err = msgpack.Marshal(ids); err != nil {
		return errors.Wrap(err, "encode")
	}
	_, err = s.cluster.Call(ctx, owner, methodDrop, body)
	return err
}

// dropElsewhere tells the present holder of ended requests: it may have them from the
// one that didn't answer.
func (s *Stages) dropElsewhere(lost string, served []placing.RequestEnd) {
	next, _ := s.pickHolder(time.Now())
	if next.Address == lost || next.Address == "" {
		return
	}
	for _, one := range served {
		s.Drop(next.Address, one)
	}
}

func (s *Stages) handleDrop(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var ids []string
	if err := msgpack.Unmarshal(body, &ids); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	served := make([]placing.RequestEnd, len(ids))
	for i, id := range ids {
		served[i].Request = id
	}
	s.dropEnded(served)
	return nil, nil
}

func (s *Stages) handleRequestEnds(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var served []placing.RequestEnd
	if err := msgpack.Unmarshal(body, &served); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	s.dropEnded(served)
	return nil, nil
}
