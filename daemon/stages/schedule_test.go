package stages

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// Guards against a next holder that takes the requests of all accounts for those of one, and against
// a handover that fails because the next holder is of an earlier version or loses the message.
func TestHandoverKeepsAccounts(t *testing.T) {
	cases := []struct {
		name string
		lost error
		want string
	}{
		{"known", nil, "account"},
		{"earlier version", peer.ErrNoMethod, ""},
		{"lost", errors.New("lost"), ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sharing := gather.Config{AccountSharing: true}
				next := startStagesWith(t, newFakeCluster(2), sharing)
				cluster := newFakeCluster(2)
				cluster.respond = func(ctx context.Context, _, method string, body []byte) ([]byte, error) {
					switch {
					case method == methodHandover:
						return next.handleHandover(ctx, peer.Peer{}, body)
					case method == methodTakeSchedule && c.lost == nil:
						return next.handleTakeSchedule(ctx, peer.Peer{}, body)
					}
					return nil, c.lost
				}
				s := startStagesWith(t, cluster, sharing)
				s.queue.prepareSchedule(gather.ScheduleState{Requests: []gather.ScheduledRequest{{ID: "1", Account: "account", Yields: true, KeyDelays: []time.Duration{time.Second}}}})
				require.True(t, s.queue.takeOver(instanceID{"z", 1}, gather.State{Requests: []gather.RequestState{pendingRequest("1")}}))
				// A handover that nobody accepts keeps them as well.
				s.queue.unfreeze(s.queue.freeze())
				s.Handover(t.Context())
				require.Equal(t, "at-b", s.queue.movedTo)
				got := next.queue.planner.ExportSchedule(time.Now())
				require.Len(t, got.Requests, 1)
				require.Equal(t, c.want, got.Requests[0].Account)
				require.Equal(t, c.want != "", got.Requests[0].Yields)
			})
		})
	}
}

// Guards against bytes that instances of an earlier version don't expect, while nothing is scheduled
// by account.
func TestHandoverWithoutSharingSendsNoSchedule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(2)
		c.respond = acceptHandover(t)
		s := startStages(t, c)
		require.True(t, s.queue.takeOver(instanceID{"z", 1}, gather.State{Requests: []gather.RequestState{pendingRequest("1")}}))
		s.Handover(t.Context())
		require.NotContains(t, c.methodsCalled("at-b"), methodTakeSchedule)
		require.Contains(t, c.methodsCalled("at-b"), methodHandover)
	})
}

// Guards against requests that fail while the holder is of an earlier version than the requester.
func TestRequestsReachHoldersOfEarlierVersions(t *testing.T) {
	methods := []string{methodSchedule, methodAssignPaced, methodAssign, methodRedirectable, methodRun}
	for known, latest := range methods {
		t.Run(latest, func(t *testing.T) {
			c := newFakeCluster(2)
			run := runResponse{Handles: []string{"handle"}}
			redirectable := redirectableResponse{Run: run}
			assign := assignResponse{Redirectable: redirectable}
			paced := pacedResponse{Assign: assign}
			responses := []any{&scheduleResponse{Paced: paced}, &paced, &assign, &redirectable, &run}
			c.respond = func(_ context.Context, _, method string, _ []byte) ([]byte, error) {
				if slices.Index(methods, method) < known {
					return nil, peer.ErrNoMethod
				}
				return encode(responses[slices.Index(methods, method)])
			}
			s := startStagesWith(t, c, gather.Config{AccountSharing: true})
			request := newScheduleRequest(&assignRequest{redirectableRequest{Run: *newRunRequest(time.Now(), emptyRequest("1"))}, placing.Prompt{Pool: "pool"}}, gather.Request{Account: "account"})
			response, err := s.executeRemote(t.Context(), "at-b", request)
			require.NoError(t, err)
			require.Equal(t, []string{"handle"}, response.Paced.Assign.Redirectable.Run.Handles)
			require.Equal(t, methods[:known+1], c.methodsCalled("at-b"))
		})
	}
}

// Guards against a holder that isn't told what the caller says of the output, and against bytes that
// instances without placement by cost don't expect.
func TestOutputEstimateReachesTheHolder(t *testing.T) {
	for name, c := range map[string]struct {
		byCost, sharing bool
		pool            string
		prompt          placing.Prompt
		method          string
	}{
		"by cost":              {byCost: true, pool: "pool", prompt: placing.Prompt{Hint: 7, MaxOutput: 9}, method: methodSchedule},
		"by cost, none":        {byCost: true, pool: "pool", method: methodSchedule},
		"by cost, no engine":   {byCost: true, method: methodAssign},
		"accounts share alone": {sharing: true, pool: "pool", method: methodSchedule},
		"off":                  {pool: "pool", method: methodAssignPaced},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newFakeCluster(2)
			var sent []byte
			cluster.respond = func(_ context.Context, _, method string, body []byte) ([]byte, error) {
				sent = body
				return encode(map[string]any{methodSchedule: &scheduleResponse{}, methodAssignPaced: &pacedResponse{}, methodAssign: &assignResponse{}}[method])
			}
			s := startStagesWith(t, cluster, gather.Config{AccountSharing: c.sharing})
			s.placesByCost = c.byCost
			request := &scheduleRequest{Account: "account"}
			request.Assign.Prompt = placing.Prompt{Pool: c.pool, Hint: 7, MaxOutput: 9}
			if c.byCost {
				request.Assign.Prompt.Hint, request.Assign.Prompt.MaxOutput = c.prompt.Hint, c.prompt.MaxOutput
			}
			_, err := s.executeRemote(t.Context(), "at-b", request)
			require.NoError(t, err)
			require.Equal(t, []string{c.method}, cluster.methodsCalled("at-b"))
			if c.method != methodSchedule {
				return
			}
			got, err := decodeSchedule(sent)
			require.NoError(t, err)
			c.prompt.Pool = c.pool
			require.Equal(t, c.prompt, got.Assign.Prompt)
			scheduled := sent
			_, err = s.explainAt(t.Context(), cluster.members[1], gather.Request{}, request.Assign.Prompt)
			require.NoError(t, err)
			asked, err := decodeSchedule(sent)
			require.NoError(t, err)
			require.Equal(t, c.prompt, asked.Assign.Prompt, "a query gets the same estimate")
			if c.prompt.Hint == 0 {
				plain, err := encode(request)
				require.NoError(t, err)
				require.Equal(t, plain, scheduled)
			}
		})
	}
}
