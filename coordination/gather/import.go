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
	var taken []*heldRequest
	for _, held := range state.Requests {
		if w := p.importRequest(now, targets, held); w != nil {
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
		p.handleRestarts(now, s.listedTargets())
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

func (p *Planner) importTimes(held LearnedTimes) {
	s := p.service(held.Service)
	s.times.callFactor = min(max(held.CallFactor, minCallFactor), maxCallFactor)
	for _, piece := range held.Pieces {
		*s.times.pieceFactor(pieceKind{piece.Route, piece.Stage}) = min(max(piece.Factor, minPieceFactor), maxPieceFactor)
	}
}

// importTarget takes over what is known of a target; one that isn't listed here gets
// no calls.
func (p *Planner) importTarget(now time.Time, held TargetState) *target {
	s := p.service(held.Service)
	t := s.targets[held.Incarnation]
	if t == nil {
		t = &target{Target: Target{held.Incarnation, held.Name, held.Address, held.DataCentre}, service: s, unlisted: true}
		s.targets[held.Incarnation] = t
	}
	t.replaced = t.replaced || held.Replaced
	t.slowness, t.answered, t.unansweredCalls, t.unsuccessfulCalls = max(held.Slowness, 0), held.Answered, held.UnansweredCalls, held.UnsuccessfulCalls
	t.downUntil = absoluteFrom(now, held.DownUntil)
	for _, room := range held.Reserved {
		t.usedBytes += room.Bytes
		t.reserved = append(t.reserved, reservation{room.Bytes, now.Add(room.Until)})
	}
	return t
}

// importWork returns nil for a request that can't be taken.
func (p *Planner) importRequest(now time.Time, targets []*target, held RequestState) *heldRequest {
	if old := p.requests[held.ID]; old != nil {
		p.drop(old)
	}
	w := p.newHeldRequest(Request{
		ID: held.ID, Route: held.Route, Key: held.Key, Priority: held.Priority, KindPriority: held.KindPriority, Stages: held.Stages,
		Objective: now.Add(held.Objective), Deadline: now.Add(held.Deadline), Remaining: held.Remaining, DataCentre: held.DataCentre,
	})
	w.admittedAt = absoluteFrom(now, held.AdmittedAt)
	w.started, w.boosted, w.deadlineShortened, w.completed = held.Started, held.Boosted, held.DeadlineShortened, held.Completed
	for i, progress := range held.Progress {
		if i < len(w.stages) {
			w.stages[i].restore(now, targets, progress)
		}
	}
	if len(p.requests) >= p.config.MaxRequests || len(held.Stages) > maxStages {
		p.refuse(w, Refused{Reason: ReasonTooManyRequests, RetryAfter: minRetryAfter})
		return nil
	}
	p.requests[w.ID] = w
	p.updateBacklog(now, w)
	return w
}

// resume takes over how far a stage is.
func (s *heldStage) restore(now time.Time, targets []*target, held StageState) {
	s.pending = held.Pending
	s.resends = held.Resends
	s.readySince, s.inputsReadAt = absoluteFrom(now, held.ReadySince), absoluteFrom(now, held.InputsReadAt)
	s.sentAt, s.endedAt = absoluteFrom(now, held.SentAt), absoluteFrom(now, held.EndedAt)
	for _, r := range held.Results {
		if r.Index < 0 || r.Index >= len(s.results) || r.Target < 0 || r.Target >= len(targets) {
			continue
		}
		t := targets[r.Target]
		s.results[r.Index] = &result{handle: r.Handle, target: t, bytes: s.ResultBytes, expiresAt: now.Add(r.ExpiresAt), freed: r.Freed}
		s.produced++
		if !r.Freed {
			t.usedBytes += s.ResultBytes
		}
	}
}

// importCall counts a call that another instance carries out.
func (p *Planner) importCall(now time.Time, t *target, held CallState) uint64 {
	p.nextCall++
	c := &call{
		id: p.nextCall, target: t, bytes: held.Bytes, expectedDuration: held.ExpectedDuration,
		startedAt: now.Add(held.StartedAt), overdueAt: now.Add(held.OverdueAt), inputsReadAt: now.Add(held.InputsReadAt),
		timeoutAt: now.Add(held.TimeoutAt), hedged: held.Hedged, inputsFreed: held.InputsFreed,
	}
	for _, piece := range held.Pieces {
		st := p.stageOfPiece(t.service, piece)
		st.inCall++
		c.pieces = append(c.pieces, pieceRef{st, piece.Index})
	}
	t.calls++
	t.usedBytes += c.bytes
	if t.lastCallAt.Before(c.startedAt) {
		t.lastCallAt = c.startedAt
	}
	if ends := c.startedAt.Add(time.Duration(max(t.slowness, 1) * float64(c.expectedDuration))); t.busyUntil.Before(ends) {
		t.busyUntil = ends
	}
	p.calls[c.id] = c
	return c.id
}

// pieceStage is the stage of a piece in a call. A piece of a request that isn't held
// belongs to one that nobody waits for, so that its result is given back.
func (p *Planner) stageOfPiece(s *service, piece PieceState) *heldStage {
	w := p.requests[piece.Request]
	if w != nil && piece.Stage >= 0 && piece.Stage < len(w.stages) &&
		piece.Index >= 0 && piece.Index < len(w.stages[piece.Stage].results) {
		return w.stages[piece.Stage]
	}
	usual := 1.0
	return &heldStage{request: &heldRequest{}, service: s, timeFactor: &usual, Stage: Stage{ResultBytes: piece.Bytes}}
}

// Expiries tells when the calls in progress of the given numbers count as lost.
func (p *Planner) CallTimeouts(ids map[uint64]uint64) map[uint64]time.Time {
	expiries := make(map[uint64]time.Time, len(ids))
	for _, id := range ids {
		if c := p.calls[id]; c != nil {
			expiries[id] = c.timeoutAt
		}
	}
	return expiries
}

// listed returns the targets that may be called, those of the list that came last.
func (s *service) listedTargets() []Target {
	var list []Target
	for _, t := range s.targets {
		if !t.unlisted {
			list = append(list, t.Target)
		}
	}
	return list
}
