package gather

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// retryRequest is a request of a caller that has 6 s when it arrives first.
func (r *rig) retryRequest(id, fingerprint string, left time.Duration) Request {
	q := chain(id, 1)
	q.Account, q.Fingerprint, q.Priority = "account", fingerprint, 1
	q.Objective, q.Deadline, q.MaxRetryDelay = r.now.Add(2*time.Second), r.now.Add(left), left/3
	return q
}

// overloaded returns a rig with a target that has so much to do that the callers of the requests
// "last" and "last again" were promised a time. They are the same request.
func overloaded(t *testing.T) (*rig, Refused) {
	r := newRig(t)
	r.planner = New(Config{RetryReservations: true})
	r.service("a", smallBatch, "x")
	for i := 0; len(r.refused) == 0; i++ {
		r.submit(r.retryRequest(fmt.Sprint("w", i), fmt.Sprint("f", i), 6*time.Second))
	}
	r.submit(r.retryRequest("last", "same", 6*time.Second))
	r.submit(r.retryRequest("last again", "same", 6*time.Second))
	require.True(t, r.refused["last"].Reserved)
	require.LessOrEqual(t, r.refused["last"].RetryAfter, 2*time.Second)
	require.Equal(t, 3, r.planner.ReservationCount())
	return r, r.refused["last"]
}

func (r *rig) reservedPieces() int {
	pieces := 0
	for _, s := range r.planner.services {
		for _, ranked := range s.reserved.ranks {
			pieces += ranked.total.pieces
		}
	}
	return pieces
}

// Prevents reservations that stay counted because callers never come back, and a place for a
// caller that comes after its reservation has ended.
func TestUnusedReservationExpires(t *testing.T) {
	r, told := overloaded(t)
	require.Equal(t, 3, r.reservedPieces())
	r.run(told.RetryAfter + reservationGrace + 2*reservationCheckInterval)
	require.Zero(t, r.planner.ReservationCount())
	require.Zero(t, r.reservedPieces())
	r.submit(r.retryRequest("late", "same", 6*time.Second-told.RetryAfter))
	require.Equal(t, ReservationCounts{Given: 3, Expired: 3}, r.planner.TakeReservationCounts())
	require.False(t, r.planner.requests["late"] != nil && r.planner.requests["late"].returned)
}

// Prevents the refusal of callers that come when they were told, or earlier while there is room.
func TestReturningRequestTakesItsReservation(t *testing.T) {
	for name, early := range map[string]time.Duration{"in time": 0, "late": -200 * time.Millisecond, "early": 1500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			r, told := overloaded(t)
			after := told.RetryAfter - early
			r.run(after)
			r.submit(r.retryRequest("back", "same", 6*time.Second-after))
			require.Equal(t, 1, r.planner.TakeReservationCounts().Used)
			require.Equal(t, r.now.Add(6*time.Second-after-reservationGrace), r.planner.requests["back"].Objective)
			r.run(6*time.Second - after)
			require.Contains(t, r.completed, "back")
		})
	}
}

// Prevents that one reservation serves two requests, and that one of two requests with the same
// content has none.
func TestReservationsAreCountedByCaller(t *testing.T) {
	r, told := overloaded(t)
	r.run(told.RetryAfter)
	for i, used := range []int{1, 1, 0} {
		r.submit(r.retryRequest(fmt.Sprint("back", i), "same", 4*time.Second))
		require.Equal(t, used, r.planner.TakeReservationCounts().Used, i)
	}
	r.run(4 * time.Second)
	require.Contains(t, r.completed, "back0")
	require.Contains(t, r.completed, "back1")
}

// Prevents a promise that is withdrawn because targets are lost for a moment, and a wait of a caller
// for targets that don't come back.
func TestTargetsLostBeforeReturn(t *testing.T) {
	r, told := overloaded(t)
	r.do(r.planner.SetTargets(r.now, "a", nil))
	r.now = r.now.Add(minRetryAfter)
	r.submit(r.retryRequest("early", "same", 6*time.Second-minRetryAfter))
	require.Equal(t, told.RetryAfter-minRetryAfter, r.refused["early"].RetryAfter)
	require.True(t, r.refused["early"].Reserved)
	r.now = r.now.Add(told.RetryAfter)
	r.submit(r.retryRequest("back", "same", 4*time.Second))
	require.Equal(t, ReasonNoTarget, r.refused["back"].Reason)
	require.False(t, r.refused["back"].Reserved)
}

