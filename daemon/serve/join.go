package serve

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/protocol/requestid"
)

// MaxJoinWait is the longest time for which one call waits for the response to a
// request. It is below the timeout of a handler of the interface between instances.
const MaxJoinWait = 3 * time.Second

// handleJoin serves GET /v1/requests/{id}/answer. An instance that doesn't serve the
// request itself forwards the call to the one that does.
func (s *Server) handleJoin(w http.ResponseWriter, r *http.Request) {
	w = &timeoutWriter{ResponseWriter: w, timeout: s.opts.CallerWriteTimeout}
	account, problem := s.callerAccount(r)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	wait, problem := parseWait(r)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	if !s.joinWaits.acquire() {
		p := refusal(http.StatusServiceUnavailable, typeOverload, "too many calls wait for answers")
		writeProblem(w, withRetryAfter(p, 0))
		return
	}
	defer s.joinWaits.release()
	joined, problem := s.joinRequest(r.Context(), r.PathValue("id"), account.Name, wait)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	writeJoinResult(w, joined)
}

// parseWait returns the wait that the caller asks for, at most MaxJoinWait.
func parseWait(r *http.Request) (time.Duration, *callerapi.Problem) {
	text := r.URL.Query().Get("wait_ms")
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.Atoi(text)
	if err != nil || ms < 0 {
		return 0, fieldRefusal("wait_ms", "not a whole number of milliseconds")
	}
	return min(time.Duration(min(ms, int(MaxJoinWait.Milliseconds())))*time.Millisecond, MaxJoinWait), nil
}

// joinRequest waits for the response on this instance or, if the request isn't known
// here, on the instance that the id names.
func (s *Server) joinRequest(ctx context.Context, text, account string, wait time.Duration) (JoinResult, *callerapi.Problem) {
	notFound := refusal(http.StatusNotFound, typeNotFound, "no request of this client account has this id, or it is past its retention")
	id, err := requestid.Parse(text)
	if err != nil {
		return JoinResult{}, notFound
	}
	localCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if joined, ok := s.JoinLocal(localCtx, text, account); ok {
		return joined, nil
	}
	ctx, cancelForward := context.WithTimeout(ctx, wait+forwardTimeout)
	defer cancelForward()
	joined, err := s.opts.Forward.AwaitResponse(ctx, id, account, text, wait)
	if err != nil || joined == nil || joined.Request == nil || joined.Request.Account != account {
		return JoinResult{}, notFound
	}
	return *joined, nil
}

// writeJoinResult writes the request's own response. Without one it writes the
// status of a running request, or the reason why there is no response.
func writeJoinResult(w http.ResponseWriter, joined JoinResult) {
	w.Header().Set(callerapi.HeaderRequestID, joined.Request.RequestID)
	switch {
	case joined.HTTPStatus != 0:
		w.Header().Set("Content-Type", joined.ContentType)
		w.WriteHeader(joined.HTTPStatus)
		_, _ = w.Write(joined.Body) // fails only if the caller has disconnected
	case joined.Request.State == stateRunning:
		w.Header().Set("Content-Type", callerapi.MediaJSON)
		w.WriteHeader(http.StatusAccepted)
		_ = json.NewEncoder(w).Encode(joined.Request) // fails only if the caller has disconnected
	default:
		p := refusal(http.StatusGone, typeNotKept, "the request is over; nobody joined it while it ran, or its answer was too large to keep")
		p.Outcome, p.RequestID = joined.Request.Outcome, joined.Request.RequestID
		writeProblem(w, p)
	}
}
