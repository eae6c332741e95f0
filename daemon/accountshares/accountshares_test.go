package accountshares

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/accountlimit"
	"github.com/ivyhollow/ivyhollow/coordination/accountstats"
	"github.com/ivyhollow/ivyhollow/coordination/gather"
)

// Guards against a listing without the account that is refused or without its share, and against a line
// for each second.
func TestOperatorsSeeHeldAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scope := tally.NewTestScope("", nil)
		queue := func(context.Context) (string, []gather.AccountShare, error) {
			return "holder", []gather.AccountShare{{Service: "staged", Account: "c d", Demand: 3, Share: 2, Waiting: 1.5}}, nil
		}
		s := New(nil, queue, scope)
		for range 200 {
			time.Sleep(10 * time.Millisecond) // virtual
			if s.Ask(accountlimit.Request{Service: "plain", Account: "a b"}).Refused {
				s.Ended(accountstats.Outcome{Service: "plain", Account: "a b", Refused: "account_share"})
				continue
			}
			s.Sent("plain")
			s.Rejected("plain")
		}
		s.Ended(accountstats.Outcome{Service: "plain", Account: "other", Served: true})
		s.report(time.Now())
		logged := s.lastLog
		s.report(time.Now().Add(updateInterval))
		require.Equal(t, logged, s.lastLog)
		require.EqualValues(t, 1, scope.Snapshot().Gauges()["accounts.held+"].Value())
		require.Greater(t, scope.Snapshot().Gauges()["accounts.largest_share+"].Value(), 0.9)

		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest("GET", "/accounts", nil))
		require.Regexp(t, `(?m)^plain +"a b" +\d+\.\d +[01]\.\d .* account_share=\d+$`, w.Body.String())
		require.NotContains(t, w.Body.String(), "other")
		require.Regexp(t, `(?m)^Stage queue of holder, .*\n.*\nstaged +"c d" +3.00 +2.00 +1.50$`, w.Body.String())
		asJSON := httptest.NewRequest("GET", "/accounts", nil)
		asJSON.Header.Set("Accept", "application/json")
		for _, r := range []string{"/accounts?format=json", ""} {
			if r != "" {
				asJSON = httptest.NewRequest("GET", r, nil)
			}
			w = httptest.NewRecorder()
			s.ServeHTTP(w, asJSON)
			var l listing
			require.NoError(t, json.NewDecoder(w.Body).Decode(&l))
			require.Equal(t, "a b", l.Accounts[0].Account)
			require.Less(t, *l.Accounts[0].Share, l.Accounts[0].Demand)
			require.Equal(t, "c d", l.StageQueue.Accounts[0].Account)
		}
		s.queueShares = func(context.Context) (string, []gather.AccountShare, error) {
			return "holder", nil, errors.New("cut off")
		}
		w = httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest("GET", "/accounts", nil))
		require.Contains(t, w.Body.String(), "\nStage queue of holder: not known: cut off\n")
	})
}
