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

// Methods of a hand-over between instances.
const (
	methodHandover = "stages.take"
	methodCallEnd  = "stages.ended"
)

const (
	// takeTimeout bounds one message of a hand-over; the largest, of some 200 KB,
	// takes 0.16 s over a link of 10 Mbit/s.
	partTimeout = 500 * time.Millisecond
	// handOverTimeout bounds a yield and the first try of a stop, which waits for it: a
	// seventh of the usual grace.
	handoverTimeout = time.Second
	// retryHandOver is how soon a stopping instance looks again for one that takes
	// its queue over, as one that has just started.
	handoverRetryInterval = 200 * time.Millisecond
	// worksPerPart and callsPerPart bound a message of a hand-over: requests of 40
	// results take some 2 KB each, calls of 128 pieces 3 KB.
	requestsPerPart = 100
	callsPerPart    = 32
	// takingFor bounds later tries, and is after how long a hand-over that breaks off is
	// forgotten: longer than its 40 parts take over a link of 10 Mbit/s.
	longHandoverTimeout = 10 * time.Second
	// endedTimeout bounds the word that a call has ended; the new holder counts a
	// call of which it hears nothing as lost.
	callEndTimeout = 2 * time.Second
)

// takeAsk is a part of a hand-over. The state counts with its last part, so that a
// hand-over that breaks off has no effect.
type handoverPart struct {
	// Number tells the hand-overs of one instance apart.
	Number uint64
	State  gather.State
	Last   bool
}

// takeAnswer tells whether the instance takes the queue; one that stops itself
// doesn't.
type handoverResponse struct {
	Accepted bool
}

// endedAsk passes on the end of a call that its sender carried out for a queue that
// it gave away.
type callEndReport struct {
	Call    uint64
	Outcome uint8
	Results []gather.PieceResult
}

// HandOver gives the queue away as this instance begins its planned stop, to the one
// that all others pick next. Callers that wait here are told to ask there.
//
// The failure it guards against: the others pick the next holder at once, while this
// one goes on with what it holds. Two holders send calls to targets of one place, each
// blind to the other: calls find targets full and results no room, and what is still
// held as the instance ends begins anew elsewhere. Only one instance sends calls now,
// and it knows of all calls in progress and all results.
//
// It returns when the queue is given away, when the context ends, or when no instance
// takes it at once; then it goes on looking until the instance ends.
func (s *Stages) Handover(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.queue.setYielded(false)
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if !s.awaitHandover(ctx, handoverTimeout) {
		go s.retryHandover()
	}
}

func (s *Stages) nextHolder(now time.Time) (membership.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return holder.Next(s.cluster.View(), func(name string) bool { return s.isAvoided(now, name) })
}

// handTo gives the queue to an instance. Without a word from it on the last part the
// queue counts as given away: were it kept, two instances might hold it. Should the
// other not have it, the callers' requests begin anew there.
func (s *Stages) handoverTo(ctx context.Context, next membership.Member) bool {
	begun := time.Now()
	state := s.queue.freeze()
	sent := state
	if len(state.Requests) == 0 && len(state.Calls) == 0 {
		// What an instance knows of targets that it sends no calls is old.
		sent.Targets, sent.Times = nil, nil
		if !s.queue.hasTakenOver() {
			s.queue.completeHandover(next.Address)
			go s.sendCaches(next.Address)
			return true
		}
		// The next one may be who gave the queue away, and name this one to askers.
	}
	err := s.sendState(ctx, next.Address, sent)
	var kept *notAcceptedError
	if errors.As(err, &kept) && errors.Is(err, peer.ErrConnLost) {
		// An instance that stood still finds its connections lost, and askers use the next one.
		err = s.sendState(ctx, next.Address, sent)
	}
	if errors.As(err, &kept) {
		telemetry.ErrorS(err, "Stage queue not handed over", telemetry.Event{Peer: next.Name, Count: len(state.Requests)})
		s.queue.unfreeze(state)
		return false
	}
	if err != nil {
		telemetry.ErrorS(err, "Stage queue handed over without a word", telemetry.Event{Peer: next.Name, Count: len(state.Requests)})
	}
	telemetry.InfoS("Stage queue handed over", telemetry.Event{Peer: next.Name, Count: len(state.Requests), Elapsed: time.Since(begun)})
	s.queue.completeHandover(next.Address)
	go s.sendCaches(next.Address)
	return true
}

// keptError tells that the other instance certainly doesn't have the queue.
type notAcceptedError struct{ cause error }

func (e *notAcceptedError) Error() string { return "not taken: " + e.cause.Error() }
func (e *notAcceptedError) Unwrap() error { return e.cause }

// errRefused is the refusal of an instance that stops itself.
var errRefused = errors.New("refused")

