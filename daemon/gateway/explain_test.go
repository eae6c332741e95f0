package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/blocklist"
	"github.com/ivyhollow/ivyhollow/daemon/relay"
	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/protocol/explainapi"
	"github.com/ivyhollow/ivyhollow/state/routes"
)

// Fails if the admin address answers a malformed query or one about an unknown route as if it were
// valid, or doesn't answer a valid one.
func TestExplainIsServed(t *testing.T) {
	table := routes.Build(routes.Table{}, []*routes.Route{{Name: "r", TrafficSplit: []routes.WeightedService{{Service: "s", Weight: 1}}}}, nil)
	router := routing.New(routing.Config{})
	router.SetTargets(time.Now(), routing.Pool{Name: "s"}, []routing.Target{{Incarnation: "t", Pool: "s", Slots: 1}})
	g := &Gateway{relay: relay.New(relay.Options{
		Instance: "one", Table: func() *routes.Table { return table }, Router: router, Scope: tally.NoopScope,
		KnowledgeAge: func() time.Duration { return 0 }, Blocklist: blocklist.None{},
	})}
	get := func(query string, into any) int {
		w := httptest.NewRecorder()
		g.serveExplain(w, httptest.NewRequest(http.MethodGet, explainapi.Path+"?"+query, nil))
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), into))
		return w.Code
	}
	var problem callerapi.Problem
	require.Equal(t, http.StatusBadRequest, get("route=r&tokens=1", &problem))
	require.Equal(t, explainapi.ParamTokens, problem.Field)
	require.Equal(t, http.StatusNotFound, get("route=other", &problem))
	var answer explainapi.Answer
	require.Equal(t, http.StatusOK, get("route=r", &answer))
	require.Equal(t, explainapi.Decider{Role: explainapi.RoleInstance, Name: "one"}, answer.DecidedBy)
	require.Equal(t, "t", answer.Chosen)
	require.Len(t, answer.Candidates, 1)
}
