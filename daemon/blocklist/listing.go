package blocklist

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/ivyhollow/ivyhollow/telemetry"
)

// entry is a request or part that is blocked or on trial, as it is listed for operators.
type entry struct {
	Digest string `json:"digest"`
	// Kind is kindPart for a part of prompts and empty for a request.
	Kind    string `json:"kind,omitempty"`
	State   string `json:"state"`
	Crashes int    `json:"crashes"`
	// SinceSeconds is the time since the latest crash, RemainingSeconds the time until one
	// run is allowed as a trial.
	SinceSeconds     float64 `json:"since_s"`
	RemainingSeconds float64 `json:"left_s"`
}

// kindPart is the kind of an entry for a part of prompts.
const kindPart = "part"

// ServeHTTP lists the requests and parts that are blocked or on trial, those with the most recent crash
// first.
func (b *Blocklist) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	entries := []entry{}
	for digest, v := range b.Blocked() {
		kind := ""
		if v.Part {
			kind = kindPart
		}
		entries = append(entries, entry{
			Digest: digest.String(), Kind: kind, State: v.State.String(), Crashes: v.Crashes,
			SinceSeconds: v.SinceLastCrash.Seconds(), RemainingSeconds: max(v.Remaining.Seconds(), 0),
		})
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.SinceSeconds, b.SinceSeconds) })
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(entries); err != nil {
		telemetry.ErrorS(err, "List of blocked requests not sent", telemetry.Event{})
	}
}
