package stages

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// This file handles the requests that other instances send to the holder of the queue.

func (s *Stages) handleRun(ctx context.Context, from peer.Peer, body []byte) ([]byte, error) {
	var request runRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	response, err := s.executeFor(ctx, from, &scheduleRequest{Assign: assignRequest{Redirectable: redirectableRequest{Run: request, Redirected: true}}})
	if err != nil {
		return nil, err
	}
	if response.Paced.Assign.Redirectable.MovedTo != "" {
		return nil, errMoved
	}
	return encode(&response.Paced.Assign.Redirectable.Run)
}

func (s *Stages) handleRedirectable(ctx context.Context, from peer.Peer, body []byte) ([]byte, error) {
	var request scheduleRequest
	if err := msgpack.Unmarshal(body, &request.Assign.Redirectable); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	response, err := s.executeFor(ctx, from, &request)
	if err != nil {
		return nil, err
	}
	return encode(&response.Paced.Assign.Redirectable)
}

func (s *Stages) handleAssign(ctx context.Context, from peer.Peer, body []byte) ([]byte, error) {
	response, err := s.assignFor(ctx, from, body)
	if err != nil {
		return nil, err
	}
	return encode(&response.Paced.Assign)
}

func (s *Stages) handleAssignPaced(ctx context.Context, from peer.Peer, body []byte) ([]byte, error) {
	response, err := s.assignFor(ctx, from, body)
	if err != nil {
		return nil, err
	}
	return encode(&response.Paced)
}

func (s *Stages) handleSchedule(ctx context.Context, from peer.Peer, body []byte) ([]byte, error) {
	request, err := decodeSchedule(body)
	if err != nil {
		return nil, err
	}
	response, err := s.executeFor(ctx, from, request)
	if err != nil {
		return nil, err
	}
	return encode(response)
}

// assignFor runs the stages of another instance's request, given as an encoded assignRequest.
func (s *Stages) assignFor(ctx context.Context, from peer.Peer, body []byte) (*scheduleResponse, error) {
	var request scheduleRequest
	if err := msgpack.Unmarshal(body, &request.Assign); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	return s.executeFor(ctx, from, &request)
}

// executeFor runs the stages of another instance's request.
func (s *Stages) executeFor(ctx context.Context, from peer.Peer, request *scheduleRequest) (*scheduleResponse, error) {
	redirectable := &request.Assign.Redirectable
	if to := s.redirectTo(time.Now(), redirectable); to != "" {
		return &scheduleResponse{Paced: pacedResponse{Assign: assignResponse{Redirectable: redirectableResponse{MovedTo: to}}}}, nil
	}
	if s.relaysToYielded(ctx, redirectable) || s.shouldRelay(time.Now(), redirectable) {
		return s.relay(ctx, request)
	}
	r := request.request(time.Now())
	if s.awaitLimits(ctx, from.Address); ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	s.awaitQueueClaim(ctx)
	end, err := s.queue.execute(ctx, r, request.Assign.Prompt, redirectable.DeadlineShortened, true)
	if err != nil {
		return nil, err
	}
	if end.movedTo != "" {
		s.awaitForwarded(ctx, r.ID)
	}
	response := &scheduleResponse{Paced: pacedResponse{Assign: assignResponse{
		redirectableResponse{Run: runResponse{Handles: end.handles}, MovedTo: end.movedTo}, end.engine,
	}}}
	if !end.sendAt.IsZero() {
		response.Paced.SendAfter = time.Until(end.sendAt)
	}
	run := &response.Paced.Assign.Redirectable.Run
	switch {
	case end.refused != nil:
		run.Reason, run.RetryAfter = string(end.refused.Reason), end.refused.RetryAfter
		response.Reserved = end.refused.Reserved
	case end.movedTo == "":
		s.queue.recordReader(r.ID, resultReader{instanceID{from.Name, from.Incarnation}, r.Deadline})
	}
	return response, nil
}
