package target

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/sse"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

const (
	// maxBodyBytes bounds the body of a call.
	maxBodyBytes = 16 << 20
	// defaultPriority is the priority of a call without the header.
	defaultPriority = 5
	lowestPriority  = 9
)

// serveRun serves PathRun.
func (t *Target) serveRun(w http.ResponseWriter, r *http.Request) {
	t.setHeaders(w.Header())
	w.Header().Set(targetapi.HeaderAttempt, r.Header.Get(targetapi.HeaderAttempt))
	expected := r.Header.Get(targetapi.HeaderExpectIncarnation)
	if expected != "" && expected != t.options.Incarnation {
		refuseNotRun(w, http.StatusMisdirectedRequest, "another incarnation serves here")
		return
	}
	a, err := t.newAttempt(r)
	if err != nil {
		refuseNotRun(w, http.StatusBadRequest, err.Error())
		return
	}
	if !t.orders.isLoaded(a.request.Model, a.request.Adapter) {
		refuseNotRun(w, http.StatusNotFound, "model or adapter is not loaded")
		return
	}
	t.serveAttempt(w, r, a)
}

// setHeaders sets the headers that describe the target. Every response to PathRun
// has them.
func (t *Target) setHeaders(header http.Header) {
	header.Set(targetapi.HeaderIncarnation, t.options.Incarnation)
	header.Set(targetapi.HeaderLoad, t.loadHeader())
	if t.leaving.Load() {
		header.Set(targetapi.HeaderLeaving, "true")
	}
}

func (t *Target) loadHeader() string {
	reported := t.loadHistory.reported()
	numbers := []string{
		strconv.Itoa(reported.active),
		strconv.Itoa(reported.queued),
		strconv.Itoa(t.options.Slots),
	}
	return strings.Join(numbers, ",")
}

// newAttempt parses and validates a call.
func (t *Target) newAttempt(r *http.Request) (*attempt, error) {
	a := &attempt{
		target:    t,
		id:        r.Header.Get(targetapi.HeaderAttempt),
		requestID: r.Header.Get(targetapi.HeaderRequest),
	}
	if a.id == "" {
		return nil, errors.Newf("no %s", targetapi.HeaderAttempt)
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes)).Decode(&a.request); err != nil {
		return nil, errors.Wrap(err, "body")
	}
	if err := checkRequest(a.request); err != nil {
		return nil, err
	}
	priority, err := numberHeader(r, targetapi.HeaderPriority, defaultPriority)
	if err != nil {
		return nil, err
	}
	a.ticket = newTicket(min(priority, lowestPriority))
	remaining, err := numberHeader(r, targetapi.HeaderDeadline, 0)
	if err != nil {
		return nil, err
	}
	if remaining > 0 {
		a.deadline = t.options.After(time.Duration(remaining) * time.Millisecond)
	}
	return a, nil
}

func checkRequest(request targetapi.RunRequest) error {
	if request.ResumeFrom < 0 || request.ResumeFrom > max(request.MaxTokens, 0) {
		return errors.New("resume_from is outside the answer")
	}
	for _, part := range request.Prefix {
		if part.Tokens < 0 {
			return errors.New("a part has less than no tokens")
		}
	}
	return nil
}

// numberHeader parses a header with a non-negative integer.
func numberHeader(r *http.Request, name string, fallback int) (int, error) {
	value := r.Header.Get(name)
	if value == "" {
		return fallback, nil
	}
	number, err := strconv.Atoi(value)
	if err != nil || number < 0 {
		return 0, errors.Newf("%s is no whole number", name)
	}
	return number, nil
}

// serveAttempt queues and runs a valid call.
func (t *Target) serveAttempt(w http.ResponseWriter, r *http.Request, a *attempt) {
	a.faults = t.faults.sample()
	a.ctx, a.cancel = context.WithCancelCause(r.Context())
	defer a.cancel(nil)
	defer context.AfterFunc(t.closing, func() { a.cancel(errClosed) })()
	if a.faults.has(FaultFailFast) {
		writeError(w, http.StatusInternalServerError, "fault: failed at once")
		return
	}
	if a.faults.has(FaultSilent) {
		<-a.ctx.Done()
		abortConnection()
	}
	a.responder = newResponder(w, r, a)
	t.register(a)
	defer t.unregister(a)
	defer t.scheduler.leave(a.ticket)
	if err := a.start(); err != nil {
		refuseAttempt(w, err)
		return
	}
	a.execute(w)
}

func newResponder(w http.ResponseWriter, r *http.Request, a *attempt) responder {
	if a.faults.has(FaultCrossed) {
		w.Header().Set(targetapi.HeaderAttempt, crossedID(a.id))
	}
	if strings.Contains(r.Header.Get("Accept"), sse.ContentType) {
		return &streamResponder{w: w, events: sse.NewEncoder(w), attempt: a}
	}
	return &jsonResponder{w: w, attempt: a}
}

// execute runs the attempt and responds.
func (a *attempt) execute(w http.ResponseWriter) {
	err := a.responder.begin()
	var result targetapi.RunResponse
	if err == nil {
		result, err = a.run()
	}
	// Releases the slot before the response: a caller that sends its next call at
	// once must not be refused because of the one that just completed.
	a.target.scheduler.leave(a.ticket)
	if err == nil {
		err = a.injectAfterWork()
	}
	if err == nil {
		err = a.responder.finish(result)
	}
	if err != nil {
		a.respondError(w, err)
	}
}

// register makes the attempt available to PathCancel.
func (t *Target) register(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts[a.id] = a
}

func (t *Target) unregister(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attempts[a.id] == a {
		delete(t.attempts, a.id)
	}
}

// serveCancel serves PathCancel.
func (t *Target) serveCancel(w http.ResponseWriter, r *http.Request) {
	var request targetapi.CancelRequest
	if !readJSON(w, r, &request) {
		return
	}
	t.mu.Lock()
	a := t.attempts[request.AttemptID]
	t.mu.Unlock()
	if a == nil {
		writeError(w, http.StatusNotFound, "no such attempt")
		return
	}
	a.cancel(errCancelled)
	w.WriteHeader(http.StatusNoContent)
}
