package stages

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/holder"
	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// Methods of a handover between instances.
const (
	methodHandover = "stages.take"
	methodCallEnd  = "stages.ended"
)

const (
	// partTimeout limits one message of a handover. The largest message, of some 200 KB,
	// takes 0.16 s over a link of 10 Mbit/s.
	partTimeout = 500 * time.Millisecond
	// handoverTimeout limits a yield, and the first attempt of a planned stop. The stop
	// waits for this attempt, so the timeout is only a seventh of the usual grace period.
	handoverTimeout = time.Second
	// handoverRetryInterval is the time after which a stopping instance looks again for one
	// that accepts its queue, such as one that has just started.
	handoverRetryInterval = 200 * time.Millisecond
	// requestsPerPart and callsPerPart limit a message of a handover: requests with 40
	// results take some 2 KB each, calls of 128 pieces 3 KB.
	requestsPerPart = 100
	callsPerPart    = 32
	// longHandoverTimeout limits later attempts. It is also the age at which an incomplete
	// incoming handover is removed. It is longer than 40 parts take over a link of 10 Mbit/s.
	longHandoverTimeout = 10 * time.Second
	// limitsTimeout limits how long an instance that has just started lets the sender of a part
	// wait. It is shorter than partTimeout, so that the sender hears of a refusal.
	limitsTimeout = partTimeout / 2
	// callEndTimeout limits the report of a call's end. The new holder counts a call as
	// unanswered if it receives no report.
	callEndTimeout = 2 * time.Second
)

// handoverPart is a part of a handover. The state is imported with the last part, so that an
// incomplete handover has no effect.
type handoverPart struct {
	// Number distinguishes the handovers of one instance.
	Number uint64
	State  gather.State
	Last   bool
}

// handoverResponse tells whether the instance accepts the queue. An instance that is itself
// stopping doesn't.
type handoverResponse struct {
	Accepted bool
}

// callEndReport reports the end of a call that the sender carried out for a queue that it
// handed over.
type callEndReport struct {
	Call    uint64
	Outcome uint8
	Results []gather.PieceResult
}

// Handover is called as this instance begins its planned stop. It hands the queue over to the
// instance that all others pick next. Requesters that wait here are redirected to that instance.
//
// Without a handover the others would pick the next holder at once, while this one continues
// with its requests. Two holders would send calls to the same targets without knowledge of
// each other: calls would find targets full and results no capacity, and requests still held
// when this instance ends would start again elsewhere. With a handover only one instance sends
// calls, and it knows of all calls in progress and all results.
//
// Handover returns when the queue is handed over, when the context ends, or when no instance
// accepts the queue at once. In the latter two cases it keeps trying in the background until
// the instance ends.
func (s *Stages) Handover(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.queue.setYielded(false)
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if !s.awaitHandover(ctx, handoverLimits{handoverTimeout, maxCandidates}) {
		go s.retryHandover()
	}
}

func (s *Stages) nextHolder(now time.Time) (membership.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return holder.Next(s.cluster.View(), func(name string) bool { return s.isAvoided(now, name) })
}

// handoverTo hands the queue over to an instance. If there is no response to the last part,
// the queue counts as handed over: if it were kept, two instances might hold it. If the other
// instance doesn't have it, the requests start again there when their requesters ask.
func (s *Stages) handoverTo(ctx context.Context, next membership.Member) bool {
	start := time.Now()
	state := s.queue.freeze()
	toSend := state
	if len(state.Requests) == 0 && len(state.Calls) == 0 {
		// Knowledge of targets to which an instance sends no calls is outdated.
		toSend.Targets, toSend.Times = nil, nil
		if !s.queue.hasTakenOver() && len(s.queue.frozenSchedule().Reservations) == 0 {
			s.queue.completeHandover(next.Address)
			go s.sendCaches(next.Address)
			return true
		}
		// The next holder may be the instance that handed the queue over to this one, and may
		// still redirect requesters here.
	}
	err := s.sendState(ctx, next.Address, toSend)
	var notAccepted *notAcceptedError
	if errors.As(err, &notAccepted) && errors.Is(err, peer.ErrConnLost) {
		// An instance that was stalled finds its connections lost; requesters use the next
		// one.
		err = s.sendState(ctx, next.Address, toSend)
	}
	if errors.As(err, &notAccepted) {
		telemetry.ErrorS(err, "Stage queue not handed over", telemetry.Event{Peer: next.Name, Count: len(state.Requests)})
		s.queue.unfreeze(state)
		return false
	}
	if err != nil {
		telemetry.ErrorS(err, "Stage queue handed over without a word", telemetry.Event{Peer: next.Name, Count: len(state.Requests)})
	}
	telemetry.InfoS("Stage queue handed over", telemetry.Event{Peer: next.Name, Count: len(state.Requests), Elapsed: time.Since(start)})
	s.queue.completeHandover(next.Address)
	go s.sendCaches(next.Address)
	return true
}

// notAcceptedError means that the other instance certainly doesn't have the queue.
type notAcceptedError struct{ cause error }

func (e *notAcceptedError) Error() string { return "queue not accepted: " + e.cause.Error() }
func (e *notAcceptedError) Unwrap() error { return e.cause }

// errRefused means that the other instance refused the queue, for example because it is itself
// stopping.
var errRefused = errors.New("refused")

