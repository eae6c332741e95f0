package accountshares

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/accountlimit"
	"github.com/ivyhollow/ivyhollow/coordination/accountstats"
	"github.com/ivyhollow/ivyhollow/coordination/gather"
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

// listing is the response to GET /accounts.
type listing struct {
	// Accounts are those of this instance's requests.
	Accounts   []row      `json:"accounts"`
	StageQueue stageQueue `json:"stage_queue"`
}

// stageQueue has the shares at the holder of the stage queue.
type stageQueue struct {
	Holder   string                `json:"holder"`
	Accounts []gather.AccountShare `json:"accounts"`
	// Error is why the holder's shares aren't known.
	Error string `json:"error,omitempty"`
}

// ServeHTTP lists the accounts with the most requests refused or late lately at this instance, and those
// that compete at the holder of the stage queue, as text, or as JSON if the query has format=json or
// the caller accepts it.
func (s *Shares) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l := listing{Accounts: s.rows(time.Now())}
	var err error
	if l.StageQueue.Holder, l.StageQueue.Accounts, err = s.queueShares(r.Context()); err != nil {
		l.StageQueue.Error = err.Error()
	}
	if r.URL.Query().Get("format") == "json" || strings.Contains(r.Header.Get("Accept"), "application/json") {
		w.Header().Set("Content-Type", "application/json")
		err = json.NewEncoder(w).Encode(l)
	} else {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		err = l.writeText(w)
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

func (l *listing) writeText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERVICE\tACCOUNT\tDEMAND/S\tSHARE/S\tSERVED\tLATE\tWAITED\tREFUSED")
	for _, r := range l.Accounts {
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
	if err := table.Flush(); err != nil {
		return err
	}
	return l.StageQueue.writeText(w)
}

func (q *stageQueue) writeText(w io.Writer) error {
	switch {
	case q.Error != "":
		_, err := fmt.Fprintf(w, "\nStage queue of %s: not known: %s\n", q.Holder, q.Error)
		return err
	case len(q.Accounts) == 0:
		_, err := fmt.Fprintf(w, "\nStage queue of %s: no service is short of capacity\n", q.Holder)
		return err
	}
	_, _ = fmt.Fprintf(w, "\nStage queue of %s, in target-seconds:\n", q.Holder)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERVICE\tACCOUNT\tDEMAND/S\tSHARE/S\tWAITING")
	for _, a := range q.Accounts {
		_, _ = fmt.Fprintf(table, "%s\t%q\t%.2f\t%.2f\t%.2f\n", a.Service, a.Account, a.Demand, a.Share, a.Waiting)
	}
	return table.Flush()
}
