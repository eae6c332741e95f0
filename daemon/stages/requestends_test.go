package stages

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// endRecorder stands for other instances that serve requests. It counts the requests that it holds by
// ID, and the ones that a report ends although they were sent after what the report is about.
type endRecorder struct {
	// respond, if set, is called before an end is recorded.
	respond func(ctx context.Context, to string) error

	mu   sync.Mutex
	held map[string]int
	ends int
}

func (r *endRecorder) call(ctx context.Context, to, method string, body []byte) ([]byte, error) {
	switch method {
	case methodAssign:
		var request assignRequest
		if err := msgpack.Unmarshal(body, &request); err != nil {
			return nil, err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.held[request.Redirectable.Run.ID]++
		return encode(&assignResponse{})
	case methodRequestEnds:
		var ends []placing.RequestEnd
		if err := msgpack.Unmarshal(body, &ends); err != nil {
			return nil, err
		}
		if r.respond != nil {
			if err := r.respond(ctx, to); err != nil {
				return nil, err
			}
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, end := range ends {
			r.ends++
			r.held[end.Request] = 0
		}
	}
	return nil, nil
}

// holds returns how often a request is held.
func (r *endRecorder) holds(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held[id]
}

// Guards against the report of a request's end that ends the same request as it is sent again.
func TestEndIsReportedBeforeTheRequestIsSentAgain(t *testing.T) {
	const roundTrip = 20 * time.Millisecond
	cases := map[string]struct {
		// wait is the time between the end and the next attempt, took the time until the request is
		// held again.
		wait, took time.Duration
		respond    func(ctx context.Context, to string) error
	}{
		"report is collected": {took: roundTrip},
		"report is on its way": {
			wait: dropDelay + roundTrip/2, took: roundTrip / 2,
		},
		"report was answered": {wait: dropDelay + 2*roundTrip},
		"holder is lost": {
			took: 2 * roundTrip, respond: func(_ context.Context, to string) error {
				if to == "at-b" {
					return peer.ErrConnLost
				}
				return nil
			},
		},
		"holder doesn't answer": {
			took: endWait, respond: func(ctx context.Context, _ string) error {
				<-ctx.Done()
				return ctx.Err()
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newFakeCluster(3)
				cluster.members[0].Incarnation = 9 // b holds the queue
				recorder := endRecorder{held: map[string]int{}}
				recorder.respond = func(ctx context.Context, to string) error {
					time.Sleep(roundTrip)
					if c.respond != nil {
						return c.respond(ctx, to)
					}
					return nil
				}
				cluster.respond = recorder.call
				s := startStages(t, cluster)
				result, err := s.Execute(t.Context(), emptyRequest("1"), placing.Prompt{})
				require.NoError(t, err)
				s.Drop(result.Holder, placing.RequestEnd{Request: "1"})
				s.avoidIf(name == "holder is lost", "b")
				time.Sleep(c.wait)
				start := time.Now()
				_, err = s.Execute(t.Context(), emptyRequest("1"), placing.Prompt{})
				require.NoError(t, err)
				assert.Equal(t, c.took, time.Since(start))
				held := recorder.holds("1")
				require.Positive(t, held)
				time.Sleep(3 * dropTimeout)
				require.Equal(t, held, recorder.holds("1"), "the request is ended by an earlier report")
			})
		})
	}
}

// avoidIf makes an instance avoided.
func (s *Stages) avoidIf(avoided bool, name string) {
	if avoided {
		s.avoid(name)
	}
}

// Guards against a request that is dropped, as it is sent again, because its earlier end was deferred by a
// handover that failed.
func TestDeferredEndIsAppliedBeforeTheRequestIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStages(t, newFakeCluster(1))
		s.queue.dialect, s.queue.follower = &stubDialect{}, stubFollower{}
		table := &routes.Table{Services: map[string]*routes.Service{"stage": {Name: "stage", Batch: &routes.BatchConfig{
			Slots: 1, MaxPieces: 1, CallTime: time.Second, PieceTime: time.Millisecond, ResultCapacity: 1 << 20, ResultTTL: time.Minute,
		}}}}
		s.SetTargets(time.Now(), table, map[string][]routes.Target{"stage": {{Name: "t", Address: "at-t", DataCentre: "x"}}})
		s.queue.reportCallEnd = func(string, uint64, gather.CallOutcome, []gather.PieceResult) { time.Sleep(tick) }
		s.queue.mu.Lock()
		s.queue.movedCalls[7] = "at-c"
		s.queue.mu.Unlock()
		r := emptyRequest("1")
		r.Stages[0].Pieces = 1
		state := s.queue.freeze()
		s.queue.callEnded(7, gather.CallUnanswered, nil)
		s.queue.drop(placing.RequestEnd{Request: "1"})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.queue.execute(ctx, r, placing.Prompt{}, false, false)
		synctest.Wait()
		s.queue.unfreeze(state)
		synctest.Wait()
		s.queue.mu.Lock()
		defer s.queue.mu.Unlock()
		require.Len(t, s.queue.waiters, 1)
		require.Equal(t, 1, s.queue.planner.RequestCount(), "its requester waits for a request that was dropped")
	})
}

// Guards against the end of a request that ends the same request at the instance that took the queue over.
func TestEndIsForwardedBeforeItIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(2)
		recorder := endRecorder{held: map[string]int{}}
		handover := acceptHandover(t)
		c.respond = func(ctx context.Context, to, method string, body []byte) ([]byte, error) {
			if method == methodHandover {
				return handover(ctx, to, method, body)
			}
			return recorder.call(ctx, to, method, body)
		}
		s := startStages(t, c)
		holdCall(t, s, time.Minute)
		s.Yield()
		require.Equal(t, "at-b", s.queue.yieldedTo())
		body, err := encode([]placing.RequestEnd{{Request: "1"}})
		require.NoError(t, err)
		_, err = s.handleRequestEnds(t.Context(), peer.Peer{}, body)
		require.NoError(t, err)
		recorder.mu.Lock()
		defer recorder.mu.Unlock()
		require.Equal(t, 1, recorder.ends)
	})
}

// Guards against an end, deferred by a handover, that reaches the next holder after the request's next
// attempt.
func TestDeferredEndPrecedesARedirectedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(2)
		recorder := endRecorder{held: map[string]int{}}
		c.respond = recorder.call
		s := startStages(t, c)
		forward := s.queue.forwardDrops
		s.queue.forwardDrops = func(to string, ends ...placing.RequestEnd) {
			time.Sleep(dropDelay)
			forward(to, ends...)
		}
		s.queue.freeze()
		s.queue.drop(placing.RequestEnd{Request: "1"})
		answered := make(chan error, 1)
		go func() {
			_, err := s.Execute(t.Context(), emptyRequest("1"), placing.Prompt{})
			answered <- err
		}()
		synctest.Wait()
		s.queue.completeHandover("at-b")
		require.NoError(t, <-answered)
		time.Sleep(3 * dropDelay)
		require.Equal(t, 1, recorder.holds("1"))
	})
}
