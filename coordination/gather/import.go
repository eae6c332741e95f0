package gather

import "time"

// Import goes on with what another planner held. It returns the numbers that the
// calls in progress have here, by those that they had there: their ends are reported
// by CallDone as of any other call.
//
// A request that is held here already gives way to the imported one, which has
// results. Beyond the bound requests are refused and their results given back.
func (p *Planner) Import(now time.Time, state State) ([]Action, map[uint64]uint64) {
	for _, times := range state.Times {
		p.importTimes(times)
	}
	targets := make([]*target, len(state.Targets))
	for i, held := range state.Targets {
		targets[i] = p.importTarget(now, held)
	}
	var taken []*work
	for _, held := range state.Works {
		if w := p.importWork(now, targets, held); w != nil {
			taken = append(taken, w)
		}
	}
	ids := make(map[uint64]uint64, len(state.Calls))
	for _, held := range state.Calls {
		if held.Target >= 0 && held.Target < len(targets) {
			ids[held.ID] = p.importCall(now, targets[held.Target], held)
		}
	}
	// Targets are only used once all calls in progress at them are known and all
	// requests wait: one by one, the first would take free targets with calls that are
	// nearly empty.
	p.importing = true
	for _, s := range p.services {
		p.restarted(now, s.listed())
	}
	for _, w := range taken {
		p.advance(now, w)
	}
	p.importing = false
	for _, s := range p.services {
		p.dispatch(now, s)
	}
	return p.flush(), ids
}

func (p *Planner) importTimes(held HeldTimes) {
	s := p.service(held.Service)
	s.times.fixed = min(max(held.Fixed, leastFixed), mostFixed)
	for _, piece := range held.Pieces {
		*s.times.piece(pieceKind{piece.Route, piece.Stage}) = min(max(piece.Factor, leastPiece), mostPiece)
	}
}

// importTarget takes over what is known of a target; one that isn't listed here gets
// no calls.
func (p *Planner) importTarget(now time.Time, held HeldTarget) *target {
	s := p.service(held.Service)
	t := s.targets[held.Incarnation]
	if t == nil {
		t = &target{Target: Target{held.Incarnation, held.Name, held.Address, held.DataCentre}, service: s, leaving: true}
		s.targets[held.Incarnation] = t
	}
	t.ended = t.ended || held.Ended
	t.slow, t.answered, t.failures, t.strikes = max(held.Slow, 0), held.Answered, held.Failures, held.Strikes
	t.downUntil = until(now, held.DownUntil)
	for _, room := range held.Occupied {
		t.heldBytes += room.Bytes
		t.lost = append(t.lost, lostRoom{room.Bytes, now.Add(room.Until)})
	}
	return t
}

// importWork returns nil for a request that can't be taken.
func (p *Planner) importWork(now time.Time, targets []*target, held HeldWork) *work {
	if old := p.works[held.ID]; old != nil {
		p.drop(old)
	}
	w := p.newWork(Request{
		ID: held.ID, Route: held.Route, Key: held.Key, Priority: held.Priority, KindPriority: held.KindPriority, Stages: held.Stages,
		Objective: now.Add(held.Objective), Deadline: now.Add(held.Deadline), Rest: held.Rest, DataCentre: held.DataCentre,
	})
	w.admitted = until(now, held.Admitted)
	w.begun, w.lifted, w.bounded, w.completed = held.Begun, held.Lifted, held.Bounded, held.Completed
	for i, progress := range held.Progress {
		if i < len(w.stages) {
			w.stages[i].resume(now, targets, progress)
		}
	}
	if len(p.works) >= p.config.MaxRequests || len(held.Stages) > maxStages {
		p.giveUp(w, Refused{Reason: ReasonBound, RetryAfter: minRetryAfter})
		return nil
	}
	p.works[w.ID] = w
	p.recount(now, w)
	return w
}

// resume takes over how far a stage is.
func (s *stageWork) resume(now time.Time, targets []*target, held HeldStage) {
	s.todo = held.Todo
	s.resends = held.Resends
	s.readySince, s.readBy = until(now, held.ReadySince), until(now, held.ReadBy)
	s.sent, s.ended = until(now, held.Sent), until(now, held.Ended)
	for _, r := range held.Results {
		if r.Index < 0 || r.Index >= len(s.results) || r.Target < 0 || r.Target >= len(targets) {
			continue
		}
		t := targets[r.Target]
		s.results[r.Index] = &result{handle: r.Handle, target: t, bytes: s.ResultBytes, expires: now.Add(r.Expires), freed: r.Freed}
		s.made++
		if !r.Freed {
			t.heldBytes += s.ResultBytes
		}
	}
}

// importCall counts a call that another instance carries out.
func (p *Planner) importCall(now time.Time, t *target, held HeldCall) uint64 {
	p.nextCall++
	c := &call{
		id: p.nextCall, target: t, bytes: held.Bytes, expected: held.Expected,
		started: now.Add(held.Started), overdue: now.Add(held.Overdue), readBy: now.Add(held.ReadBy),
		expires: now.Add(held.Expires), handedOn: held.HandedOn, released: held.Released,
	}
	for _, piece := range held.Pieces {
		st := p.pieceStage(t.service, piece)
		st.inCall++
		c.pieces = append(c.pieces, pieceRef{st, piece.Index})
	}
	t.calls++
	t.heldBytes += c.bytes
	if t.lastCall.Before(c.started) {
		t.lastCall = c.started
	}
	if ends := c.started.Add(time.Duration(max(t.slow, 1) * float64(c.expected))); t.busyUntil.Before(ends) {
		t.busyUntil = ends
	}
	p.calls[c.id] = c
	return c.id
}

// pieceStage is the stage of a piece in a call. A piece of a request that isn't held
// belongs to one that nobody waits for, so that its result is given back.
func (p *Planner) pieceStage(s *service, piece HeldPiece) *stageWork {
	w := p.works[piece.Request]
	if w != nil && piece.Stage >= 0 && piece.Stage < len(w.stages) &&
		piece.Index >= 0 && piece.Index < len(w.stages[piece.Stage].results) {
		return w.stages[piece.Stage]
	}
	usual := 1.0
	return &stageWork{work: &work{}, service: s, factor: &usual, Stage: Stage{ResultBytes: piece.Bytes}}
}

// Expiries tells when the calls in progress of the given numbers count as lost.
func (p *Planner) Expiries(ids map[uint64]uint64) map[uint64]time.Time {
	expiries := make(map[uint64]time.Time, len(ids))
	for _, id := range ids {
		if c := p.calls[id]; c != nil {
			expiries[id] = c.expires
		}
	}
	return expiries
}

// listed returns the targets that may be called, those of the list that came last.
func (s *service) listed() []Target {
	var list []Target
	for _, t := range s.targets {
		if !t.leaving {
			list = append(list, t.Target)
		}
	}
	return list
}
