package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/cost"
	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/protocol/explainapi"
	"github.com/ivyhollow/ivyhollow/state/routes"
)

// explainRelay returns a relay for requests without stages that places them by cost, and its route.
func explainRelay(g *granter) (*Relay, *routes.Route) {
	s := stagedRelay(g)
	s.options.Instance, s.costs = "one", cost.NewModel()
	s.options.KnowledgeAge = func() time.Duration { return 40 * time.Millisecond }
	route, _ := s.options.Table().Match("example.com", "/")
	route.Stages, route.PrefixCaching = nil, true
	return s, route
}

func explain(t *testing.T, s *Relay, question explainapi.Question) explainapi.Answer {
	question.Route = "r"
	answer, err := s.Explain(t.Context(), question)
	require.NoError(t, err)
	return answer
}

// Fails if a question is answered with less than this instance knows, or leaves a trace: a send, a
// choice that counts, an entry of a request, a grant, a use of a learned duration.
func TestExplainOfAPlainRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &granter{}
		s, _ := explainRelay(g)
		for range 30 {
			s.costs.Observe(time.Now(), cost.Request{Pool: "engine", Route: "r"}, cost.Observation{Total: time.Second})
		}
		stats := s.options.Router.Stats(time.Now())
		time.Sleep(time.Second)
		answer := explain(t, s, explainapi.Question{Account: "a", Prefix: []explainapi.Part{{ID: "s", Tokens: 100}, {ID: "own", Tokens: 10}}, OutputTokens: 50, Hint: 10})
		require.Equal(t, explainapi.Decider{Role: "instance", Name: "one"}, answer.DecidedBy)
		require.Equal(t, "e", answer.Chosen)
		require.Equal(t, "only", answer.Reason)
		require.InDelta(t, 40, answer.KnowledgeAgeMS, 0.1)
		require.Nil(t, answer.Refusal)
		require.Empty(t, answer.Unknown)
		require.Len(t, answer.Candidates, 1)
		require.NotNil(t, answer.Candidates[0].Score, "the router of the test chooses by load")
		require.Equal(t, stats, s.options.Router.Stats(time.Now()))
		require.Zero(t, s.InFlight())
		require.Empty(t, g.asked)
		_, err := s.Explain(t.Context(), explainapi.Question{Route: "other"})
		require.ErrorIs(t, err, ErrUnknownRoute)
	})
}

// Fails if an answer about stages or grants, which the holder decides on, looks complete without it.
func TestExplainSaysThatTheHolderDecides(t *testing.T) {
	s, route := explainRelay(&granter{})
	s.options.Paced = func(string) bool { return true }
	answer := explain(t, s, explainapi.Question{})
	require.Equal(t, explainapi.RoleHolder, answer.DecidedBy.Role)
	require.Equal(t, "holder", answer.Unknown[0].What)
	s.options.Paced, route.Stages = nil, []routes.Stage{{Service: "stage"}}
	answer = explain(t, s, explainapi.Question{})
	require.Equal(t, "holder", answer.Unknown[0].What)
	require.NotEmpty(t, answer.Candidates)
}

// Fails if a question about a pool whose targets all leave, or before the first configuration, isn't
// answered by the refusal.
func TestExplainWithoutTargetOrConfiguration(t *testing.T) {
	s, _ := explainRelay(&granter{})
	s.options.Router.Leaving(time.Now(), "e")
	answer := explain(t, s, explainapi.Question{})
	require.Equal(t, &explainapi.Refusal{Reason: "no_target", RetryAfterMS: 1000}, answer.Refusal)
	require.Equal(t, "leaving", answer.Candidates[0].State)
	s.options.Table = func() *routes.Table { return nil }
	require.Equal(t, "no_configuration", explain(t, s, explainapi.Question{}).Refusal.Reason)
}

// Fails if a refusal that a request would get from this instance is missing from the answer, has another
// retry time, or looks as if a target had been chosen all the same.
func TestExplainNamesTheRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, c := range map[string]struct {
			change  func(s *Relay)
			refusal *explainapi.Refusal
			unknown []string
		}{
			"none": {change: func(*Relay) {}},
			"stopping": {
				change: func(s *Relay) {
					s.Drain(time.Now(), time.Now().Add(time.Minute))
					time.Sleep(59 * time.Second)
				},
				refusal: &explainapi.Refusal{Reason: "stopping", RetryAfterMS: 250},
			},
			"beyond the share": {
				change:  func(s *Relay) { s.options.Accounts = &refusingAccounts{} },
				refusal: &explainapi.Refusal{Reason: "account_share", RetryAfterMS: 1500},
			},
			"blocked": {
				change: func(s *Relay) {
					s.options.Blocklist = verdictRecords{state: quarantine.Blocked, remaining: 30 * time.Second}
				},
				refusal: &explainapi.Refusal{Reason: "crashes_targets", RetryAfterMS: 30000}, unknown: []string{"blocked content"},
			},
			"on trial": {
				change:  func(s *Relay) { s.options.Blocklist = verdictRecords{state: quarantine.OnTrial} },
				unknown: []string{"blocked content", "blocked part"},
			},
		} {
			s, _ := explainRelay(&granter{})
			c.change(s)
			answer := explain(t, s, explainapi.Question{})
			require.Equal(t, c.refusal, answer.Refusal, name)
			require.Equal(t, c.refusal == nil, answer.Chosen != "", name)
			require.Equal(t, c.refusal == nil, answer.Candidates[0].Chosen, name)
			var unknown []string
			for _, u := range answer.Unknown {
				unknown = append(unknown, u.What)
			}
			require.Equal(t, c.unknown, unknown, name)
			if accounts, ok := s.options.Accounts.(*refusingAccounts); ok {
				require.Empty(t, accounts.events)
				require.Empty(t, accounts.ended)
			}
		}
	})
}
