package stages

import (
	"context"
	"encoding/hex"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// explainable has a stage that no target serves.
func explainable() gather.Request {
	r := emptyRequest("")
	r.Stages[0].Pieces = 1
	return r
}

// Fails if the queue's own answer lacks the refusal or the engines, or if a query leaves a prompt, a
// request or a grant behind.
func TestQueueExplainsWithoutATrace(t *testing.T) {
	q := queueWithEngines()
	q.pacedPools.Store(&map[string]bool{"engines": true})
	prompts, waiters, requests := len(q.prompts), len(q.waiters), q.planner.RequestCount()
	response := q.explain(time.Now(), explainable(), uniquePrompt(500))
	require.Equal(t, string(gather.ReasonNoTarget), response.Reason)
	require.Equal(t, time.Second, response.RetryAfter)
	require.Len(t, response.Engines, 2)
	require.NotEmpty(t, response.Engine)
	require.Nil(t, q.grantsView)
	require.Equal(t, []int{prompts, waiters, requests}, []int{len(q.prompts), len(q.waiters), q.planner.RequestCount()})
	r := explainable()
	r.Stages = nil
	require.Empty(t, q.explain(time.Now(), r, placing.Prompt{}).Reason)
	q.frozen = true
	require.True(t, q.explain(time.Now(), r, placing.Prompt{}).HandsOver)
	q.frozen, q.movedTo = false, "at-b"
	require.Equal(t, "at-b", q.explain(time.Now(), r, placing.Prompt{}).MovedTo)
}

// Fails if the answer of a remote holder is lost, if a query waits for a holder that doesn't answer, or
// if it has the asking instance avoid or follow another one.
func TestHolderIsAskedOnce(t *testing.T) {
	for name, c := range map[string]struct {
		respond func(ctx context.Context, to, method string, body []byte) ([]byte, error)
		err     error
		timeout bool
	}{
		"answers": {respond: func(ctx context.Context, to, _ string, body []byte) ([]byte, error) {
			if to == "at-b" {
				return msgpack.Marshal(&explainResponse{MovedTo: "at-c"})
			}
			return (&Stages{queue: queueWithEngines()}).handleExplain(ctx, peer.Peer{}, body)
		}},
		"earlier version": {respond: func(context.Context, string, string, []byte) ([]byte, error) { return nil, peer.ErrNoMethod }, err: ErrEarlierVersion},
		"hands over": {respond: func(context.Context, string, string, []byte) ([]byte, error) {
			return msgpack.Marshal(&explainResponse{HandsOver: true})
		}, err: ErrHandover},
		"silent": {respond: neverRespond, err: context.DeadlineExceeded, timeout: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newFakeCluster(3)
				cluster.respond = c.respond
				cluster.members[1].Capacity = 9 // the holder
				s := startStages(t, cluster)
				begin := time.Now()
				e, err := s.Explain(t.Context(), explainable(), uniquePrompt(500))
				require.ErrorIs(t, err, c.err)
				require.Equal(t, c.timeout, time.Since(begin) == explainTimeout)
				require.Equal(t, []string{methodExplain}, cluster.methodsCalled("at-b"))
				require.Empty(t, s.avoidedUntil)
				require.Empty(t, s.redirects)
				require.Empty(t, s.lastResponse)
				require.Empty(t, s.waiting)
				if c.err != nil {
					require.Equal(t, "b", e.Holder)
					return
				}
				require.Equal(t, "c", e.Holder)
				require.Equal(t, gather.ReasonNoTarget, e.Refused.Reason)
				require.Len(t, e.Engines, 2)
			})
		})
	}
}

// Fails if a field of the answer is renamed, which instances of other versions read, or if one that an
// instance doesn't know isn't ignored.
func TestBytesOfExplanation(t *testing.T) {
	body, err := msgpack.Marshal(&explainResponse{
		MovedTo: "m", HandsOver: true, Stages: []gather.StagePrediction{{Service: "s", Pieces: 1, Wait: 2, Time: 3}}, Reason: "r", RetryAfter: 4,
		Reserved: true, Omitted: 5, Engine: "e", SendAfter: 6,
		Engines: []placing.Explained{{
			Engine: placing.Engine{Incarnation: "i", Name: "n", DataCentre: "d"}, State: placing.StateUsable, CachedTokens: 7, Slowdown: 8, Chosen: true,
			Terms: placing.Terms{Wait: 1, Own: 2, Reading: 3, Memory: 4, Crossing: 5, Penalty: 6, Home: 7},
		}},
	})
	require.NoError(t, err)
	require.Equal(t, "8aa74d6f766564546fa16da948616e64734f766572c3a65374616765739184a753657276696365a173a650696563657301a457616974d3"+
		"0000000000000002a454696d65d30000000000000003a6526561736f6ea172aa52657472794166746572d30000000000000004a852657365"+
		"72766564c3a7456e67696e65739186a6456e67696e6583ab496e6361726e6174696f6ea169a44e616d65a16eaa4461746143656e747265a1"+
		"64a55374617465a6757361626c65a55465726d7387a457616974d30000000000000001a34f776ed30000000000000002a752656164696e67"+
		"d30000000000000003a64d656d6f7279d30000000000000004a843726f7373696e67d30000000000000005a750656e616c7479d300000000"+
		"00000006a4486f6d65d30000000000000007ac436163686564546f6b656e7307a8536c6f77646f776ecb4020000000000000a643686f7365"+
		"6ec3a74f6d697474656405a6456e67696e65a165a953656e644166746572d30000000000000006", hex.EncodeToString(body))
	body, err = msgpack.Marshal(map[string]any{"Engine": "e", "Later": 1})
	require.NoError(t, err)
	var response explainResponse
	require.NoError(t, msgpack.Unmarshal(body, &response))
	require.Equal(t, explainResponse{Engine: "e"}, response)
}
