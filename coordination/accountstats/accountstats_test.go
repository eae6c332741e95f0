package accountstats

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a list that hides the accounts in trouble behind those that are served, and against
// accounts that stay listed after they are gone.
func TestWorstAccountsAreListed(t *testing.T) {
	table, now := New(), time.Unix(1000, 0)
	for range 60 {
		now = now.Add(time.Second)
		table.Record(now, Outcome{Service: "s", Account: "served", Served: true})
		table.Record(now, Outcome{Service: "s", Account: "late", Served: true, Late: true, Waited: 2 * time.Second})
		for range 3 {
			table.Record(now, Outcome{Service: "s", Account: "refused", Refused: "account_share"})
		}
	}
	rows := table.Worst(now, 64)
	require.Len(t, rows, 2)
	require.Equal(t, "refused", rows[0].Account)
	require.Len(t, table.Worst(now, 1), 1)
	require.InDelta(t, rows[0].Demand, 3*rows[1].Demand, 1e-6)
	require.InDelta(t, 0.75, rows[1].Demand, 0.02, "the rate of one a second after two half-lives")
	require.InDelta(t, 2, rows[1].Waited, 1e-6)
	require.InDelta(t, 0.6, table.LargestShare(now), 1e-6)
	later := table.Worst(now.Add(halfLife), 64)
	require.InDelta(t, rows[0].Refused["account_share"]/2, later[0].Refused["account_share"], 1e-6)
	require.Empty(t, table.Worst(now.Add(forgetTime), 64))
	require.Zero(t, New().LargestShare(now))
}

// Guards against memory that grows with the names of accounts and reasons.
func TestTableIsBounded(t *testing.T) {
	table, now := New(), time.Unix(1000, 0)
	for i := range 2 * maxEntries {
		table.Record(now, Outcome{Service: "s", Account: fmt.Sprint(i), Refused: "r"})
	}
	require.Len(t, table.entries, maxEntries)
	require.Equal(t, maxEntries, table.recent.Len())
	for i := range 2 * maxReasons {
		table.Record(now, Outcome{Service: "s", Account: "a", Refused: fmt.Sprint(i)})
	}
	require.Len(t, table.Worst(now, 1)[0].Refused, maxReasons)
	table.Record(now.Add(forgetTime), Outcome{Service: "s", Account: "later"})
	require.Len(t, table.entries, 1)
}
