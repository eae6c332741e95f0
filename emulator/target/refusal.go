package target

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// retryAfterMS is when a full target asks to come back.
const retryAfterMS = 100

// refuse answers a call of which nothing was run.
func refuseNotRun(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(targetapi.HeaderNotRun, "true")
	writeError(w, status, reason)
}

// refuseStart answers a call that got no slot.
func refuseAttempt(w http.ResponseWriter, err error) {
	w.Header().Set(targetapi.HeaderNotRun, "true")
	refusal := targetapi.Refusal{Error: err.Error()}
	status := http.StatusServiceUnavailable
	if errors.Is(err, errCancelled) {
		status = http.StatusConflict
	}
	if errors.Is(err, errQueueFull) {
		refusal.RetryAfterMS = retryAfterMS
	}
	writeJSON(w, status, refusal)
}

// fail answers without a word on whether anything was run.
func writeError(w http.ResponseWriter, status int, reason string) {
	writeJSON(w, status, targetapi.Refusal{Error: reason})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller is gone; there is no one to tell.
	_ = json.NewEncoder(w).Encode(body)
}

// readJSON reads a bounded body, and answers 400 when it can't be parsed.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
	}
	return err == nil
}