// Prevents that a new holder refuses callers that were promised a time by the former one, and that
// one which knows of no promise takes their retries for anything but new requests.
func TestNewHolderKeepsReservations(t *testing.T) {
	for _, imported := range []bool{true, false} {
		r, told := overloaded(t)
		states := r.planner.ExportReservations(r.now)
		require.Zero(t, r.reservedPieces())
		r.planner = New(Config{RetryReservations: true})
		r.running = nil
		r.service("a", smallBatch, "x")
		if imported {
			r.planner.ImportReservations(r.now, states)
			require.Equal(t, 3, r.reservedPieces())
		}
		r.run(told.RetryAfter)
		r.submit(r.retryRequest("back", "same", 4*time.Second))
		require.Equal(t, imported, r.planner.TakeReservationCounts().Used == 1)
		require.Equal(t, imported, r.planner.requests["back"].Objective.Equal(r.now.Add(4*time.Second-reservationGrace)))
		r.run(2 * time.Second)
		require.Contains(t, r.completed, "back")
	}
}

// Prevents that requests of a higher priority are refused or wait longer because of the
// reservations of a lower one.
func TestReservationsYieldToHigherPriorities(t *testing.T) {
	admitted := func(reserved bool) (predicted []time.Duration) {
		r, _ := overloaded(t)
		for i := range 40 {
			r.submit(r.retryRequest(fmt.Sprint("r", i), fmt.Sprint("r", i), 6*time.Second))
		}
		require.Greater(t, r.reservedPieces(), 20)
		if !reserved {
			r.planner.ExportReservations(r.now)
		}
		for i := range 80 {
			q := r.retryRequest(fmt.Sprint("high", i), "", 20*time.Second)
			q.Priority = 0
			if i%2 == 0 {
				q.Objective = r.now // it yields
			}
			r.submit(q)
			if req := r.planner.requests[q.ID]; req != nil {
				predicted = append(predicted, req.predicted)
			}
		}
		return predicted
	}
	require.Equal(t, admitted(false), admitted(true))
}

// Prevents times within the deadline of callers for whom there is no capacity, a time that nobody
// can keep to for those that don't wait so long, and more entries than the planner may hold.
func TestCallersWithoutReservation(t *testing.T) {
	r, _ := overloaded(t)
	q := r.retryRequest("impatient", "impatient", 6*time.Second)
	q.MaxRetryDelay = minRetryAfter / 2
	r.submit(q)
	for i := range 200 {
		r.submit(r.retryRequest(fmt.Sprint("r", i), fmt.Sprint("r", i), 6*time.Second))
	}
	r.planner.config.MaxRequests = r.planner.ReservationCount()
	r.submit(r.retryRequest("beyond", "beyond", 6*time.Second))
	require.Equal(t, r.planner.config.MaxRequests, r.planner.ReservationCount())
	for _, id := range []string{"impatient", "r199", "beyond"} {
		require.False(t, r.refused[id].Reserved, id)
		require.GreaterOrEqual(t, r.refused[id].RetryAfter, 6*time.Second, id)
	}
}

// Prevents that retries without a reservation take the time of new requests that can be in time, that
// requests of a lower priority displace them, and that queries do.
func TestNewRequestsDisplaceUnreservedRetries(t *testing.T) {
	for name, c := range map[string]struct {
		priority  int
		displaced bool
	}{"same priority": {1, true}, "lower priority": {2, false}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.planner = New(Config{RetryReservations: true})
			r.service("a", smallBatch, "x")
			for i := range 24 {
				q := r.retryRequest(fmt.Sprint("back", i), fmt.Sprint("back", i), 2*time.Second)
				v := &retryReservation{maxRetryDelay: time.Hour, expiresAt: r.now.Add(time.Second)}
				r.planner.reservations.add(q.callerKey(), v)
				r.submit(q)
			}
			require.Greater(t, len(r.planner.reservations.unreserved), 8)
			for i := range 40 {
				q := r.retryRequest(fmt.Sprint("new", i), "", 6*time.Second)
				q.Priority = c.priority
				before := r.planner.dump()
				refused := r.planner.Explain(r.now, q).Refused
				require.True(t, before == r.planner.dump(), "a query has changed the planner")
				r.submit(q)
				require.Equal(t, refused == nil, r.planner.requests[q.ID] != nil)
			}
			displaced := 0
			for _, req := range r.planner.requests {
				if req.yieldsPlace {
					displaced++
				}
			}
			require.Equal(t, c.displaced, displaced > 0)
			checkBacklog(t, r.planner)
		})
	}
}

// Prevents that a load of twice the usual one is taken for the usual load soon, and that the scatter
// of arrivals is taken for a burst.
func TestBurstIsToldFromUsualRate(t *testing.T) {
	now := time.Unix(1000, 0)
	var u usualRate
	count := func(pieces ...int) (time.Duration, float64) {
		for _, n := range pieces {
			u.count(now, 1, n)
			now = now.Add(usualInterval)
		}
		return u.burst(now, 1)
	}
	lasted, _ := count(10, 10, 13, 7, 10, 16)
	require.Zero(t, lasted)
	lasted, rate := count(10, 10, 30, 50)
	require.Equal(t, 2*usualInterval, lasted)
	require.InDelta(t, 80, rate, 1e-9)
	lasted, _ = count(10)
	require.Zero(t, lasted)
}
