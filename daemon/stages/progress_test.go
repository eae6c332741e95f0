package stages

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// Guards against ends of streams that release what belongs to the request's next try, and against
// holders of an earlier version that aren't told of first events.
func TestProgressIsReported(t *testing.T) {
	first := placing.RequestEnd{Request: "1", Engine: "e", FirstEvent: 1, Running: true}
	last := placing.RequestEnd{Request: "1", Engine: "e", FirstEvent: 1, Duration: 2, Events: 3, Complete: true}
	cases := map[string]struct {
		answer error
		ends   []placing.RequestEnd
		want   []string
	}{
		"new holder":                      {nil, []placing.RequestEnd{first, last}, []string{methodRequestProgress}},
		"earlier holder":                  {peer.ErrNoMethod, []placing.RequestEnd{first, last}, []string{methodRequestProgress, methodRequestEnds}},
		"earlier holder, ends of streams": {peer.ErrNoMethod, []placing.RequestEnd{last}, []string{methodRequestProgress}},
		"without accounts":                {nil, []placing.RequestEnd{{Request: "1", Engine: "e", FirstEvent: 1}}, []string{methodRequestEnds}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newFakeCluster(2)
				cluster.respond = func(_ context.Context, _, method string, _ []byte) ([]byte, error) {
					if method == methodRequestProgress {
						return nil, c.answer
					}
					return nil, nil
				}
				s := startStages(t, cluster)
				for _, end := range c.ends {
					s.Drop("at-b", end)
				}
				time.Sleep(2 * dropDelay)
				require.Equal(t, c.want, cluster.methodsCalled("at-b"))
			})
		})
	}
}

// Guards against a report of the end of a stream that drops the same request as it waits again.
func TestEndOfStreamKeepsTheNextTry(t *testing.T) {
	s := startStages(t, newFakeCluster(1))
	s.queue.mu.Lock()
	s.queue.prompts["1"] = heldPrompt{}
	s.queue.mu.Unlock()
	s.queue.drop(placing.RequestEnd{Request: "1", Engine: "e", Duration: 1})
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	require.Contains(t, s.queue.prompts, "1")
}

// Guards against a next holder that takes busy engines for idle, and against one of an earlier version
// for which a handover fails.
func TestHandoverCarriesRunningRequests(t *testing.T) {
	for name, answer := range map[string]error{"known": nil, "earlier version": peer.ErrNoMethod, "lost": errors.New("lost")} {
		t.Run(name, func(t *testing.T) {
			next, old := queueWithEngines(), queueWithEngines()
			for _, q := range []*queue{next, old} {
				q.engines = placing.NewTableByCost()
				q.engines.SetEngines(placing.Pool{Name: "p"}, []placing.Engine{{Incarnation: "e"}})
			}
			old.engines.RecordSent(time.Now(), "1", &placing.Prompt{Pool: "p"}, placing.Choice{Engine: placing.Engine{Incarnation: "e"}})
			receiver := &Stages{queue: next}
			cluster := newFakeCluster(2)
			cluster.respond = func(ctx context.Context, _, method string, body []byte) ([]byte, error) {
				if method == methodRunning && answer == nil {
					return receiver.handleRunning(ctx, peer.Peer{}, body)
				}
				return nil, answer
			}
			s := &Stages{queue: old, cluster: cluster, placesByCost: true}
			s.sendCaches("at-b")
			require.Equal(t, answer == nil, len(next.engines.Running(time.Now())) == 1)
		})
	}
}
