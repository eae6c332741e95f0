package serve

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/outcome"
	"github.com/ivyhollow/ivyhollow/daemon/execute"
	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
)

// A caller loses its connection while its request runs, and asks for the response by the
// request's id. It must get the response to the first call once the response is available.
// A caller of another account must never get it.
func TestJoinARunningRequest(t *testing.T) {
	problem := &execute.Failure{Reason: execute.ReasonTarget, Verdict: outcome.Unknown}
	cases := map[string]struct {
		output string
		err    error
		// wait is the wait_ms of the second call; the request takes a second. With
		// "late" the call comes after the request has ended.
		wait         string
		first, again int
	}{
		"answer":        {output: "out", wait: "2000", first: 200, again: 200},
		"problem":       {err: problem, wait: "2000", first: 502, again: 502},
		"waits less":    {output: "out", wait: "500", first: 202, again: 200},
		"no wait":       {output: "out", first: 202, again: 200},
		"too large":     {output: strings.Repeat("x", maxJoinBodyBytes), wait: "2000", first: 410, again: 410},
		"not a wait":    {output: "out", wait: "x", first: 400, again: 400},
		"nobody joined": {output: "out", wait: "late", first: 410, again: 410},
	}
	for name, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			var id string
			r := newRig(t, func(_ context.Context, job execute.Job) (execute.Result, error) {
				id = job.ID
				<-time.After(time.Second)
				return execute.Result{Output: c.output}, c.err
			}, nil)
			direct := make(chan testResponse, 1)
			go func() { direct <- r.do(t, testRequest{pipeline: "again"}) }()
			synctest.Wait()
			if c.wait == "late" {
				<-time.After(2 * time.Second)
				c.wait = ""
			}
			got := r.join(id, c.wait)
			require.Equal(t, c.first, got.Code, name)
			want := <-direct
			got = r.join(id, c.wait)
			require.Equal(t, c.again, got.Code, name)
			if c.again == want.status {
				require.JSONEq(t, want.raw, got.Body.String())
			}
			require.Zero(t, r.server.joinWaits.count())
			_, ok := r.server.JoinLocal(t.Context(), id, "other")
			require.False(t, ok, "another account")
		})
	}
}

func (r *rig) join(id, wait string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, "/v1/requests/"+id+"/answer?wait_ms="+wait, nil)
	request.Header.Set("Authorization", "Bearer "+callerKey)
	r.server.Handler().ServeHTTP(w, request)
	return w
}

// Another instance serves the request. The response from that instance is passed on, but
// not if it belongs to a request of another account, whatever that instance responds.
func TestJoinThroughAnotherInstance(t *testing.T) {
	for account, status := range map[string]int{"a": http.StatusOK, "b": http.StatusNotFound} {
		r := newRig(t, respondOK, nil)
		r.joined = &JoinResult{Request: &callerapi.RequestStatus{Account: account}, HTTPStatus: 200, Body: json.RawMessage(`{}`)}
		require.Equal(t, status, r.join("two.1.1-1", "").Code)
	}
}

// Many requests are joined and their responses never fetched. The memory for them must
// stay bounded.
func TestJoinsAreBounded(t *testing.T) {
	j := newJoinTable()
	for i := range 2 * maxJoins {
		id := strings.Repeat("i", i)
		require.NotNil(t, j.findOrAdd(id))
		j.complete(id, http.StatusOK, "", make([]byte, maxJoinBytes/64))
		require.LessOrEqual(t, j.bytes, maxJoinBytes)
		require.LessOrEqual(t, len(j.byID), maxJoins)
	}
	require.EqualValues(t, len(j.byID), j.count.Load())
	for i := range maxJoins - len(j.byID) {
		require.NotNil(t, j.findOrAdd(strings.Repeat("r", i+1)))
	}
	for len(j.completed) > 0 {
		require.NotNil(t, j.findOrAdd("n"+strings.Repeat("n", len(j.completed))))
	}
	require.Nil(t, j.findOrAdd("full of running ones"))
}
