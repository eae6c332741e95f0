package gather

import (
	"slices"
	"time"
)

// freeReservationTime is how long capacity stays reserved for results that are being freed
// during a handover of the queue: the call that frees them is delayed by 40 ms for batching
// and takes a few ms.
const freeReservationTime = 150 * time.Millisecond

// Export removes and returns all that the planner holds. Its calls in progress continue;
// their ends are reported to the planner that imports the state.
func (p *Planner) Export(now time.Time) State {
	var state State
	index := map[*target]int{}
	for _, s := range p.services {
		state.Times = append(state.Times, s.exportTimes())
		for _, t := range s.targets {
			p.exportTarget(now, &state, index, t)
		}
	}
	for _, c := range p.calls {
		state.Calls = append(state.Calls, p.exportCall(now, &state, index, c))
	}
	for _, req := range p.requests {
		state.Requests = append(state.Requests, p.exportRequest(now, &state, index, req))
	}
	for handle, f := range p.freeing {
		delete(p.freeing, handle)
		i := p.exportTarget(now, &state, index, f.target)
		f.target.usedBytes -= f.bytes
		held := &state.Targets[i]
		held.Reserved = append(held.Reserved, ReservedCapacity{f.bytes, freeReservationTime})
	}
	clear(p.requests)
	clear(p.calls)
	p.ExportReservations(now) // lost unless ExportSchedule has exported them
	for _, s := range p.services {
		s.queue, s.backlog, s.flow = nil, newBacklog(), releaseFlow{}
		s.shares.clearQueued()
	}
	return state
}

func (s *service) exportTimes() LearnedTimes {
	times := LearnedTimes{Service: s.name, CallFactor: s.times.callFactor}
	for kind, factor := range s.times.pieceFactors {
		times.Pieces = append(times.Pieces, LearnedPieceTime{kind.route, kind.stage, *factor})
	}
	return times
}

// exportTarget returns the index of a target in the state. Results may also be at targets
// that are no longer listed.
func (p *Planner) exportTarget(now time.Time, state *State, index map[*target]int, t *target) int {
	if i, ok := index[t]; ok {
		return i
	}
	held := TargetState{
		Service: t.service.name, Incarnation: t.Incarnation, Name: t.Name, Address: t.Address, DataCentre: t.DataCentre,
		Replaced: t.replaced, Slowness: t.slowness, Answered: t.answered, DownUntil: relativeTo(now, t.downUntil), UnansweredCalls: t.unansweredCalls, UnsuccessfulCalls: t.unsuccessfulCalls,
	}
	for _, l := range t.reserved {
		held.Reserved = append(held.Reserved, ReservedCapacity{l.bytes, l.until.Sub(now)})
		t.usedBytes -= l.bytes
	}
	t.reserved = nil
	index[t] = len(state.Targets)
	state.Targets = append(state.Targets, held)
	return index[t]
}

func (p *Planner) exportCall(now time.Time, state *State, index map[*target]int, c *call) CallState {
	held := CallState{
		ID: c.id, Target: p.exportTarget(now, state, index, c.target), Bytes: c.bytes,
		StartedAt: relativeTo(now, c.startedAt), OverdueAt: relativeTo(now, c.overdueAt), InputsReadAt: relativeTo(now, c.inputsReadAt),
		TimeoutAt: relativeTo(now, c.timeoutAt), ExpectedDuration: c.expectedDuration, Hedged: c.hedged, InputsFreed: c.inputsFreed,
	}
	for _, ref := range c.pieces {
		piece := PieceState{Stage: ref.stage.index, Index: ref.index, Bytes: ref.stage.ResultBytes}
		if req := ref.stage.request; p.requests[req.ID] == req {
			piece.Request = req.ID
		}
		held.Pieces = append(held.Pieces, piece)
	}
	c.target.calls--
	c.target.usedBytes -= c.bytes
	return held
}

func (p *Planner) exportRequest(now time.Time, state *State, index map[*target]int, req *heldRequest) RequestState {
	held := RequestState{
		ID: req.ID, Route: req.Route, Key: req.Key, Priority: req.Priority, KindPriority: req.KindPriority, Stages: req.Stages,
		Objective: relativeTo(now, req.Objective), Deadline: relativeTo(now, req.Deadline), Remaining: req.Remaining, DataCentre: req.DataCentre,
		AdmittedAt: relativeTo(now, req.admittedAt), Started: req.started, Boosted: req.boosted, DeadlineShortened: req.deadlineShortened, Completed: req.completed,
	}
	for _, s := range req.stages {
		stage := StageState{
			Pending: slices.Clone(s.pending), Resends: s.resends,
			ReadySince: relativeTo(now, s.readySince), InputsReadAt: relativeTo(now, s.inputsReadAt), SentAt: relativeTo(now, s.sentAt), EndedAt: relativeTo(now, s.endedAt),
		}
		for i, r := range s.results {
			if r == nil {
				continue
			}
			stage.Results = append(stage.Results, ResultState{
				Index: i, Handle: r.handle, Target: p.exportTarget(now, state, index, r.target),
				ExpiresAt: relativeTo(now, r.expiresAt), Freed: r.freed,
			})
			if !r.freed {
				r.target.usedBytes -= r.bytes
			}
		}
		held.Progress = append(held.Progress, stage)
	}
	return held
}
