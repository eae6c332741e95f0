package serve

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/protocol/requestid"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// forwardTimeout is the timeout of a call to the instance that serves a request.
const forwardTimeout = time.Second

// handleStatus serves GET /v1/requests/{id}. An instance that doesn't serve the request
// itself forwards the call to the one that the id names.
func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	w = &timeoutWriter{ResponseWriter: w, timeout: s.opts.CallerWriteTimeout}
	account, problem := s.callerAccount(r)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	status, problem := s.findStatus(r.Context(), r.PathValue("id"), account.Name)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	w.Header().Set("Content-Type", callerapi.MediaJSON)
	_ = json.NewEncoder(w).Encode(status) // fails only if the caller has disconnected
}

// callerAccount authenticates a caller that asks about a request.
func (s *Server) callerAccount(r *http.Request) (*catalog.Account, *callerapi.Problem) {
	snapshot := s.opts.Config()
	if snapshot == nil {
		p := refusal(http.StatusServiceUnavailable, typeStarting, "no configuration is known yet")
		return nil, withRetryAfter(p, 0)
	}
	return authenticate(r, snapshot)
}

// LocalStatus returns the status of a request that this instance serves or has served.
// It is used for the callers of this instance and for calls that other instances forward.
func (s *Server) LocalStatus(id, account string) (*callerapi.RequestStatus, bool) {
	status, ok := s.opts.Status.Get(id, s.opts.Now())
	if !ok || status.Account != account {
		return nil, false
	}
	return statusView(&status), true
}

// findStatus looks the request up on this instance or on the one that its id names. To
// the caller, a request of another account looks like one that never existed.
func (s *Server) findStatus(ctx context.Context, text, account string) (*callerapi.RequestStatus, *callerapi.Problem) {
	notFound := refusal(http.StatusNotFound, typeNotFound, "no request of this client account has this id, or it is past its retention")
	id, err := requestid.Parse(text)
	if err != nil {
		return nil, notFound
	}
	if status, ok := s.LocalStatus(text, account); ok {
		return status, nil
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	status, err := s.opts.Forward.RequestStatus(ctx, id, account, text)
	if err != nil || status == nil || status.Account != account {
		return nil, notFound
	}
	return status, nil
}
