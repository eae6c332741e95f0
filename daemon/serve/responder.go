package serve

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/ivyhollow/ivyhollow/daemon/claims"
	"github.com/ivyhollow/ivyhollow/daemon/execute"
	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/protocol/sse"
	"github.com/ivyhollow/ivyhollow/state/requests"
)

// responder writes the single response to a request, whole or as an event stream.
type responder struct {
	server  *Server
	request *callerRequest
	id      string
	ref     requests.Ref
	w       http.ResponseWriter
	events  *sse.Encoder
	// eventData is the reused buffer for the data of token events.
	eventData []byte
	// streamStarted is set once the header of the stream is written. From then on a
	// problem can only be sent as an event.
	streamStarted bool
	// detached means that the work continues if the caller disconnects.
	detached bool
	// callerLeft is set once a write of a detached request's stream has failed.
	callerLeft bool
}

func (r *responder) job(deadline time.Time) execute.Job {
	c := r.request
	job := execute.Job{
		ID:        r.id,
		Ref:       r.ref,
		Pipeline:  c.pipeline,
		Tier:      c.tier,
		Account:   c.account.Name,
		Input:     c.body.Input,
		MaxTokens: c.body.MaxTokens,
		Deadline:  deadline,
	}
	for _, part := range c.body.Prefix {
		job.Prefix = append(job.Prefix, execute.Part{ID: part.ID, Tokens: part.Tokens})
	}
	if c.stream {
		job.OnToken = r.sendToken
	}
	return job
}

func (r *responder) responseBody(result execute.Result) []byte {
	key := r.request.pipeline.Key
	body, _ := json.Marshal(callerapi.Response{ // can't fail: strings and numbers only
		RequestID:     r.id,
		Pipeline:      key.Name,
		SchemaVersion: key.SchemaVersion,
		Output:        result.Output,
		Tokens:        result.Tokens,
	})
	return body
}

// respond writes the response of a request that has succeeded.
func (r *responder) respond(body []byte) *callerapi.Problem {
	r.finishStatus(requests.StateAnswered, requests.OutcomeRan)
	r.server.joins.complete(r.id, http.StatusOK, callerapi.MediaJSON, body)
	if r.request.stream {
		_ = r.writeEvent(sse.Event{Name: callerapi.EventDone, Data: string(body)})
		return nil
	}
	r.writeBody(http.StatusOK, callerapi.MediaJSON, body)
	return nil
}

// respondProblem writes a refusal or failure and returns it.
func (r *responder) respondProblem(p *callerapi.Problem) *callerapi.Problem {
	if p.RequestID == "" {
		p.RequestID = r.id
	}
	r.finishStatus(requests.StateFailed, statusOutcome(p.Outcome))
	body, _ := json.Marshal(p) // can't fail: strings and numbers only
	r.server.joins.complete(r.id, p.Status, callerapi.MediaProblem, body)
	if !r.streamStarted {
		writeProblem(r.w, p)
		return p
	}
	_ = r.writeEvent(sse.Event{Name: callerapi.EventError, Data: string(body)})
	return p
}

func (r *responder) finishStatus(state requests.State, o requests.Outcome) {
	r.server.opts.Status.Finish(r.ref, requests.End{State: state, Outcome: o, At: r.server.opts.Now()})
}

// replay writes the response of the first run, as the claim stored it.
func (r *responder) replay(result *claims.StoredResult) *callerapi.Problem {
	if !result.Complete() {
		p := refusal(http.StatusConflict, typeOutcomeUnknown, "the request ran; its answer was too large to keep")
		p.Outcome = callerapi.OutcomeRan
		return r.respondProblem(p)
	}
	if result.Status == http.StatusOK {
		return r.respond(result.Body)
	}
	p := &callerapi.Problem{}
	if err := json.Unmarshal(result.Body, p); err != nil {
		return r.respondProblem(asProblem(err))
	}
	return r.respondProblem(p)
}

// sendToken writes one token to the stream. The executor calls it from one
// goroutine.
//
// For a claimed request it returns no error when the caller has disconnected. An
// error would stop non-repeatable work halfway, and a retry with the same key,
// which should get the response, would get an unknown outcome.
func (r *responder) sendToken(offset int, token string) error {
	if r.callerLeft {
		return nil
	}
	err := r.writeToken(offset, token)
	if err != nil && r.detached {
		r.callerLeft = true
		return nil
	}
	return err
}

const (
	// The remaining time divided by slowCallerDivisor is the limit of the time for which
	// a caller that doesn't read may delay claimed work.
	slowCallerDivisor = 4
	// minWriteTimeout is the lower bound of that limit. With it, a call that has waited
	// until its own deadline for another call still has time to write its response.
	minWriteTimeout = 200 * time.Millisecond
)

// detach lets the work continue if the caller disconnects. It also shortens the
// write timeout: waiting for a connected caller that doesn't read could otherwise
// last past the deadline, and the outcome of non-repeatable work would be unknown.
func (r *responder) detach(deadline time.Time) {
	r.detached = true
	if w, ok := r.w.(*timeoutWriter); ok {
		share := deadline.Sub(r.server.opts.Now()) / slowCallerDivisor
		w.timeout = min(w.timeout, max(share, minWriteTimeout))
	}
}

func (r *responder) writeToken(offset int, token string) error {
	var err error
	if r.eventData, err = appendToken(r.eventData[:0], token); err != nil {
		return err
	}
	return r.writeEvent(sse.Event{Name: callerapi.EventToken, ID: strconv.Itoa(offset), Data: string(r.eventData)})
}

// writeEvent writes and flushes one event. The first one is preceded by the header
// of the stream.
func (r *responder) writeEvent(e sse.Event) error {
	if !r.streamStarted {
		r.streamStarted = true
		r.events = sse.NewEncoder(r.w)
		r.w.Header().Set("Content-Type", callerapi.MediaStream)
		r.w.Header().Set("Cache-Control", "no-store")
		r.w.Header().Set(callerapi.HeaderRequestID, r.id)
		r.w.WriteHeader(http.StatusOK)
	}
	if err := r.events.Encode(e); err != nil {
		return err
	}
	return http.NewResponseController(r.w).Flush()
}

func (r *responder) writeBody(status int, media string, body []byte) {
	h := r.w.Header()
	h.Set("Content-Type", media)
	h.Set(callerapi.HeaderRequestID, r.id)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	r.w.WriteHeader(status)
	_, _ = r.w.Write(body) // fails only if the caller has disconnected
}
