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

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// TestCallsOfWhoseEndsNoWordComesAreForgotten guards against notes of calls in progress that
// stay for good, where the queue has moved on and the instance that has the call is gone.
func TestRemoteCallsWithoutReportAreForgotten(t *testing.T) {
	const within = time.Second
	give := func(o *queue) {
		o.freeze()
		o.completeHandover("at-b")
	}
	keep := func(o *queue) { o.unfreeze(o.freeze()) }
	cases := map[string]func(*queue){
		"kept":                            keep,
		"given away":                      give,
		"kept by a hand-over, then given": func(o *queue) { keep(o); keep(o); give(o) },
		"given away and taken back": func(o *queue) {
			give(o)
			o.setYielded(true)
			o.takeBack("at-b")
		},
		"given away and come back": func(o *queue) {
			o.freeze()
			state := o.exported
			o.completeHandover("at-b")
			o.setYielded(true)
			require.True(t, o.takeOver(instanceID{"b", 2}, state))
		},
		"on its way": func(o *queue) {
			o.freeze()
			time.AfterFunc(2*(within+callEndMargin), func() { o.completeHandover("at-b") })
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
				if name != "on its way" {
					require.Empty(t, c.methodsCalled("at-b"), "the next holder finds out for itself")
				}
			})
		})
	}
}

// stubDialect notes the targets that are called, and calls none.
type stubDialect struct {
	exchange.Dialect
	mu     sync.Mutex
	called []string
}

func (d *stubDialect) StageCall(address, name string, _ []gather.Piece, _ time.Time) (*http.Request, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.called = append(d.called, name)
	return nil, errors.New("stub")
}

// stubFollower follows nothing.
type stubFollower struct{}

func (stubFollower) Leaving(string)            {}
func (stubFollower) TargetsAge() time.Duration { return 0 }

// TestKeptQueueCallsNoTargetThatLeft guards against a call to an idle target that left while the
// queue was on its way to an instance that didn't take it.
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
		time.Sleep(20 * time.Millisecond) // it was down until now
		state := s.queue.freeze()
		s.SetTargets(time.Now(), table, map[string][]routes.Target{"stage": nil})
		s.queue.unfreeze(state)
		synctest.Wait()
		require.Empty(t, d.called, "a target that has left is called")
	})
}

// TestAskerThatWaitsForTheQueueClaimsItsRequest guards against a request that is dropped while
// its asker waits to hear who has the queue.
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
						require.NotContains(t, c.methodsCalled("at-b"), methodRequestEnds, "the request that its asker waits for is dropped at the next holder")
						return
					}
					s.queue.unfreeze(state)
					synctest.Wait()
					s.queue.mu.Lock()
					defer s.queue.mu.Unlock()
					require.Equal(t, len(s.queue.waiters), s.queue.planner.RequestCount(), "try %d: its asker waits for a request that isn't held", i)
				})
			}
		})
	}
}
