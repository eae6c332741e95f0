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

// Methods by which requesters report ended requests.
const (
	methodDrop        = "stages.drop"
	methodRequestEnds = "stages.served"
)

const (
	// dropDelay is the time in which the ends of requests are collected for one message.
	dropDelay = 30 * time.Millisecond
	// dropTimeout limits the report that results have been read.
	dropTimeout = 2 * time.Second
)

// Drop reports to the holder that the results of a request have been read, together with the
// performance of the request's engine, or that the caller left. It doesn't wait.
func (s *Stages) Drop(holder string, end placing.RequestEnd) {
	self, _ := s.cluster.View().Find(s.cluster.View().Self)
	if holder == self.Address {
		s.queue.drop(end)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.pendingDrops[holder]) == 0
	s.pendingDrops[holder] = append(s.pendingDrops[holder], end)
	if first {
		time.AfterFunc(dropDelay, func() { s.sendDrops(holder) })
	}
}

func (s *Stages) sendDrops(holder string) {
	s.mu.Lock()
	ends := s.pendingDrops[holder]
	delete(s.pendingDrops, holder)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
	defer cancel()
	if err := s.reportEnds(ctx, holder, ends); err != nil {
		// The holder drops the requests at their deadlines.
		telemetry.ErrorS(err, "Holder of the stage queue was not told of ended requests", telemetry.Event{Peer: holder, Count: len(ends)})
		s.dropElsewhere(holder, ends)
	}
}

// reportEnds reports ended requests to a holder. A holder of an earlier version receives only
// the IDs of the requests.
func (s *Stages) reportEnds(ctx context.Context, holder string, ends []placing.RequestEnd) error {
	body, err := encode(ends)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	if _, err = s.cluster.Call(ctx, holder, methodRequestEnds, body); !errors.Is(err, peer.ErrNoMethod) {
		return err
	}
	ids := make([]string, len(ends))
	for i, end := range ends {
		ids[i] = end.Request
	}
	if body, err = msgpack.Marshal(ids); err != nil {
		return errors.Wrap(err, "encode")
	}
	_, err = s.cluster.Call(ctx, holder, methodDrop, body)
	return err
}

// dropElsewhere reports ended requests to the present holder, which may have taken them over
// from the instance that didn't respond.
func (s *Stages) dropElsewhere(failed string, ends []placing.RequestEnd) {
	next, _ := s.pickHolder(time.Now())
	if next.Address == failed || next.Address == "" {
		return
	}
	for _, end := range ends {
		s.Drop(next.Address, end)
	}
}

func (s *Stages) handleDrop(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var ids []string
	if err := msgpack.Unmarshal(body, &ids); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	ends := make([]placing.RequestEnd, len(ids))
	for i, id := range ids {
		ends[i].Request = id
	}
	s.dropEnded(ends)
	return nil, nil
}

func (s *Stages) handleRequestEnds(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var ends []placing.RequestEnd
	if err := msgpack.Unmarshal(body, &ends); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	s.dropEnded(ends)
	return nil, nil
}
