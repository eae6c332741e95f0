package stages

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// methodTakeSchedule sends, before the last part of a handover, how its requests are scheduled.
// Instances of earlier versions don't know it; they continue without.
const methodTakeSchedule = "stages.take_schedule"

// scheduledPerPart limits the requests and the reservations of a message, to some 100 KB.
const scheduledPerPart = 1000

// schedulePart is a part of a schedule.
type schedulePart struct {
	// Number is that of the handover.
	Number uint64
	State  gather.ScheduleState
}

// sendSchedule sends how the requests of a handover are scheduled. If that fails, the other instance
// orders them without this knowledge, which is better than no handover.
func (s *Stages) sendSchedule(ctx context.Context, address string, number uint64) {
	for _, part := range splitSchedule(s.queue.frozenSchedule()) {
		err := s.sendSchedulePart(ctx, address, &schedulePart{Number: number, State: part})
		if errors.Is(err, peer.ErrNoMethod) {
			return
		}
		if err != nil {
			telemetry.ErrorS(err, "Next holder of the stage queue was not told how requests are scheduled", telemetry.Event{Address: address})
			return
		}
	}
}

func (s *Stages) sendSchedulePart(ctx context.Context, address string, part *schedulePart) error {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	body, err := encode(part)
	if err == nil {
		_, err = s.cluster.Call(ctx, address, methodTakeSchedule, body)
	}
	return err
}

// splitSchedule splits a schedule into parts that fit a message.
func splitSchedule(state gather.ScheduleState) []gather.ScheduleState {
	var parts []gather.ScheduleState
	for requests := range slices.Chunk(state.Requests, scheduledPerPart) {
		parts = append(parts, gather.ScheduleState{Requests: requests})
	}
	for reservations := range slices.Chunk(state.Reservations, scheduledPerPart) {
		parts = append(parts, gather.ScheduleState{Reservations: reservations})
	}
	return parts
}

func (s *Stages) handleTakeSchedule(_ context.Context, from peer.Peer, body []byte) ([]byte, error) {
	var part schedulePart
	if err := msgpack.Unmarshal(body, &part); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return nil, nil
	}
	schedule := &s.incomingFrom(from.Name, part.Number).schedule
	if len(schedule.Requests)+len(part.State.Requests) <= gather.DefaultMaxRequests {
		schedule.Requests = append(schedule.Requests, part.State.Requests...)
	}
	if len(schedule.Reservations)+len(part.State.Reservations) <= gather.DefaultMaxRequests {
		schedule.Reservations = append(schedule.Reservations, part.State.Reservations...)
	}
	return nil, nil
}

// incomingFrom returns the handover of a number from an instance. mu must be held.
func (s *Stages) incomingFrom(name string, number uint64) *incomingHandover {
	t := s.incoming[name]
	if t == nil || t.number != number {
		s.removeStaleHandovers(time.Now())
		t = &incomingHandover{number: number, startedAt: time.Now()}
		s.incoming[name] = t
	}
	return t
}

// frozenSchedule returns how the requests of the frozen queue are scheduled.
func (q *queue) frozenSchedule() gather.ScheduleState {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.exportedSchedule
}

// prepareSchedule takes how the requests of the next queue that is taken over are scheduled.
func (q *queue) prepareSchedule(state gather.ScheduleState) {
	if state.Empty() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.planner.ImportSchedule(time.Now(), state)
}