// sendState sends a state in parts. A *notAcceptedError means that the other instance certainly
// didn't accept the state.
func (s *Stages) sendState(ctx context.Context, address string, state gather.State) error {
	parts := splitState(state)
	number := uint64(time.Now().UnixNano())
	for i, part := range parts {
		last := i == len(parts)-1
		if last {
			s.sendSchedule(ctx, address, number)
		}
		err := s.sendPart(ctx, address, &handoverPart{Number: number, State: part, Last: last})
		if err != nil && (!last || isNotAccepted(err)) {
			return &notAcceptedError{err}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// isNotAccepted reports whether an instance certainly didn't accept a part: it refused,
// failed or doesn't know the method.
func isNotAccepted(err error) bool {
	var failed *peer.Error
	return errors.Is(err, errRefused) || errors.Is(err, peer.ErrHandler) || (errors.As(err, &failed) && failed.NotRun)
}

func (s *Stages) sendPart(ctx context.Context, address string, part *handoverPart) error {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	var response handoverResponse
	if err := s.callMethod(ctx, address, methodHandover, part, &response); err != nil {
		return err
	}
	if !response.Accepted {
		return errRefused
	}
	return nil
}

// splitState splits a state into parts that fit a message. The targets come first.
func splitState(state gather.State) []gather.State {
	parts := []gather.State{{Targets: state.Targets, Times: state.Times}}
	for calls := range slices.Chunk(state.Calls, callsPerPart) {
		parts = append(parts, gather.State{Calls: calls})
	}
	for requests := range slices.Chunk(state.Requests, requestsPerPart) {
		parts = append(parts, gather.State{Requests: requests})
	}
	return parts
}

// incomingHandover is a handover of which some parts have been received.
type incomingHandover struct {
	number    uint64
	startedAt time.Time
	state     gather.State
	schedule  gather.ScheduleState
}

// handleHandover takes over the queue of an instance that stops. It refuses without waiting
// if this instance stops too, so that two that stop at once don't wait for each other. It also
// refuses if this instance has just started and the limits that targets name aren't known in time:
// the first calls would exceed them.
func (s *Stages) handleHandover(ctx context.Context, from peer.Peer, body []byte) ([]byte, error) {
	var part handoverPart
	if err := msgpack.Unmarshal(body, &part); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	ctx, cancel := context.WithTimeout(ctx, limitsTimeout)
	defer cancel()
	if s.awaitLimits(ctx, from.Address); ctx.Err() != nil {
		return encode(&handoverResponse{})
	}
	incoming, ok := s.addPart(from.Name, &part)
	if ok && part.Last {
		state := incoming.state
		s.queue.prepareSchedule(incoming.schedule)
		ok = s.queue.takeOver(instanceID{from.Name, from.Incarnation}, state)
		telemetry.InfoS("Stage queue taken over", telemetry.Event{Peer: from.Name, Count: len(state.Requests)})
	}
	return encode(&handoverResponse{Accepted: ok})
}

// addPart adds a part to those already received of its handover.
func (s *Stages) addPart(name string, part *handoverPart) (*incomingHandover, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return nil, false
	}
	t := s.incomingFrom(name, part.Number)
	if len(t.state.Requests)+len(part.State.Requests) > gather.DefaultMaxRequests {
		delete(s.incoming, name)
		return nil, false
	}
	t.state.Targets = append(t.state.Targets, part.State.Targets...)
	t.state.Times = append(t.state.Times, part.State.Times...)
	t.state.Calls = append(t.state.Calls, part.State.Calls...)
	t.state.Requests = append(t.state.Requests, part.State.Requests...)
	if part.Last {
		delete(s.incoming, name)
	}
	return t, true
}

// removeStaleHandovers removes incoming handovers that were not completed. mu must be held.
func (s *Stages) removeStaleHandovers(now time.Time) {
	for name, t := range s.incoming {
		if now.Sub(t.startedAt) > longHandoverTimeout {
			delete(s.incoming, name)
		}
	}
}

// reportCallEnd reports the end of a call that this instance carried out to the new holder.
func (s *Stages) reportCallEnd(to string, id uint64, callOutcome gather.CallOutcome, results []gather.PieceResult) {
	if callOutcome == gather.CallTargetCrashed {
		callOutcome = gather.CallUnanswered // instances of the previous version don't know CallTargetCrashed
	}
	body, err := encode(&callEndReport{Call: id, Outcome: uint8(callOutcome), Results: results})
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), callEndTimeout)
		defer cancel()
		_, err = s.cluster.Call(ctx, to, methodCallEnd, body)
	}
	if err != nil {
		// The new holder counts the call as unanswered and runs its pieces again.
		telemetry.ErrorS(err, "Holder of the stage queue was not told of a call's end", telemetry.Event{Peer: to, Count: len(results)})
	}
}

func (s *Stages) handleCallEnd(_ context.Context, from peer.Peer, body []byte) ([]byte, error) {
	var report callEndReport
	if err := msgpack.Unmarshal(body, &report); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	s.queue.remoteCallEnded(instanceID{from.Name, from.Incarnation}, report.Call, gather.CallOutcome(report.Outcome), report.Results)
	return nil, nil
}

// hasTakenOver reports whether this instance has ever taken over a queue.
func (q *queue) hasTakenOver() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.tookOverAt.IsZero()
}
