package blocklist

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/ivyhollow/ivyhollow/telemetry"
)

// entry is a request that is blocked or on trial, as it is listed for operators.
type entry struct {
	Digest  string `json:"digest"`
	State   string `json:"state"`
	Crashes int    `json:"crashes"`
	// SinceSeconds is the time since the latest crash, RemainingSeconds the time until one
	// run is allowed as a trial.
	SinceSeconds     float64 `json:"since_s"`
	RemainingSeconds float64 `json:"left_s"`
}

// ServeHTTP lists the requests that are blocked or on trial, those with the most recent crash
// first.
func (b *Blocklist) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	entries := []entry{}
	for digest, v := range b.Blocked() {
		entries = append(entries, entry{
			Digest: digest.String(), State: v.State.String(), Crashes: v.Crashes,
			SinceSeconds: v.SinceLastCrash.Seconds(), RemainingSeconds: max(v.Remaining.Seconds(), 0),
		})
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.SinceSeconds, b.SinceSeconds) })
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(entries); err != nil {
		telemetry.ErrorS(err, "List of blocked requests not sent", telemetry.Event{})
	}
}
