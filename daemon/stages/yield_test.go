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

// Prevents an instance from continuing with its queue after a stall, when its requesters have
// turned to another holder.
func TestStalledInstanceStartsHandover(t *testing.T) {
	const stallTime, lateTick = 1500 * time.Millisecond, 500 * time.Millisecond
	cases := map[string]struct {
		instances int
		stall     time.Duration
		holds     bool
		moves     bool
	}{
		"stalled":                 {3, stallTime, true, true},
		"late tick":               {3, lateTick, true, false},
		"holds nothing":           {3, stallTime, false, false},
		"knows no other instance": {1, stallTime, true, false},
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
				cluster.stall(c.stall)
				synctest.Wait()
				require.Equal(t, c.moves, s.queue.hasMoved())
				result, err := s.Execute(t.Context(), emptyRequest("1"), placing.Prompt{})
				require.NoError(t, err)
				require.Equal(t, map[bool]string{true: "at-b", false: "at-a"}[c.moves], result.Holder)
				s.queue.mu.Lock()
				defer s.queue.mu.Unlock()
				require.Equal(t, c.holds && !c.moves, s.queue.planner.CallCount() == 1, "the call is counted by the holder of the queue")
			})
		})
	}
}

// Prevents a request that arrives before the first tick after its holder's stall from
// starting calls beside those of the next holder.
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

// Prevents requesters from being redirected to an instance that has the queue since a yield,
// when its end is known.
func TestQueueIsTakenBackFromDeadMember(t *testing.T) {
	for state, notLive := range map[membership.State]bool{membership.Dead: true, membership.Left: true, membership.Suspect: false} {
		t.Run(state.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newFakeCluster(3)
				c.respond = acceptHandover(t)
				s := startStages(t, c)
				s.Yield()
				require.True(t, s.queue.hasMoved())
				c.set("b", state)
				time.Sleep(2 * tick)
				response, err := s.executeFor(t.Context(), peer.Peer{Member: c.members[2]}, &scheduleRequest{Assign: assignRequest{Redirectable: redirectableRequest{
					Run: *newRunRequest(time.Now(), emptyRequest("1")),
				}}})
				require.NoError(t, err)
				require.Equal(t, map[bool]string{true: "", false: "at-b"}[notLive], response.Paced.Assign.Redirectable.MovedTo)
				result, err := s.Execute(t.Context(), emptyRequest("2"), placing.Prompt{})
				require.NoError(t, err)
				require.Equal(t, map[bool]string{true: "at-a", false: "at-b"}[notLive], result.Holder)
				require.Equal(t, !notLive, len(c.methodsCalled("at-b")) > 0)
			})
		})
	}
}

// Prevents results from staying because the report of their request's end is the first
// message that a holder receives after a stall.
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
