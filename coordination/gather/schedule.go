package gather

import "time"

// ScheduleState is what a planner knows of requests beyond State, for the planner that continues
// with them. All times are relative to the export.
type ScheduleState struct {
	Requests     []ScheduledRequest
	Reservations []ReservationState
}

// ScheduledRequest is how a request of State is scheduled.
type ScheduledRequest struct {
	ID, Account string
	// Yields and KeyDelays, which has an entry for each stage, are as in heldRequest and heldStage.
	Yields    bool
	KeyDelays []time.Duration
}

// Empty reports whether there is nothing to send.
func (s *ScheduleState) Empty() bool { return len(s.Requests)+len(s.Reservations) == 0 }

// ExportSchedule returns how the requests that the planner holds are scheduled. It precedes Export.
func (p *Planner) ExportSchedule(now time.Time) ScheduleState {
	state := ScheduleState{Reservations: p.ExportReservations(now)}
	if !p.config.AccountSharing {
		return state
	}
	for _, req := range p.requests {
		held := ScheduledRequest{ID: req.ID, Account: req.Account, Yields: req.yields}
		for _, s := range req.stages {
			held.KeyDelays = append(held.KeyDelays, s.keyDelay)
		}
		state.Requests = append(state.Requests, held)
	}
	return state
}

// ImportSchedule takes what another planner exported with the state that the next call of Import
// gets. Without it the requests count for one account, and are ordered by their objectives.
func (p *Planner) ImportSchedule(now time.Time, state ScheduleState) {
	p.ImportReservations(now, state.Reservations)
	p.scheduled = make(map[string]ScheduledRequest, len(state.Requests))
	for _, held := range state.Requests {
		p.scheduled[held.ID] = held
	}
}

// restoreSchedule sets how an imported request is scheduled.
func (p *Planner) restoreSchedule(req *heldRequest) {
	held, ok := p.scheduled[req.ID]
	if !ok {
		return
	}
	req.Account = held.Account
	if !p.config.AccountSharing {
		return
	}
	req.yields = held.Yields
	for i, delay := range held.KeyDelays {
		if i < len(req.stages) {
			req.stages[i].keyDelay = min(max(delay, 0), maxKeyDelay)
		}
	}
}
