package gather

import (
	"slices"
	"time"
)

// freeingFor is how long room counts as taken whose results are being given back as
// the queue changes hands: the call to their maker is gathered for 40 ms and takes a
// few.
const freeingFor = 150 * time.Millisecond

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
	for _, w := range p.works {
		state.Works = append(state.Works, p.exportWork(now, &state, index, w))
	}
	for handle, f := range p.freeing {
		delete(p.freeing, handle)
		i := p.exportTarget(now, &state, index, f.target)
		f.target.heldBytes -= f.bytes
		held := &state.Targets[i]
		held.Occupied = append(held.Occupied, HeldRoom{f.bytes, freeingFor})
	}
	clear(p.works)
	clear(p.calls)
	for _, s := range p.services {
		s.queue = nil
	}
	return state
}

func (s *service) exportTimes() HeldTimes {
	times := HeldTimes{Service: s.name, Fixed: s.times.fixed}
	for kind, factor := range s.times.pieces {
		times.Pieces = append(times.Pieces, HeldPieceTime{kind.route, kind.stage, *factor})
	}
	return times
}

// exportTarget returns the index of a target in the state. Results may also be at
// targets that are no longer listed.
func (p *Planner) exportTarget(now time.Time, state *State, index map[*target]int, t *target) int {
	if i, ok := index[t]; ok {
		return i
	}
	held := HeldTarget{
		Service: t.service.name, Incarnation: t.Incarnation, Name: t.Name, Address: t.Address, DataCentre: t.DataCentre,
		Ended: t.ended, Slow: t.slow, Answered: t.answered, DownUntil: left(now, t.downUntil), Failures: t.failures, Strikes: t.strikes,
	}
	for _, l := range t.lost {
		held.Occupied = append(held.Occupied, HeldRoom{l.bytes, l.expires.Sub(now)})
		t.heldBytes -= l.bytes
	}
	t.lost = nil
	index[t] = len(state.Targets)
	state.Targets = append(state.Targets, held)
	return index[t]
}

func (p *Planner) exportCall(now time.Time, state *State, index map[*target]int, c *call) HeldCall {
	held := HeldCall{
		ID: c.id, Target: p.exportTarget(now, state, index, c.target), Bytes: c.bytes,
		Started: left(now, c.started), Overdue: left(now, c.overdue), ReadBy: left(now, c.readBy),
		Expires: left(now, c.expires), Expected: c.expected, HandedOn: c.handedOn, Released: c.released,
	}
	for _, ref := range c.pieces {
		piece := HeldPiece{Stage: ref.stage.index, Index: ref.index, Bytes: ref.stage.ResultBytes}
		if w := ref.stage.work; p.works[w.ID] == w {
			piece.Request = w.ID
		}
		held.Pieces = append(held.Pieces, piece)
	}
	c.target.calls--
	c.target.heldBytes -= c.bytes
	return held
}

func (p *Planner) exportWork(now time.Time, state *State, index map[*target]int, w *work) HeldWork {
	held := HeldWork{
		ID: w.ID, Route: w.Route, Key: w.Key, Priority: w.Priority, KindPriority: w.KindPriority, Stages: w.Stages,
		Objective: left(now, w.Objective), Deadline: left(now, w.Deadline), Rest: w.Rest, DataCentre: w.DataCentre,
		Admitted: left(now, w.admitted), Begun: w.begun, Lifted: w.lifted, Bounded: w.bounded, Completed: w.completed,
	}
	for _, s := range w.stages {
		stage := HeldStage{
			Todo: slices.Clone(s.todo), Resends: s.resends,
			ReadySince: left(now, s.readySince), ReadBy: left(now, s.readBy), Sent: left(now, s.sent), Ended: left(now, s.ended),
		}
		for i, r := range s.results {
			if r == nil {
				continue
			}
			stage.Results = append(stage.Results, HeldResult{
				Index: i, Handle: r.handle, Target: p.exportTarget(now, state, index, r.target),
				Expires: left(now, r.expires), Freed: r.freed,
			})
			if !r.freed {
				r.target.heldBytes -= r.bytes
			}
		}
		held.Progress = append(held.Progress, stage)
	}
	return held
}
