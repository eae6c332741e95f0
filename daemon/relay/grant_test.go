package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/pacing"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/stages"
	"github.com/ivyhollow/ivyhollow/transport/forward"
)

// granter is a holder of the stage queue that grants sends in turn. It grants none after the last.
type granter struct {
	stageRunner
	grants []stages.Result
	asked  []gather.Request
	// excluded has the engines that each request for a grant excluded.
	excluded [][]string
	dropped  []placing.RequestEnd
}

func (g *granter) Execute(_ context.Context, r gather.Request, prompt placing.Prompt) (stages.Result, error) {
	g.asked = append(g.asked, r)
	g.excluded = append(g.excluded, prompt.Exclude)
	if len(g.grants) == 0 {
		return stages.Result{Handles: []string{}, Holder: "h"}, nil
	}
	next := g.grants[0]
	g.grants = g.grants[1:]
	return next, nil
}

func (g *granter) Drop(_ string, end placing.RequestEnd) { g.dropped = append(g.dropped, end) }

func pacedRequest(g *granter) *request {
	s := stagedRelay(g)
	s.options.Paced = func(service string) bool { return service == "engine" }
	route, _ := s.options.Table().Match("example.com", "/")
	now := time.Now()
	return &request{
		r:     httptest.NewRequest(http.MethodPost, "http://example.com/", strings.NewReader("")),
		relay: s, route: route, service: "engine", paced: true, arrived: now, objective: now.Add(time.Second), deadline: now.Add(10 * time.Second),
	}
}

// A request to a paced service must go only to the target of a grant, and not before its time.
func TestRequestAwaitsItsGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		g := &granter{grants: []stages.Result{
			{Engine: "ejected elsewhere", Holder: "h", SendAt: begin},
			{Engine: "e", Holder: "h", SendAt: begin.Add(300 * time.Millisecond)},
		}}
		q := pacedRequest(g)
		q.excluded = []string{"failed"}
		choice, err := q.awaitGrant(t.Context())
		require.NoError(t, err)
		require.Equal(t, "e", choice.Target.Incarnation)
		require.Equal(t, 300*time.Millisecond, time.Since(begin))
		require.Len(t, g.asked, 2)
		require.Empty(t, g.asked[0].Stages, "the stages have run")
		require.NotEqual(t, g.asked[0].ID, g.asked[1].ID, "one would replace the other at the holder")
		require.Equal(t, [][]string{{"failed"}, {"failed", "ejected elsewhere"}}, g.excluded)
		require.Equal(t, g.asked[0].ID, g.dropped[0].Request)
		require.Empty(t, q.preferredEngine, "a grant is for one send")

		require.True(t, grantValid(q.paced, q.sendAt, time.Now().Add(pacing.GrantValidity)))
		require.False(t, grantValid(q.paced, q.sendAt, time.Now().Add(pacing.GrantValidity+1)))
	})
}

// All targets have had their share for longer than the caller waits. It must be told at once, with
// the time at which its turn comes.
func TestGrantAfterTheDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		q := pacedRequest(&granter{grants: []stages.Result{{Engine: "e", Holder: "h", SendAt: begin.Add(11 * time.Second)}}})
		_, err := q.awaitGrant(t.Context())
		var refused *stages.RefusedError
		require.ErrorAs(t, err, &refused)
		require.Equal(t, 11*time.Second, refused.RetryAfter)
		require.Equal(t, begin, time.Now())
	})
}

// A grant ran out, or the target's data centre was drained, while the request was on its way to a
// send. That tells nothing of the target, which must not be ejected for it, and costs no retry.
func TestWithdrawnSendIsNoFailureOfTheTarget(t *testing.T) {
	q := pacedRequest(&granter{})
	outcome, err := q.classifyError(t.Context(), &forward.Error{Step: forward.StepConnect, Peer: "x", Err: forward.ErrWithdrawn})
	require.Equal(t, routing.OutcomeCancelled, outcome)
	retry, err := q.decideRetry(t.Context(), &attempt{target: routing.Target{Incarnation: "e"}}, err)
	require.NoError(t, err)
	require.True(t, retry)
	require.Empty(t, q.excluded)
	require.False(t, q.mayHaveRun)
}

// No target may be granted: the request is refused as not run, with a time to come back.
func TestRequestWithoutGrantIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := pacedRequest(&granter{})
		w := httptest.NewRecorder()
		q.relay.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com/", strings.NewReader("")))
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.NotEmpty(t, w.Header().Get("Retry-After"))
	})
}
