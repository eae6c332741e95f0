package gather

import "time"

// Import continues with what another planner held. It returns the ids that the calls in
// progress have here by their ids at the exporting planner; their ends are reported by
// CallDone like those of any other call.
//
// A request that is already held here is replaced by the imported one, which has results.
// Requests beyond the limit are refused and their results freed.
func (p *Planner) Import(now time.Time, state State) ([]Action, map[uint64]uint64) {
	for _, times := range state.Times {
		p.importTimes(times)
	}
	targets := make([]*target, len(state.Targets))
	for i, held := range state.Targets {
		targets[i] = p.importTarget(now, held)
	}
	var imported []*heldRequest
	for _, held := range state.Requests {
		if req := p.importRequest(now, targets, held); req != nil {
			imported = append(imported, req)
		}
	}
	ids := make(map[uint64]uint64, len(state.Calls))
	for _, held := range state.Calls {
		if held.Target >= 0 && held.Target < len(targets) {
			ids[held.ID] = p.importCall(now, targets[held.Target], held)
		}
	}
	// Targets are used only after all calls in progress at them are known and all requests
	// are queued. Otherwise the first requests would occupy free targets with nearly empty
	// calls.
	p.importing = true
	for _, s := range p.services {
		p.handleRestarts(now, s.listedTargets())
	}
	for _, req := range imported {
		p.advance(now, req)
	}
	p.importing, p.scheduled = false, nil
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

// importTarget imports what is known of a target. A target that isn't listed here gets no
// calls.
func (p *Planner) importTarget(now time.Time, held TargetState) *target {
	s := p.service(held.Service)
	t := s.targets[held.Incarnation]
	if t == nil {
		t = &target{Target: Target{held.Incarnation, held.Name, held.Address, held.DataCentre}, service: s, unlisted: true, limit: p.limits[held.Incarnation]}
		s.targets[held.Incarnation] = t
	}
	t.replaced = t.replaced || held.Replaced
	t.slowness, t.answered, t.unansweredCalls, t.unsuccessfulCalls = max(held.Slowness, 0), held.Answered, held.UnansweredCalls, held.UnsuccessfulCalls
	t.downUntil = absoluteFrom(now, held.DownUntil)
	for _, reserved := range held.Reserved {
		t.usedBytes += reserved.Bytes
		t.reserved = append(t.reserved, reservation{reserved.Bytes, now.Add(reserved.Until)})
	}
	return t
}

// importRequest returns nil for a request that can't be accepted.
func (p *Planner) importRequest(now time.Time, targets []*target, held RequestState) *heldRequest {
	if old := p.requests[held.ID]; old != nil {
		p.drop(old)
	}
	req := p.newHeldRequest(Request{
		ID: held.ID, Route: held.Route, Key: held.Key, Priority: held.Priority, KindPriority: held.KindPriority, Stages: held.Stages,
		Objective: now.Add(held.Objective), Deadline: now.Add(held.Deadline), Remaining: held.Remaining, DataCentre: held.DataCentre,
	})
	req.admittedAt = absoluteFrom(now, held.AdmittedAt)
	p.restoreSchedule(req)
	req.started, req.boosted, req.deadlineShortened, req.completed = held.Started, held.Boosted, held.DeadlineShortened, held.Completed
	for i, progress := range held.Progress {
		if i < len(req.stages) {
			req.stages[i].restore(now, targets, progress)
		}
	}
	if len(p.requests) >= p.config.MaxRequests || len(held.Stages) > maxStages {
		p.refuse(req, Refused{Reason: ReasonTooManyRequests, RetryAfter: minRetryAfter})
		return nil
	}
	p.requests[req.ID], req.held = req, true
	p.updateBacklog(now, req)
	return req
}

// restore sets the progress of a stage.
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

// importCall adds a call that another instance carries out.
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

// stageOfPiece returns the stage of a piece in a call. A piece of a request that isn't held
// gets a stage that nobody waits for, so that its result is freed.
func (p *Planner) stageOfPiece(s *service, piece PieceState) *heldStage {
	req := p.requests[piece.Request]
	if req != nil && piece.Stage >= 0 && piece.Stage < len(req.stages) &&
		piece.Index >= 0 && piece.Index < len(req.stages[piece.Stage].results) {
		return req.stages[piece.Stage]
	}
	factor := 1.0
	return &heldStage{request: &heldRequest{}, service: s, timeFactor: &factor, Stage: Stage{ResultBytes: piece.Bytes}}
}

// CallTimeouts returns when the calls with the ids that Import returned time out.
func (p *Planner) CallTimeouts(ids map[uint64]uint64) map[uint64]time.Time {
	timeouts := make(map[uint64]time.Time, len(ids))
	for _, id := range ids {
		if c := p.calls[id]; c != nil {
			timeouts[id] = c.timeoutAt
		}
	}
	return timeouts
}

// listedTargets returns the targets of the latest list, which may be called.
func (s *service) listedTargets() []Target {
	var list []Target
	for _, t := range s.targets {
		if !t.unlisted {
			list = append(list, t.Target)
		}
	}
	return list
}
