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
func TestCallsOfWhoseEndsNoWordComesAreForgotten(t *testing.T) {
	const within = time.Second
	give := func(o *Owner) {
		o.freeze()
		o.moved("at-b")
	}
	keep := func(o *Owner) { o.thaw(o.freeze()) }
	cases := map[string]func(*Owner){
		"kept":                            keep,
		"given away":                      give,
		"kept by a hand-over, then given": func(o *Owner) { keep(o); keep(o); give(o) },
		"given away and taken back": func(o *Owner) {
			give(o)
			o.mayTakeBack(true)
			o.takeBack("at-b")
		},
		"given away and come back": func(o *Owner) {
			o.freeze()
			state := o.exported
			o.moved("at-b")
			o.mayTakeBack(true)
			require.True(t, o.takeOver(sender{"b", 2}, state))
		},
		"on its way": func(o *Owner) {
			o.freeze()
			time.AfterFunc(2*(within+endedMargin), func() { o.moved("at-b") })
		},
	}
	for name, move := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newFakeCluster(2)
				c.answer = takes(t)
				s := startStages(t, c)
				holdCall(t, s, within)
				move(s.owner)
				time.Sleep(3 * (within + endedMargin))
				s.owner.adoptedEnded(sender{"z", 1}, 7, gather.CallAnswered, nil)
				s.owner.mu.Lock()
				defer s.owner.mu.Unlock()
				require.Empty(t, s.owner.movedCalls)
				require.Empty(t, s.owner.renamed)
				require.Empty(t, s.owner.adopted)
				require.Zero(t, s.owner.planner.CallCount())
				if name != "on its way" {
					require.Empty(t, c.calls("at-b"), "the next holder finds out for itself")
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

// TestKeptQueueCallsNoTargetThatLeft guards against a call to an idle target that left while the
// queue was on its way to an instance that didn't take it.
func TestKeptQueueCallsNoTargetThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(3)
		c.answer = takes(t)
		s := startStages(t, c)
		d := &stubDialect{}
		s.owner.dialect, s.owner.follower = d, stubFollower{}
		table := &routes.Table{Services: map[string]*routes.Service{"stage": {Name: "stage", Batch: &routes.BatchConfig{
			Slots: 1, MaxPieces: 8, CallTime: time.Second, PieceTime: time.Millisecond, ResultCapacity: 1 << 20, ResultTTL: time.Minute,
		}}}}
		usable := map[string][]routes.Target{"stage": {{Name: "t", Address: "at-t", DataCentre: "x"}}}
		s.SetTargets(time.Now(), table, usable)
		id := usable["stage"][0].Incarnation()
		require.True(t, s.owner.takeOver(sender{"z", 1}, gather.State{
			Targets:  []gather.TargetState{{Service: "stage", Incarnation: id, Name: "t", Address: "at-t", DataCentre: "x", Slowness: 1, DownUntil: 350 * time.Millisecond}},
			Requests: []gather.RequestState{heldWork("1")},
		}))
		s.owner.mu.Lock()
		clear(s.owner.unclaimed)
		s.owner.mu.Unlock()
		time.Sleep(340 * time.Millisecond)
		time.Sleep(20 * time.Millisecond) // it was down until now
		state := s.owner.freeze()
		s.SetTargets(time.Now(), table, map[string][]routes.Target{"stage": nil})
		s.owner.thaw(state)
		synctest.Wait()
		require.Empty(t, d.called, "a target that has left is called")
	})
}

// TestAskerThatWaitsForTheQueueClaimsItsRequest guards against a request that is dropped while
// its asker waits to hear who has the queue.
func TestAskerThatWaitsForTheQueueClaimsItsRequest(t *testing.T) {
	for _, move := range []string{"moved", "kept"} {
		t.Run(move, func(t *testing.T) {
			for i := range 20 {
				synctest.Test(t, func(t *testing.T) {
					c := newFakeCluster(3)
					c.answer = takes(t)
					s := startStages(t, c)
					lost, reset := context.WithCancelCause(t.Context())
					r := emptyRequest("1")
					r.Stages[0].Pieces = 1
					r.Deadline = time.Now().Add(20 * time.Second)
					r.Objective = r.Deadline
					require.True(t, s.owner.takeOver(sender{"z", 1}, gather.State{Requests: []gather.RequestState{heldWork("1")}}))
					go s.owner.make(lost, r, placing.Prompt{}, false, true)
					synctest.Wait()
					state := s.owner.freeze()
					reset(peer.ErrConnLost)
					synctest.Wait()
					ends := make(chan error, 1)
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					go func() {
						_, err := s.owner.make(ctx, r, placing.Prompt{}, false, true)
						ends <- err
					}()
					time.Sleep(takeTimeout)
					if move == "moved" {
						s.owner.moved("at-b")
						require.NoError(t, <-ends)
						time.Sleep(time.Second)
						require.NotContains(t, c.calls("at-b"), methodServed, "the request that its asker waits for is dropped at the next holder")
						return
					}
					s.owner.thaw(state)
					synctest.Wait()
					s.owner.mu.Lock()
					defer s.owner.mu.Unlock()
					require.Equal(t, len(s.owner.waiting), s.owner.planner.RequestCount(), "try %d: its asker waits for a request that isn't held", i)
				})
			}
		})
	}
}