// sendState sends a state in parts. A *keptError tells that it certainly isn't taken.
func (s *Stages) sendState(ctx context.Context, address string, state gather.State) error {
	parts := splitState(state)
	number := uint64(time.Now().UnixNano())
	for i, part := range parts {
		last := i == len(parts)-1
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

// notTaken tells whether an instance certainly didn't take a part: it refused, failed
// or doesn't know the method.
func isNotAccepted(err error) bool {
	var failed *peer.Error
	return errors.Is(err, errRefused) || errors.Is(err, peer.ErrHandler) || (errors.As(err, &failed) && failed.NotRun)
}

func (s *Stages) sendPart(ctx context.Context, address string, ask *handoverPart) error {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	var answer handoverResponse
	if err := s.callMethod(ctx, address, methodHandover, ask, &answer); err != nil {
		return err
	}
	if !answer.Accepted {
		return errRefused
	}
	return nil
}

// split cuts a state into parts that fit a message. The targets come first.
func splitState(state gather.State) []gather.State {
	parts := []gather.State{{Targets: state.Targets, Times: state.Times}}
	for calls := range slices.Chunk(state.Calls, callsPerPart) {
		parts = append(parts, gather.State{Calls: calls})
	}
	for works := range slices.Chunk(state.Requests, requestsPerPart) {
		parts = append(parts, gather.State{Requests: works})
	}
	return parts
}

// taking is a hand-over of which parts have come.
type incomingHandover struct {
	number    uint64
	startedAt time.Time
	state     gather.State
}

// handleTake takes over the queue of an instance that stops. It refuses without a
// wait when this one stops too: two that stop at once don't wait for each other.
func (s *Stages) handleHandover(_ context.Context, from peer.Peer, body []byte) ([]byte, error) {
	var ask handoverPart
	if err := msgpack.Unmarshal(body, &ask); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	state, ok := s.addPart(from.Name, &ask)
	if ok && ask.Last {
		ok = s.queue.takeOver(instanceID{from.Name, from.Incarnation}, state)
		telemetry.InfoS("Stage queue taken over", telemetry.Event{Peer: from.Name, Count: len(state.Requests)})
	}
	return encode(&handoverResponse{Accepted: ok})
}

// gatherParts adds a part to those that have come of its hand-over.
func (s *Stages) addPart(name string, ask *handoverPart) (gather.State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return gather.State{}, false
	}
	t := s.incoming[name]
	if t == nil || t.number != ask.Number {
		s.removeStaleHandovers(time.Now())
		t = &incomingHandover{number: ask.Number, startedAt: time.Now()}
		s.incoming[name] = t
	}
	if len(t.state.Requests)+len(ask.State.Requests) > gather.DefaultMaxRequests {
		delete(s.incoming, name)
		return gather.State{}, false
	}
	t.state.Targets = append(t.state.Targets, ask.State.Targets...)
	t.state.Times = append(t.state.Times, ask.State.Times...)
	t.state.Calls = append(t.state.Calls, ask.State.Calls...)
	t.state.Requests = append(t.state.Requests, ask.State.Requests...)
	if ask.Last {
		delete(s.incoming, name)
	}
	return t.state, true
}

// forgetTaking forgets hand-overs that broke off; mu is held.
func (s *Stages) removeStaleHandovers(now time.Time) {
	for name, t := range s.incoming {
		if now.Sub(t.startedAt) > longHandoverTimeout {
			delete(s.incoming, name)
		}
	}
}

// passEnd tells the new holder of the end of a call that this instance carried out.
func (s *Stages) reportCallEnd(to string, id uint64, how gather.CallOutcome, results []gather.PieceResult) {
	if how == gather.CallTargetCrashed {
		how = gather.CallUnanswered // instances of the version before know no other
	}
	body, err := encode(&callEndReport{Call: id, Outcome: uint8(how), Results: results})
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), callEndTimeout)
		defer cancel()
		_, err = s.cluster.Call(ctx, to, methodCallEnd, body)
	}
	if err != nil {
		// The new holder counts the call as lost and has its pieces made again.
		telemetry.ErrorS(err, "Holder of the stage queue was not told of a call's end", telemetry.Event{Peer: to, Count: len(results)})
	}
}

func (s *Stages) handleCallEnd(_ context.Context, from peer.Peer, body []byte) ([]byte, error) {
	var ask callEndReport
	if err := msgpack.Unmarshal(body, &ask); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	s.queue.remoteCallEnded(instanceID{from.Name, from.Incarnation}, ask.Call, gather.CallOutcome(ask.Outcome), ask.Results)
	return nil, nil
}

// everTookOver tells whether this instance has had another's queue.
func (o *queue) hasTakenOver() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.tookOverAt.IsZero()
}
