package stages

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// Guards against a holder that goes on with its requests after a larger instance has joined, and against
// one that gives them to an instance that isn't to hold them.
func TestQueueIsHandedToALargerInstance(t *testing.T) {
	for name, requests := range map[string][]gather.RequestState{"with a request": {pendingRequest("1")}, "empty, taken over": nil} {
		t.Run(name, func(t *testing.T) { requireHandedToLarger(t, requests) })
	}
}

func requireHandedToLarger(t *testing.T, requests []gather.RequestState) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(2)
		c.respond = acceptHandover(t)
		s := startStages(t, c)
		larger := membership.Member{Name: "large", Address: "at-large", Incarnation: 9, Capacity: 10}
		claim := func(by membership.Member) (unknown bool) {
			var response claimResponse
			body, err := s.handleClaim(t.Context(), peer.Peer{Member: by}, nil)
			require.NoError(t, err)
			require.NoError(t, msgpack.Unmarshal(body, &response))
			return response.Unknown
		}
		equal := c.members[1]
		require.True(t, claim(larger), "it isn't known yet")
		require.True(t, claim(equal), "it ranks later")
		c.mu.Lock()
		c.members = append(c.members, larger)
		c.mu.Unlock()
		require.False(t, claim(larger))
		require.False(t, s.queue.hasMoved(), "there is nothing to hand over")

		require.True(t, s.queue.takeOver(instanceID{"z", 1}, gather.State{Requests: requests}))
		require.True(t, claim(equal))
		former := larger
		former.Incarnation--
		require.True(t, claim(former), "another run of it")
		require.False(t, s.queue.hasMoved())
		require.False(t, claim(larger))
		require.True(t, s.queue.hasMoved())
		require.Contains(t, c.methodsCalled("at-large"), methodHandover)
	})
}

// Guards against a queue that goes to a third instance because the one that claimed it doesn't accept it.
func TestQueueThatIsNotAcceptedAfterAClaimStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(2)
		c.respond = func(ctx context.Context, to, method string, body []byte) ([]byte, error) {
			if to == "at-large" {
				return encode(&handoverResponse{})
			}
			return acceptHandover(t)(ctx, to, method, body)
		}
		larger := membership.Member{Name: "large", Address: "at-large", Incarnation: 9, Capacity: 10}
		c.members = append(c.members, larger)
		s := startStages(t, c)
		require.True(t, s.queue.takeOver(instanceID{"z", 1}, gather.State{Requests: []gather.RequestState{pendingRequest("1")}}))
		_, err := s.handleClaim(t.Context(), peer.Peer{Member: larger}, nil)
		require.NoError(t, err)
		require.False(t, s.queue.hasMoved())
		require.Empty(t, c.methodsCalled("at-b"))
	})
}

// Guards against requests that wait for long because the former holder doesn't answer the claim, and
// against claims of instances that don't rank first, or that started long ago.
func TestClaimOfTheQueueIsBounded(t *testing.T) {
	unknown := func(context.Context, string, string, []byte) ([]byte, error) {
		return encode(&claimResponse{Unknown: true})
	}
	known := func(context.Context, string, string, []byte) ([]byte, error) { return encode(&claimResponse{}) }
	for name, c := range map[string]struct {
		capacity uint32
		age      time.Duration
		respond  func(ctx context.Context, to, method string, body []byte) ([]byte, error)
		wait     time.Duration
		claims   int
	}{
		"answered":     {capacity: 10, respond: known, claims: 1},
		"not answered": {capacity: 10, respond: neverRespond, wait: queueClaimTimeout, claims: 1},
		"not known":    {capacity: 10, respond: unknown, wait: queueClaimTimeout, claims: int(queueClaimTimeout / queueClaimRetryInterval)},
		"ranks later":  {capacity: 0, respond: neverRespond},
		"runs long":    {capacity: 10, respond: neverRespond, age: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newFakeCluster(2)
				cluster.respond = c.respond
				cluster.members[0].Capacity, cluster.members[0].Incarnation = c.capacity, 100
				s := startStages(t, cluster)
				time.Sleep(c.age)
				started := time.Now()
				s.awaitQueueClaim(context.Background())
				require.Equal(t, c.wait, time.Since(started))
				require.InDelta(t, c.claims, len(cluster.methodsCalled("at-b")), 1)
				require.Equal(t, c.claims > 0, len(cluster.methodsCalled("at-b")) > 0)
			})
		})
	}
}
