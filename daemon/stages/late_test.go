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

// TestHolderThatAnswersLate guards against a second queue beside that of a holder which lives
// and answers late, and against asks that go on to one whose connection is silent.
func TestSlowHolder(t *testing.T) {
	const deadline = 3 * time.Second
	cases := map[string]struct {
		after time.Duration
		// errs are the ends of the first asks.
		errs []error
		// owner is who serves a request, "" if none does, and took the time until then.
		owner string
		took  time.Duration
		// asked and next are the calls to the holder and to the one that is picked next.
		asked, next []string
	}{
		"within the deadline": {
			after: 2 * time.Second, owner: "at-b", took: 2 * time.Second,
			asked: []string{methodAssign, methodAssign},
		},
		"after the deadline": {
			after: time.Minute, took: deadline,
			asked: []string{methodAssign, methodRequestEnds, methodAssign, methodRequestEnds},
		},
		"connection is silent": {
			after: time.Second, errs: []error{peer.ErrSilent}, owner: "at-c", took: time.Second,
			asked: []string{methodAssign}, next: []string{methodAssign, methodAssign},
		},
		"connection is reset": {
			errs: []error{peer.ErrConnLost}, owner: "at-b",
			asked: []string{methodAssign, methodAssign, methodAssign},
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
				ask := func(id string) {
					ctx, cancel := context.WithTimeout(t.Context(), deadline)
					defer cancel()
					made, err := s.Execute(ctx, emptyRequest(id), placing.Prompt{})
					require.Equal(t, c.owner, made.Holder)
					require.Equal(t, c.owner == "", err != nil)
				}
				begun := time.Now()
				ask("1")
				require.Equal(t, c.took, time.Since(begun))
				time.Sleep(2 * dropDelay)
				ask("2")
				time.Sleep(2 * dropDelay)
				require.Equal(t, c.asked, cluster.methodsCalled("at-b"))
				require.Equal(t, c.next, cluster.methodsCalled("at-c"))
			})
		})
	}
}

// TestHandOverToOneThatAnswersLate guards against a queue that waits for an instance which
// takes it late, or that two instances have since the word on its last part was late.
func TestHandoverToSlowInstance(t *testing.T) {
	const parts = 2
	for late, owner := range map[int]string{1: "at-c", parts: "at-b"} {
		synctest.Test(t, func(t *testing.T) {
			c := newFakeCluster(3)
			came := 0
			c.respond = func(ctx context.Context, to, method string, body []byte) ([]byte, error) {
				if to == "at-b" && method == methodHandover {
					if came++; came == late {
						return neverRespond(ctx, to, method, body)
					}
				}
				return acceptHandover(t)(ctx, to, method, body)
			}
			s := startStages(t, c)
			holdCall(t, s, time.Minute)
			begun := time.Now()
			s.Yield()
			require.Equal(t, partTimeout, time.Since(begun))
			require.Equal(t, owner, s.queue.yieldedTo())
			require.Equal(t, owner == "at-b", len(c.methodsCalled("at-c")) == 0)
		})
	}
}

// TestHandOverOverALostConnection guards against a queue that is given to a third instance,
// while askers turn to the one whose connection was found lost as the holder woke.
func TestHandoverOverLostConnection(t *testing.T) {
	for lost, owner := range map[int]string{1: "at-b", 2: "at-c"} {
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
			require.Equal(t, owner, s.queue.yieldedTo())
		})
	}
}
