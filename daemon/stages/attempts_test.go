package stages

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/membership"
)

// Prevents a planned stop from waiting for the messages of a handover that started before it.
func TestStopDoesNotWaitForAnotherHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(4)
		c.respond = neverRespond
		s := startStages(t, c)
		holdCall(t, s, time.Minute)
		go s.Yield()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		start := time.Now()
		s.Handover(ctx)
		require.Equal(t, 100*time.Millisecond, time.Since(start))
	})
}

// Prevents two handovers of one instance at once, and one handover for each of many callers
// that request it while one is in progress.
func TestHandoversAreSequential(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(3)
		var sending, handOvers atomic.Int32
		c.respond = func(_ context.Context, _, method string, body []byte) ([]byte, error) {
			if method != methodHandover {
				return nil, nil
			}
			assert.EqualValues(t, 1, sending.Add(1))
			time.Sleep(100 * time.Millisecond)
			sending.Add(-1)
			last, response := acceptPart(t, body)
			if last {
				handOvers.Add(1)
			}
			return response, nil
		}
		s := startStages(t, c)
		holdCall(t, s, time.Minute)
		var all sync.WaitGroup
		for range 20 {
			all.Go(s.Yield)
		}
		all.Go(func() { s.Handover(t.Context()) })
		start := time.Now()
		all.Wait()
		require.Equal(t, 200*time.Millisecond, time.Since(start), "one handover of two messages")
		require.EqualValues(t, 1, handOvers.Load())
		require.False(t, s.queue.takeOver(instanceID{"b", 2}, gather.State{}), "an instance that stops accepts no queue")
	})
}

// Prevents a queue that nobody serves while another instance accepts its parts, each just
// before its timeout.
func TestHandoverEndsAtItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(2)
		c.respond = func(ctx context.Context, _, method string, body []byte) ([]byte, error) {
			if method != methodHandover {
				return nil, nil
			}
			select {
			case <-time.After(partTimeout - time.Millisecond):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			_, response := acceptPart(t, body)
			return response, nil
		}
		s := startStages(t, c)
		var state gather.State
		for i := range 40 * requestsPerPart {
			state.Requests = append(state.Requests, gather.RequestState{
				ID: fmt.Sprint(i), Objective: time.Hour, Deadline: time.Hour,
				Stages: []gather.Stage{{Service: "stage", Pieces: 1}}, Progress: []gather.StageState{{Pending: []int{0}}},
			})
		}
		require.True(t, s.queue.takeOver(instanceID{"z", 1}, state))
		s.queue.mu.Lock()
		clear(s.queue.unclaimed) // their requesters wait
		s.queue.mu.Unlock()
		s.Handover(t.Context())
		for tries := 0; !s.queue.isFrozen(); tries++ {
			require.Less(t, tries, 100, "no second attempt")
			time.Sleep(handoverRetryInterval)
		}
		s.queue.mu.Lock()
		decided := s.queue.unfrozen
		s.queue.mu.Unlock()
		select {
		case <-decided:
		case <-time.After(longHandoverTimeout + partTimeout):
			require.Fail(t, "the handover doesn't end")
		}
	})
}

// isFrozen reports whether a handover of the queue is in progress.
func (q *queue) isFrozen() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.frozen
}

// pendingRequest returns a request with one pending piece.
func pendingRequest(id string) gather.RequestState {
	return gather.RequestState{
		ID: id, Objective: time.Hour, Deadline: time.Hour,
		Stages: []gather.Stage{{Service: "stage", Pieces: 1}}, Progress: []gather.StageState{{Pending: []int{0}}},
	}
}

// Prevents a queue that nobody serves because call ends are forwarded to a failed holder
// before the queue can be taken back.
func TestForwardedCallEndsDoNotDelayTakeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(3)
		release := make(chan struct{})
		c.respond = func(ctx context.Context, to, method string, body []byte) ([]byte, error) {
			if method == methodHandover {
				last, response := acceptPart(t, body)
				if last {
					<-release
				}
				return response, nil
			}
			return neverRespond(ctx, to, method, body)
		}
		s := startStages(t, c)
		var state gather.State
		state.Targets = []gather.TargetState{{Service: "stage", Incarnation: "t"}}
		for i := range 10 {
			state.Calls = append(state.Calls, gather.CallState{ID: uint64(i + 1), TimeoutAt: time.Minute})
		}
		require.True(t, s.queue.takeOver(instanceID{"z", 1}, state))
		go s.Yield()
		synctest.Wait()
		for i := range 10 {
			s.queue.remoteCallEnded(instanceID{"z", 1}, uint64(i+1), gather.CallUnanswered, nil)
		}
		close(release)
		synctest.Wait()
		require.True(t, s.queue.hasMoved())
		c.set("b", membership.Dead)
		start := time.Now()
		for s.queue.hasMoved() {
			time.Sleep(tick)
		}
		took := time.Since(start)
		time.Sleep(3 * callEndTimeout)
		require.Less(t, took, 3*tick, "nobody serves")
	})
}

// Prevents an attempt that has timed out from avoiding instances that it never asked.
func TestTimedOutAttemptAvoidsNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(4)
		c.respond = func(ctx context.Context, to, method string, body []byte) ([]byte, error) {
			if method != methodHandover {
				return nil, nil
			}
			if to == "at-b" {
				select {
				case <-time.After(partTimeout - time.Millisecond):
				case <-ctx.Done():
				}
			}
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			_, response := acceptPart(t, body)
			return response, nil
		}
		s := startStages(t, c)
		var state gather.State
		for i := range 5 * requestsPerPart {
			state.Requests = append(state.Requests, pendingRequest(fmt.Sprint(i)))
		}
		require.True(t, s.queue.takeOver(instanceID{"z", 1}, state))
		s.queue.mu.Lock()
		clear(s.queue.unclaimed)
		s.queue.mu.Unlock()
		start := time.Now()
		s.Handover(t.Context())
		for !s.queue.hasMoved() {
			time.Sleep(10 * time.Millisecond)
		}
		require.Less(t, time.Since(start), handoverTimeout+2*handoverRetryInterval)
	})
}
