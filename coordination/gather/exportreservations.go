package gather

import (
	"slices"
	"time"
)

// ReservationState is an expected return of a refused request, as another planner continues it. All
// times are relative to the export, as in State.
type ReservationState struct {
	Account, Route, Fingerprint string
	// Reserved is true if work is reserved.
	Reserved bool
	// Rank and Due are the place of the request in the queues, Boosted is as in heldRequest.
	Rank                   float64
	Boosted                bool
	Due, ToldAt, ExpiresAt time.Duration
	// MaxRetryDelay is the longest delay that the caller honoured at its refusal.
	MaxRetryDelay time.Duration
	Work          []ReservedWorkState
}

// ReservedWorkState is the reserved work at a service.
type ReservedWorkState struct {
	Service   string
	Pieces    int
	PieceTime time.Duration
}

// ExportReservations removes and returns the reservations. Their work no longer counts here.
func (p *Planner) ExportReservations(now time.Time) []ReservationState {
	var states []ReservationState
	for key, list := range p.reservations.byCaller {
		for _, v := range slices.Clone(list) {
			p.reservations.remove(key, v)
			state := ReservationState{
				Account: key.account, Route: key.route, Fingerprint: key.fingerprint, Reserved: v.reserved,
				Rank: v.position.rank, Boosted: v.boosted, Due: relativeTo(now, v.position.due),
				ToldAt: relativeTo(now, v.toldAt), ExpiresAt: relativeTo(now, v.expiresAt), MaxRetryDelay: v.maxRetryDelay,
			}
			for _, w := range v.work {
				state.Work = append(state.Work, ReservedWorkState{w.service.name, w.pieces, w.pieceTime})
			}
			states = append(states, state)
		}
	}
	return states
}

// ImportReservations continues with the reservations of another planner, up to the limit. It must
// precede Import, so that no request is admitted on capacity that is reserved.
func (p *Planner) ImportReservations(now time.Time, states []ReservationState) {
	if !p.config.RetryReservations {
		return
	}
	for _, state := range states {
		if p.reservations.count >= p.config.MaxRequests {
			return
		}
		v := &retryReservation{
			reserved: state.Reserved, boosted: state.Boosted,
			position: queuePosition{rank: state.Rank, due: absoluteFrom(now, state.Due)},
			toldAt:   absoluteFrom(now, state.ToldAt), expiresAt: absoluteFrom(now, state.ExpiresAt), maxRetryDelay: state.MaxRetryDelay,
		}
		if !now.Before(v.expiresAt) || slices.ContainsFunc(state.Work, func(w ReservedWorkState) bool { return w.Pieces <= 0 }) {
			continue
		}
		for _, w := range state.Work {
			v.work = append(v.work, reservedWork{p.service(w.Service), queuedWork{w.Pieces, max(w.PieceTime, 0)}})
		}
		p.reservations.add(callerKey{state.Account, state.Route, state.Fingerprint}, v)
	}
}
