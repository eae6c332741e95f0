package accountshares

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/accountlimit"
	"github.com/ivyhollow/ivyhollow/coordination/accountstats"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

// maxListed limits the accounts of the listing, counted by service.
const maxListed = 64

// row is an account as it is listed for operators.
type row struct {
	accountstats.Row
	// Share is what the account may send, in requests a second, while it is held to its share.
	Share *float64 `json:"share_per_s,omitempty"`
}

// ServeHTTP lists the accounts with the most requests refused or late lately at this instance, as
// text, or as JSON if the query has format=json or the caller accepts it.
func (s *Shares) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rows := s.rows(time.Now())
	var err error
	if r.URL.Query().Get("format") == "json" || strings.Contains(r.Header.Get("Accept"), "application/json") {
		w.Header().Set("Content-Type", "application/json")
		err = json.NewEncoder(w).Encode(rows)
	} else {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		err = writeText(w, rows)
	}
	if err != nil {
		telemetry.ErrorS(err, "List of accounts not sent", telemetry.Event{})
	}
}

func (s *Shares) rows(now time.Time) []row {
	s.mu.Lock()
	defer s.mu.Unlock()
	type key struct{ service, account string }
	held := map[key]accountlimit.Share{}
	for _, h := range s.limiter.Held(now) {
		sum := held[key{h.Service, h.Account}] // of its priorities
		sum.Demand, sum.Share = sum.Demand+h.Demand, sum.Share+h.Share
		held[key{h.Service, h.Account}] = sum
	}
	rows := []row{}
	for _, worst := range s.stats.Worst(now, maxListed) {
		entry := row{Row: worst}
		if h, ok := held[key{worst.Service, worst.Account}]; ok {
			// The share follows from the demand of the last seconds.
			entry.Demand, entry.Share = h.Demand, &h.Share
		}
		rows = append(rows, entry)
	}
	return rows
}

func writeText(w http.ResponseWriter, rows []row) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERVICE\tACCOUNT\tDEMAND/S\tSHARE/S\tSERVED\tLATE\tWAITED\tREFUSED")
	for _, r := range rows {
		share := "-"
		if r.Share != nil {
			share = fmt.Sprintf("%.1f", *r.Share)
		}
		var refused []string
		for _, reason := range slices.Sorted(maps.Keys(r.Refused)) {
			refused = append(refused, fmt.Sprintf("%s=%.0f", reason, r.Refused[reason]))
		}
		_, _ = fmt.Fprintf(table, "%s\t%q\t%.1f\t%s\t%.0f\t%.0f\t%.3fs\t%s\n",
			r.Service, r.Account, r.Demand, share, r.Served, r.Late, r.Waited, strings.Join(refused, " "))
	}
	return table.Flush()
}
