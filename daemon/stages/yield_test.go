package stages

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// TestInstanceThatStoodStillBeginsTheHandOver guards against an instance that wakes and goes
// on with its queue, while its askers have turned to another holder.
func TestStalledInstanceStartsHandover(t *testing.T) {
	const stoodStill, ranLate = 1500 * time.Millisecond, 500 * time.Millisecond
	cases := map[string]struct {
		instances int
		still     time.Duration
		holds     bool
		moves     bool
	}{
		"stood still":            {3, stoodStill, true, true},
		"ran late":               {3, ranLate, true, false},
		"held nothing":           {3, stoodStill, false, false},
		"knows no other to have": {1, stoodStill, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newFakeCluster(c.instances)
				cluster.respond = acceptHandover(t)
				s := startStages(t, cluster)
				time.Sleep(2 * tick)
				if c.holds {
					holdCall(t, s, time.Minute)
				}
				cluster.stall(c.still)
				synctest.Wait()
				require.Equal(t, c.moves, s.queue.hasMoved())
				made, err := s.Execute(t.Context(), emptyRequest("1"), placing.Prompt{})
				require.NoError(t, err)
				require.Equal(t, map[bool]string{true: "at-b", false: "at-a"}[c.moves], made.Holder)
				s.queue.mu.Lock()
				defer s.queue.mu.Unlock()
				require.Equal(t, c.holds && !c.moves, s.queue.planner.CallCount() == 1, "the call is counted by who holds the queue")
			})
		})
	}
}

// TestRequestThatWakesAHolderIsNotServedThere guards against a request that comes before the
// first tick after its holder stood still, and begins calls beside the next holder's.
func TestRequestThatEndsStallIsNotServedThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(3)
		c.respond = acceptHandover(t)
		s := startStages(t, c)
		time.Sleep(2 * tick)
		holdCall(t, s, time.Minute)
		ends := make(chan outcome, 1)
		time.AfterFunc(1400*time.Millisecond, func() {
			end, err := s.queue.execute(t.Context(), emptyRequest("1"), placing.Prompt{}, false, true)
			assert.NoError(t, err)
			ends <- end
		})
		c.stall(1500 * time.Millisecond)
		require.Equal(t, "at-b", (<-ends).movedTo)
	})
}

// TestQueueIsTakenBackFromAMemberThatIsGone guards against askers that are sent on to an
// instance which has the queue since a yield, when its end is known.
func TestQueueIsTakenBackFromDeadMember(t *testing.T) {
	for state, goneNow := range map[membership.State]bool{membership.Dead: true, membership.Left: true, membership.Suspect: false} {
		t.Run(state.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newFakeCluster(3)
				c.respond = acceptHandover(t)
				s := startStages(t, c)
				s.Yield()
				require.True(t, s.queue.hasMoved())
				c.set("b", state)
				time.Sleep(2 * tick)
				answer, err := s.executeFor(t.Context(), peer.Peer{Member: c.members[2]}, &assignRequest{Redirectable: redirectableRequest{
					Run: *newRunRequest(time.Now(), emptyRequest("1")),
				}})
				require.NoError(t, err)
				require.Equal(t, map[bool]string{true: "", false: "at-b"}[goneNow], answer.Redirectable.MovedTo)
				made, err := s.Execute(t.Context(), emptyRequest("2"), placing.Prompt{})
				require.NoError(t, err)
				require.Equal(t, map[bool]string{true: "at-a", false: "at-b"}[goneNow], made.Holder)
				require.Equal(t, !goneNow, len(c.methodsCalled("at-b")) > 0)
			})
		})
	}
}

// TestDropThatWakesAHolderIsPassedOn guards against results that stay, since the word on their
// request is the first that a holder hears after it stood still.
func TestDropThatEndsStallIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(3)
		c.respond = acceptHandover(t)
		s := startStages(t, c)
		time.Sleep(2 * tick)
		holdCall(t, s, time.Minute)
		time.AfterFunc(1400*time.Millisecond, func() { s.queue.drop(placing.RequestEnd{Request: "x"}) })
		c.stall(1500 * time.Millisecond)
		time.Sleep(time.Second)
		require.True(t, s.queue.hasMoved())
		require.Contains(t, c.methodsCalled("at-b"), methodRequestEnds)
	})
}
