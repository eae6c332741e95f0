package relay

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/cost"
	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/daemon/stages"
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

func explain(t *testing.T, s *Relay, query explainapi.Query) explainapi.Answer {
	query.Route = "r"
	answer, err := s.Explain(t.Context(), query)
	require.NoError(t, err)
	return answer
}

// Fails if a query is answered with less than this instance knows, or leaves a trace: a send, a
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
		answer := explain(t, s, explainapi.Query{Account: "a", Prefix: []explainapi.Part{{ID: "s", Tokens: 100}, {ID: "own", Tokens: 10}}, OutputTokens: 50, Hint: 10})
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
		_, err := s.Explain(t.Context(), explainapi.Query{Route: "other"})
		require.ErrorIs(t, err, ErrUnknownRoute)
	})
}

// Fails if an answer about stages or grants, which the holder decides on, looks complete without it.
func TestExplainSaysThatTheHolderIsUnknown(t *testing.T) {
	for name, ask := range map[string]func(context.Context, gather.Request, placing.Prompt) (stages.Explanation, error){
		"can't be asked": nil,
		"earlier version": func(context.Context, gather.Request, placing.Prompt) (stages.Explanation, error) {
			return stages.Explanation{Holder: "h"}, stages.ErrEarlierVersion
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, route := explainRelay(&granter{})
			s.options.ExplainStages, route.Stages = ask, []routes.Stage{{Service: "stage"}}
			answer := explain(t, s, explainapi.Query{})
			require.Equal(t, explainapi.RoleHolder, answer.DecidedBy.Role)
			require.Equal(t, explainapi.RoleHolder, answer.StagesDecidedBy.Role)
			require.Equal(t, "holder", answer.Unknown[0].What)
			require.Equal(t, "e", answer.Candidates[0].Target, "what this instance knows itself")
		})
	}
}

// Fails if what the holder would decide is missing from the answer, or a refusal gets another reason or
// another retry time than the caller would be told.
func TestExplainWithHolder(t *testing.T) {
	engines := []placing.Explained{{Engine: placing.Engine{Incarnation: "e", DataCentre: "d"}, State: placing.StateUsable, Terms: placing.Terms{Wait: time.Second}}}
	predicted := []gather.StagePrediction{{Service: "stage", Pieces: 4, Wait: 2 * time.Second, Time: time.Second}}
	for name, c := range map[string]struct {
		staged, caching, paced bool
		holder                 stages.Explanation
		target, stagesBy       string
		chosen, reason         string
		refusal                *explainapi.Refusal
	}{
		"target and stages": {staged: true, caching: true, holder: stages.Explanation{Stages: predicted, Engines: engines, Engine: "e"}, target: "h", stagesBy: "h", chosen: "e", reason: "only"},
		"stages alone":      {staged: true, holder: stages.Explanation{Stages: predicted}, target: "one", stagesBy: "h", chosen: "e", reason: "only"},
		"stages refused": {staged: true, holder: stages.Explanation{Stages: predicted, Refused: &stages.RefusedError{Reason: gather.ReasonQueueTooLong, RetryAfter: 3 * time.Second}},
			target: "one", stagesBy: "h", refusal: &explainapi.Refusal{Reason: "queue_too_long", RetryAfterMS: 3000}},
		"granted":       {paced: true, holder: stages.Explanation{Engines: engines, Engine: "e", SendAfter: time.Second}, target: "h", chosen: "e", reason: "preferred"},
		"granted late":  {paced: true, holder: stages.Explanation{Engines: engines, Engine: "e", SendAfter: time.Hour}, target: "h", refusal: &explainapi.Refusal{Reason: "queue_too_long", RetryAfterMS: 3.6e6}},
		"no grant":      {paced: true, holder: stages.Explanation{Engines: engines, SendAfter: 4 * time.Second}, target: "h", refusal: &explainapi.Refusal{Reason: "queue_too_long", RetryAfterMS: 4000}},
		"no engine":     {paced: true, target: "h", refusal: &explainapi.Refusal{Reason: "no_target", RetryAfterMS: 1000}},
		"other granted": {paced: true, holder: stages.Explanation{Engines: engines, Engine: "other"}, target: "h"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &granter{}
				s, route := explainRelay(g)
				s.options.RetryReservations = true
				route.PrefixCaching = c.caching
				if c.staged {
					route.Stages = []routes.Stage{{Service: "stage"}}
				}
				s.options.Paced = func(string) bool { return c.paced }
				s.options.ExplainStages = func(_ context.Context, r gather.Request, p placing.Prompt) (stages.Explanation, error) {
					require.Equal(t, c.caching || c.paced, p.Pool == "engine")
					require.Empty(t, r.Fingerprint)
					if c.staged {
						require.Equal(t, 4, r.Stages[0].Pieces)
						require.Equal(t, "a", r.Account)
					}
					c.holder.Holder = "h"
					return c.holder, nil
				}
				answer := explain(t, s, explainapi.Query{Account: "a", Pieces: []int{4}, Deadline: 10 * time.Second})
				require.Equal(t, c.target, answer.DecidedBy.Name)
				if c.staged {
					require.Equal(t, c.stagesBy, answer.StagesDecidedBy.Name)
					require.Equal(t, []explainapi.Stage{{Service: "stage", Pieces: 4, WaitMS: 2000, TimeMS: 1000}}, answer.Stages)
				}
				require.Equal(t, c.refusal, answer.Refusal)
				require.Equal(t, c.chosen, answer.Chosen)
				require.Equal(t, c.reason, answer.Reason)
				require.Len(t, answer.Candidates, max(len(c.holder.Engines), map[bool]int{true: 1}[c.target == "one"]))
				if len(c.holder.Engines) > 0 {
					require.Equal(t, 1000.0, answer.Candidates[0].Cost.SumMS)
					require.Equal(t, c.chosen == "e", answer.Candidates[0].Chosen)
				}
				require.Empty(t, g.asked)
				require.Equal(t, name == "other granted", slices.ContainsFunc(answer.Unknown, func(u explainapi.Unknown) bool { return u.What == "target" }))
			})
		})
	}
}

// Fails if a query about a pool whose targets all leave, or before the first configuration, isn't
// answered by the refusal.
func TestExplainWithoutTargetOrConfiguration(t *testing.T) {
	s, _ := explainRelay(&granter{})
	s.options.Router.Leaving(time.Now(), "e")
	answer := explain(t, s, explainapi.Query{})
	require.Equal(t, &explainapi.Refusal{Reason: "no_target", RetryAfterMS: 1000}, answer.Refusal)
	require.Equal(t, "leaving", answer.Candidates[0].State)
	s.options.Table = func() *routes.Table { return nil }
	require.Equal(t, "no_configuration", explain(t, s, explainapi.Query{}).Refusal.Reason)
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
			answer := explain(t, s, explainapi.Query{})
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
