package gather

import (
	"slices"
	"time"
)

// freeingFor is how long room counts as taken whose results are being given back as
// the queue changes hands: the call to their maker is gathered for 40 ms and takes a
// few.
const freeReservationTime = 150 * time.Millisecond

// Export takes out all that the planner holds. Its calls in progress go on; their
// ends belong to the planner that imports the state.
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
	for _, w := range p.requests {
		state.Requests = append(state.Requests, p.exportRequest(now, &state, index, w))
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
	for _, s := range p.services {
		s.queue = nil
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

// exportTarget returns the index of a target in the state. Results may also be at
// targets that are no longer listed.
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
		if w := ref.stage.request; p.requests[w.ID] == w {
			piece.Request = w.ID
		}
		held.Pieces = append(held.Pieces, piece)
	}
	c.target.calls--
	c.target.usedBytes -= c.bytes
	return held
}

func (p *Planner) exportRequest(now time.Time, state *State, index map[*target]int, w *heldRequest) RequestState {
	held := RequestState{
		ID: w.ID, Route: w.Route, Key: w.Key, Priority: w.Priority, KindPriority: w.KindPriority, Stages: w.Stages,
		Objective: relativeTo(now, w.Objective), Deadline: relativeTo(now, w.Deadline), Remaining: w.Remaining, DataCentre: w.DataCentre,
		AdmittedAt: relativeTo(now, w.admittedAt), Started: w.started, Boosted: w.boosted, DeadlineShortened: w.deadlineShortened, Completed: w.completed,
	}
	for _, s := range w.stages {
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
