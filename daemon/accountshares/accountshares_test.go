package accountshares

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/accountlimit"
	"github.com/ivyhollow/ivyhollow/coordination/accountstats"
)

// Guards against a listing without the account that is refused or without its share, and against a line
// for each second.
func TestOperatorsSeeHeldAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scope := tally.NewTestScope("", nil)
		s := New(nil, scope)
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
		asJSON := httptest.NewRequest("GET", "/accounts", nil)
		asJSON.Header.Set("Accept", "application/json")
		for _, r := range []string{"/accounts?format=json", ""} {
			if r != "" {
				asJSON = httptest.NewRequest("GET", r, nil)
			}
			w = httptest.NewRecorder()
			s.ServeHTTP(w, asJSON)
			var rows []row
			require.NoError(t, json.NewDecoder(w.Body).Decode(&rows))
			require.Equal(t, "a b", rows[0].Account)
			require.Less(t, *rows[0].Share, rows[0].Demand)
		}
	})
}
