package target

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// retryAfterMS is the retry delay that a full target suggests.
const retryAfterMS = 100

// refuseNotRun responds to a call of which nothing was run.
func refuseNotRun(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(targetapi.HeaderNotRun, "true")
	writeError(w, status, reason)
}

// refuseAttempt responds to an attempt that got no slot.
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

// writeError responds without a statement on whether anything was run.
func writeError(w http.ResponseWriter, status int, reason string) {
	writeJSON(w, status, targetapi.Refusal{Error: reason})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// readJSON decodes a bounded body, and responds with 400 if it can't.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
	}
	return err == nil
}
