package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/accountlimit"
	"github.com/ivyhollow/ivyhollow/coordination/accountstats"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/state/routes"
)

// refusingAccounts refuses each request that it is asked about.
type refusingAccounts struct {
	events []string
	ended  []accountstats.Outcome
}

func (r *refusingAccounts) Ask(accountlimit.Request) accountlimit.Verdict {
	r.events = append(r.events, "ask")
	return accountlimit.Verdict{Refused: true, RetryAfter: 1500 * time.Millisecond}
}
func (r *refusingAccounts) Peek(accountlimit.Request) accountlimit.Verdict {
	return accountlimit.Verdict{Refused: true, RetryAfter: 1500 * time.Millisecond}
}
func (r *refusingAccounts) Sent(string)                  { r.events = append(r.events, "sent") }
func (r *refusingAccounts) Rejected(string)              { r.events = append(r.events, "rejected") }
func (r *refusingAccounts) NotSent(string)               { r.events = append(r.events, "not sent") }
func (r *refusingAccounts) Ended(o accountstats.Outcome) { r.ended = append(r.ended, o) }

// Guards against a refusal for a share of a request with stages, which the holder of the stage queue
// decides on, and of a stream of which the caller has a part.
func TestShareIsCheckedForNewRequestsWithoutStages(t *testing.T) {
	for name, c := range map[string]struct {
		stages      []routes.Stage
		resumeAfter string
		refused     bool
	}{
		"plain":  {refused: true},
		"staged": {stages: []routes.Stage{{}}},
		"resume": {resumeAfter: "7"},
	} {
		t.Run(name, func(t *testing.T) {
			q, w := raceRequest(t, &granter{}, "")
			accounts := &refusingAccounts{}
			q.relay.options.Accounts, q.account = accounts, "a"
			q.route.Stages, q.call.ResumeAfter = c.stages, c.resumeAfter
			require.Equal(t, c.refused, !q.checkShare())
			if !c.refused {
				require.Empty(t, accounts.events)
				return
			}
			require.Equal(t, http.StatusServiceUnavailable, w.Code)
			require.Equal(t, "1.50", w.Header().Get("Retry-After"))
			require.Equal(t, "account_share", accounts.ended[0].Refused)
			require.Equal(t, "a", accounts.ended[0].Account)
		})
	}
}

// Guards against failures that are no rejections and yet count as a lack of capacity, and against work
// that may have run and doesn't count as accepted.
func TestOutcomesOfAttemptsAreRecorded(t *testing.T) {
	failed := errors.New("failed")
	for name, c := range map[string]struct {
		outcome     routing.Outcome
		err         error
		wrongTarget bool
		events      []string
	}{
		"answered":             {routing.OutcomeOK, nil, false, nil},
		"rejected":             {routing.OutcomeNotRun, &failure{cause: failed, notRun: true}, false, []string{"rejected"}},
		"another process":      {routing.OutcomeNotRun, &failure{cause: failed, notRun: true}, true, []string{"not sent"}},
		"not connected":        {routing.OutcomeFailed, &failure{cause: failed, notRun: true}, false, []string{"not sent"}},
		"may have run":         {routing.OutcomeFailed, &failure{cause: failed}, false, nil},
		"the request was over": {routing.OutcomeCancelled, failed, false, nil},
	} {
		t.Run(name, func(t *testing.T) {
			q, _ := raceRequest(t, &granter{}, "")
			accounts := &refusingAccounts{}
			q.relay.options.Accounts, q.route.Stages = accounts, nil
			q.recordSendEnd(&attempt{head: &replyHead{parsed: exchange.TargetResponse{WrongTarget: c.wrongTarget}}}, c.outcome, c.err)
			require.Equal(t, c.events, accounts.events)
		})
	}
}
