package stages

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// Prevents a second queue beside the queue of a live holder that responds slowly, and
// requests that continue to be sent to a holder with a silent connection.
func TestSlowHolder(t *testing.T) {
	const deadline = 3 * time.Second
	cases := map[string]struct {
		after time.Duration
		// errs are the errors of the first calls.
		errs []error
		// holder is the instance that serves the request, or "" if none does. took is the
		// time until the request ends.
		holder string
		took   time.Duration
		// called and next are the calls to the holder and to the instance that is picked
		// next.
		called, next []string
	}{
		"within the deadline": {
			after: 2 * time.Second, holder: "at-b", took: 2 * time.Second,
			called: []string{methodAssign, methodAssign},
		},
		"after the deadline": {
			after: time.Minute, took: deadline,
			called: []string{methodAssign, methodRequestEnds, methodAssign, methodRequestEnds},
		},
		"connection is silent": {
			after: time.Second, errs: []error{peer.ErrSilent}, holder: "at-c", took: time.Second,
			called: []string{methodAssign}, next: []string{methodAssign, methodAssign},
		},
		"connection is reset": {
			errs: []error{peer.ErrConnLost}, holder: "at-b",
			called: []string{methodAssign, methodAssign, methodAssign},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newFakeCluster(3)
				cluster.members[0].Incarnation = 9 // b holds the queue
				errs := c.errs
				cluster.respond = func(ctx context.Context, to, method string, _ []byte) ([]byte, error) {
					if method != methodAssign || to != "at-b" {
						return encode(&assignResponse{})
					}
					select {
					case <-time.After(c.after):
					case <-ctx.Done():
						return nil, ctx.Err()
					}
					if len(errs) == 0 {
						return encode(&assignResponse{})
					}
					err := errs[0]
					errs = errs[1:]
					return nil, err
				}
				s := startStages(t, cluster)
				execute := func(id string) {
					ctx, cancel := context.WithTimeout(t.Context(), deadline)
					defer cancel()
					result, err := s.Execute(ctx, emptyRequest(id), placing.Prompt{})
					require.Equal(t, c.holder, result.Holder)
					require.Equal(t, c.holder == "", err != nil)
				}
				start := time.Now()
				execute("1")
				require.Equal(t, c.took, time.Since(start))
				time.Sleep(2 * dropDelay)
				execute("2")
				time.Sleep(2 * dropDelay)
				require.Equal(t, c.called, cluster.methodsCalled("at-b"))
				require.Equal(t, c.next, cluster.methodsCalled("at-c"))
			})
		})
	}
}

// Prevents a queue from waiting for an instance that accepts it late, and from being held by
// two instances because the response to its last part was late.
func TestHandoverToSlowInstance(t *testing.T) {
	const parts = 2
	for late, holder := range map[int]string{1: "at-c", parts: "at-b"} {
		synctest.Test(t, func(t *testing.T) {
			c := newFakeCluster(3)
			received := 0
			c.respond = func(ctx context.Context, to, method string, body []byte) ([]byte, error) {
				if to == "at-b" && method == methodHandover {
					if received++; received == late {
						return neverRespond(ctx, to, method, body)
					}
				}
				return acceptHandover(t)(ctx, to, method, body)
			}
			s := startStages(t, c)
			holdCall(t, s, time.Minute)
			start := time.Now()
			s.Yield()
			require.Equal(t, partTimeout, time.Since(start))
			require.Equal(t, holder, s.queue.yieldedTo())
			require.Equal(t, holder == "at-b", len(c.methodsCalled("at-c")) == 0)
		})
	}
}

// Prevents a queue from being handed over to a third instance while requesters turn to the
// instance to which the holder's connection was found lost after its stall.
func TestHandoverOverLostConnection(t *testing.T) {
	for lost, holder := range map[int]string{1: "at-b", 2: "at-c"} {
		synctest.Test(t, func(t *testing.T) {
			c := newFakeCluster(3)
			c.respond = func(ctx context.Context, to, method string, body []byte) ([]byte, error) {
				if to == "at-b" && method == methodHandover && lost > 0 {
					lost--
					return nil, peer.ErrConnLost
				}
				return acceptHandover(t)(ctx, to, method, body)
			}
			s := startStages(t, c)
			holdCall(t, s, time.Minute)
			s.Yield()
			require.Equal(t, holder, s.queue.yieldedTo())
		})
	}
}
