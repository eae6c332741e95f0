package stages

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/holder"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// Prevents the records of a call in progress from staying forever, wherever the queue is by then,
// if the instance that carries out the call has failed.
func TestRemoteCallsWithoutReportAreForgotten(t *testing.T) {
	const within = time.Second
	give := func(q *queue) {
		q.freeze()
		q.completeHandover("at-b")
	}
	keep := func(q *queue) { q.unfreeze(q.freeze()) }
	cases := map[string]func(*queue){
		"kept":                                keep,
		"given away":                          give,
		"kept by a handover, then given away": func(q *queue) { keep(q); keep(q); give(q) },
		"given away and taken back": func(q *queue) {
			give(q)
			q.setYielded(true)
			q.takeBack("at-b")
		},
		"given away and returned": func(q *queue) {
			q.freeze()
			state := q.exported
			q.completeHandover("at-b")
			q.setYielded(true)
			require.True(t, q.takeOver(instanceID{"b", 2}, state))
		},
		"handover in progress": func(q *queue) {
			q.freeze()
			time.AfterFunc(2*(within+callEndMargin), func() { q.completeHandover("at-b") })
		},
	}
	for name, move := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newFakeCluster(2)
				c.respond = acceptHandover(t)
				s := startStages(t, c)
				holdCall(t, s, within)
				move(s.queue)
				time.Sleep(3 * (within + callEndMargin))
				s.queue.remoteCallEnded(instanceID{"z", 1}, 7, gather.CallAnswered, nil)
				s.queue.mu.Lock()
				defer s.queue.mu.Unlock()
				require.Empty(t, s.queue.movedCalls)
				require.Empty(t, s.queue.renumbered)
				require.Empty(t, s.queue.remoteCalls)
				require.Zero(t, s.queue.planner.CallCount())
				if name != "handover in progress" {
					require.Empty(t, c.methodsCalled("at-b"), "the next holder has a timeout of its own")
				}
			})
		})
	}
}

// stubDialect records the targets that are called, and calls none.
type stubDialect struct {
	exchange.Dialect
	mu     sync.Mutex
	called []string
}

func (d *stubDialect) NewStageRequest(address, name string, _ []gather.Piece, _ time.Time) (*http.Request, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.called = append(d.called, name)
	return nil, errors.New("stub")
}

// stubFollower follows nothing.
type stubFollower struct{}

func (stubFollower) Leaving(string)            {}
func (stubFollower) TargetsAge() time.Duration { return 0 }

func (stubFollower) Usable(string) bool { return true }

// Prevents a call to an idle target that was removed during a handover to an instance that
// didn't accept the queue.
func TestKeptQueueCallsNoRemovedTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(3)
		c.respond = acceptHandover(t)
		s := startStages(t, c)
		d := &stubDialect{}
		s.queue.dialect, s.queue.follower = d, stubFollower{}
		table := &routes.Table{Services: map[string]*routes.Service{"stage": {Name: "stage", Batch: &routes.BatchConfig{
			Slots: 1, MaxPieces: 8, CallTime: time.Second, PieceTime: time.Millisecond, ResultCapacity: 1 << 20, ResultTTL: time.Minute,
		}}}}
		usable := map[string][]routes.Target{"stage": {{Name: "t", Address: "at-t", DataCentre: "x"}}}
		s.SetTargets(time.Now(), table, usable)
		id := usable["stage"][0].Incarnation()
		require.True(t, s.queue.takeOver(instanceID{"z", 1}, gather.State{
			Targets:  []gather.TargetState{{Service: "stage", Incarnation: id, Name: "t", Address: "at-t", DataCentre: "x", Slowness: 1, DownUntil: 350 * time.Millisecond}},
			Requests: []gather.RequestState{pendingRequest("1")},
		}))
		s.queue.mu.Lock()
		clear(s.queue.unclaimed)
		s.queue.mu.Unlock()
		time.Sleep(340 * time.Millisecond)
		time.Sleep(20 * time.Millisecond) // the target was down until now
		state := s.queue.freeze()
		s.SetTargets(time.Now(), table, map[string][]routes.Target{"stage": nil})
		s.queue.unfreeze(state)
		synctest.Wait()
		require.Empty(t, d.called, "a removed target is called")
	})
}

// Prevents a request from being dropped while its requester waits for the end of a handover.
func TestWaitingRequesterClaimsItsRequest(t *testing.T) {
	for _, move := range []string{"moved", "kept"} {
		t.Run(move, func(t *testing.T) {
			for i := range 20 {
				synctest.Test(t, func(t *testing.T) {
					c := newFakeCluster(3)
					c.respond = acceptHandover(t)
					s := startStages(t, c)
					lost, reset := context.WithCancelCause(t.Context())
					r := emptyRequest("1")
					r.Stages[0].Pieces = 1
					r.Deadline = time.Now().Add(20 * time.Second)
					r.Objective = r.Deadline
					require.True(t, s.queue.takeOver(instanceID{"z", 1}, gather.State{Requests: []gather.RequestState{pendingRequest("1")}}))
					go s.queue.execute(lost, r, placing.Prompt{}, false, true)
					synctest.Wait()
					state := s.queue.freeze()
					reset(peer.ErrConnLost)
					synctest.Wait()
					ends := make(chan error, 1)
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					go func() {
						_, err := s.queue.execute(ctx, r, placing.Prompt{}, false, true)
						ends <- err
					}()
					time.Sleep(partTimeout)
					if move == "moved" {
						s.queue.completeHandover("at-b")
						require.NoError(t, <-ends)
						time.Sleep(time.Second)
						require.NotContains(t, c.methodsCalled("at-b"), methodRequestEnds, "the request that its requester waits for is dropped at the next holder")
						return
					}
					s.queue.unfreeze(state)
					synctest.Wait()
					s.queue.mu.Lock()
					defer s.queue.mu.Unlock()
					require.Equal(t, len(s.queue.waiters), s.queue.planner.RequestCount(), "try %d: its requester waits for a request that isn't held", i)
				})
			}
		})
	}
}

// Guards against results that the next holder keeps until the deadline of their request, because a
// handover begins while the request is dropped: here as a stall is noticed.
func TestDropDuringStallIsNotLost(t *testing.T) {
	q := newQueue(nil, nil, nil, gather.Config{}, newMetrics(tally.NoopScope))
	var forwarded []placing.RequestEnd
	q.forwardDrops = func(_ string, ends ...placing.RequestEnd) { forwarded = append(forwarded, ends...) }
	q.onStall = func() {}
	completed := pendingRequest("1")
	completed.Completed = true
	require.True(t, q.takeOver(instanceID{"z", 1}, gather.State{Requests: []gather.RequestState{completed}}))
	var stalled holder.StallDetector
	earlier := time.Now().Add(-time.Minute)
	stalled.Check(earlier, func() time.Time { return earlier })
	q.bootClock = func() time.Time {
		q.stall = stalled // the next check finds a stall
		return time.Now()
	}
	q.drop(placing.RequestEnd{Request: "1"})
	exported := q.freeze()
	q.completeHandover("at-b")
	require.True(t, len(exported.Requests) == 0 || len(forwarded) == 1, "the next holder has the request and isn't told of its end")
}
