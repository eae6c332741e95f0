package stages

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// Prevents a handover of a queue without requests, or one that nobody accepted, from losing the
// reservations of callers that have yet to return.
func TestHandoverKeepsReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := gather.Config{RetryReservations: true}
		next := startStagesWith(t, newFakeCluster(2), config)
		cluster := newFakeCluster(2)
		cluster.respond = func(ctx context.Context, _, method string, body []byte) ([]byte, error) {
			if method == methodTakeSchedule {
				return next.handleTakeSchedule(ctx, peer.Peer{}, body)
			}
			return next.handleHandover(ctx, peer.Peer{}, body)
		}
		s := startStagesWith(t, cluster, config)
		s.queue.prepareSchedule(gather.ScheduleState{Reservations: []gather.ReservationState{{
			Fingerprint: "f", Reserved: true, Rank: 1, Due: 2 * time.Second, ToldAt: time.Second, ExpiresAt: time.Second,
			Work: []gather.ReservedWorkState{{Service: "stage", Pieces: 1}},
		}}})
		s.queue.unfreeze(s.queue.freeze())
		s.Handover(t.Context())
		require.Equal(t, "at-b", s.queue.movedTo)
		require.Zero(t, reservations(s))
		require.Equal(t, 1, reservations(next))
		time.Sleep(time.Second + 2*tick) // virtual
		synctest.Wait()
		require.Zero(t, reservations(next), "a reservation of an idle queue doesn't end")
	})
}

func reservations(s *Stages) int {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	return s.queue.planner.ReservationCount()
}
