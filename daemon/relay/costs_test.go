package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/cost"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/state/routes"
)

// Fails if the ends of responses teach nothing, if broken ones count as whole, or if a request stays
// in the account of its target.
func TestResponsesTeachTheirCost(t *testing.T) {
	events := func(w http.ResponseWriter, _ *http.Request) { flush(w, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n") }
	broken := func(w http.ResponseWriter, _ *http.Request) {
		flush(w, "id: 1\ndata: a\n\nid: 2\nda")
		panic(http.ErrAbortHandler)
	}
	resumed := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("After") == "" {
			broken(w, r)
		}
		flush(w, "id: 2\ndata: b\n\n")
	}
	for _, c := range []struct {
		name     string
		route    *routes.Route
		handler  http.HandlerFunc
		observed bool
		output   float64
	}{
		{"stream", streamRoute(1), events, true, 2},
		{"plain", &routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 1, LatencyObjective: time.Second}, func(w http.ResponseWriter, _ *http.Request) { flush(w, "x") }, true, 0},
		{"broken", streamRoute(1), broken, false, 0},
		{"resumed", streamRoute(2), resumed, false, 0},
		{"error", streamRoute(1), func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newRaceBed(t, c.route, &instantStages{live: map[string]bool{}}, c.handler)
			b.costs = cost.NewModel()
			request := cost.Request{Pool: "engine", Route: "r"}
			unknown := b.costs.Estimate(time.Now(), request)
			for range 6 {
				b.serve()
			}
			e := b.costs.Estimate(time.Now(), request)
			require.Equal(t, c.observed, e != unknown)
			require.Equal(t, c.output, e.Output)
			for _, target := range b.options.Router.Stats(time.Now()).Targets {
				require.Zero(t, target.InFlight)
			}
		})
	}
}

// Fails if a caller's numbers make an estimate overflow, or if a request without placement by cost has one.
func TestPredictedWorkIsBounded(t *testing.T) {
	const huge = 1 << 62
	q := request{relay: &Relay{}, route: &routes.Route{PrefixCaching: true}, call: exchange.CallerRequest{
		PromptTokens: huge, OutputTokens: huge, OutputHint: -huge, Prefix: []routing.PrefixPart{{ID: "a", Tokens: huge}, {ID: "b", Tokens: huge}},
	}}
	require.Nil(t, q.predictWork())
	q.relay.costs = cost.NewModel()
	w := q.predictWork()
	require.Equal(t, maxPromptTokens, w.PromptTokens)
	require.Equal(t, maxPromptTokens, w.Prefix[1].Tokens)
	require.Positive(t, w.Estimate.Read)
	require.LessOrEqual(t, w.Estimate.Memory, 2.0*maxPromptTokens)
}
