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

// MaxJoinWait bounds one call that waits for another's answer. It is below the
// bound of a handler of the peers' interface.
const MaxJoinWait = 3 * time.Second

// joinAnswer serves GET /v1/requests/{id}/answer. Any instance asks the one that
// serves the request.
func (s *Server) joinAnswer(w http.ResponseWriter, r *http.Request) {
	w = &boundedWriter{ResponseWriter: w, limit: s.opts.StreamIdle}
	account, problem := s.asker(r)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	wait, problem := joinWait(r)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	if !s.waiting.enter() {
		p := refusal(http.StatusServiceUnavailable, typeOverload, "too many calls wait for answers")
		writeProblem(w, retryLater(p, 0))
		return
	}
	defer s.waiting.leave()
	joined, problem := s.join(r.Context(), r.PathValue("id"), account.Name, wait)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	writeJoined(w, joined)
}

// joinWait reads how long the caller wants to wait.
func joinWait(r *http.Request) (time.Duration, *callerapi.Problem) {
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

// join looks here, then at the instance that the id names.
func (s *Server) join(ctx context.Context, text, account string, wait time.Duration) (Joined, *callerapi.Problem) {
	notFound := refusal(http.StatusNotFound, typeNotFound, "no request of this client account has this id, or it is past its retention")
	id, err := requestid.Parse(text)
	if err != nil {
		return Joined{}, notFound
	}
	own, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if joined, ok := s.Join(own, text, account); ok {
		return joined, nil
	}
	ctx, cancelForward := context.WithTimeout(ctx, wait+forwardTimeout)
	defer cancelForward()
	joined, err := s.opts.Forward.RequestAnswer(ctx, id, account, text, wait)
	if err != nil || joined == nil || joined.State == nil || joined.State.Account != account {
		return Joined{}, notFound
	}
	return *joined, nil
}

// writeJoined writes the request's own answer, or says why there is none.
func writeJoined(w http.ResponseWriter, joined Joined) {
	w.Header().Set(callerapi.HeaderRequestID, joined.State.RequestID)
	switch {
	case joined.Status != 0:
		w.Header().Set("Content-Type", joined.Media)
		w.WriteHeader(joined.Status)
		_, _ = w.Write(joined.Body) // the caller is gone if this fails
	case joined.State.State == stateRunning:
		w.Header().Set("Content-Type", callerapi.MediaJSON)
		w.WriteHeader(http.StatusAccepted)
		_ = json.NewEncoder(w).Encode(joined.State) // the caller is gone if this fails
	default:
		p := refusal(http.StatusGone, typeNotKept, "the request is over; nobody joined it while it ran, or its answer was too large to keep")
		p.Outcome, p.RequestID = joined.State.Outcome, joined.State.RequestID
		writeProblem(w, p)
	}
}
