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

// answerer writes the one answer of a request, whole or as a stream.
type answerer struct {
	server *Server
	call   *call
	id     string
	ref    requests.Ref
	w      http.ResponseWriter
	events *sse.Encoder
	// data holds the token event that is written.
	data []byte
	// started tells that the stream's header is out: from then on a problem
	// can only be an event.
	started bool
	// claimed tells that the work goes on without its caller.
	claimed bool
	// gone tells that the caller no longer takes its stream.
	gone bool
}

func (a *answerer) job(deadline time.Time) execute.Job {
	c := a.call
	job := execute.Job{
		ID:        a.id,
		Ref:       a.ref,
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
		job.OnToken = a.token
	}
	return job
}

func (a *answerer) answerBody(result execute.Result) []byte {
	key := a.call.pipeline.Key
	body, _ := json.Marshal(callerapi.Response{ // strings and numbers only: it can't fail
		RequestID:     a.id,
		Pipeline:      key.Name,
		SchemaVersion: key.SchemaVersion,
		Output:        result.Output,
		Tokens:        result.Tokens,
	})
	return body
}

// answer writes the whole answer.
func (a *answerer) answer(body []byte) *callerapi.Problem {
	a.finish(requests.StateAnswered, requests.OutcomeRan)
	a.server.joins.ended(a.id, http.StatusOK, callerapi.MediaJSON, body)
	if a.call.stream {
		_ = a.event(sse.Event{Name: callerapi.EventDone, Data: string(body)})
		return nil
	}
	a.write(http.StatusOK, callerapi.MediaJSON, body)
	return nil
}

// problem writes a refusal or failure.
func (a *answerer) problem(p *callerapi.Problem) *callerapi.Problem {
	if p.RequestID == "" {
		p.RequestID = a.id
	}
	a.finish(requests.StateFailed, statusOutcome(p.Outcome))
	body, _ := json.Marshal(p) // strings and numbers only: it can't fail
	a.server.joins.ended(a.id, p.Status, callerapi.MediaProblem, body)
	if !a.started {
		writeProblem(a.w, p)
		return p
	}
	_ = a.event(sse.Event{Name: callerapi.EventError, Data: string(body)})
	return p
}

func (a *answerer) finish(state requests.State, o requests.Outcome) {
	a.server.opts.Status.Finish(a.ref, requests.End{State: state, Outcome: o, At: a.server.opts.Now()})
}

// replay writes the answer of the run that the claim kept.
func (a *answerer) replay(kept *claims.Kept) *callerapi.Problem {
	if !kept.Complete() {
		p := refusal(http.StatusConflict, typeOutcomeUnknown, "the request ran; its answer was too large to keep")
		p.Outcome = callerapi.OutcomeRan
		return a.problem(p)
	}
	if kept.Status == http.StatusOK {
		return a.answer(kept.Body)
	}
	p := &callerapi.Problem{}
	if err := json.Unmarshal(kept.Body, p); err != nil {
		return a.problem(asProblem(err))
	}
	return a.problem(p)
}

// token passes one token on. The executor calls it from one goroutine.
//
// A claimed request goes on without its caller: an error here would stop work
// that may not be repeated half way, and the retry with the key, which should
// get the answer, would be told that its outcome is unknown.
func (a *answerer) token(offset int, token string) error {
	if a.gone {
		return nil
	}
	err := a.writeToken(offset, token)
	if err != nil && a.claimed {
		a.gone = true
		return nil
	}
	return err
}

// slowCallerShare is the share of what is left, as a divisor, that a caller who
// does not read may cost claimed work; leastWriteBound is its least.
const (
	slowCallerShare = 4
	// leastWriteBound leaves time to write the answer of a call that was joined
	// until its deadline.
	leastWriteBound = 200 * time.Millisecond
)

// outliveCaller lets the work go on without its caller. A caller that stays but
// does not read is given up early enough: the wait for it would else last past
// the deadline, and the outcome of work that may not be repeated be unknown.
func (a *answerer) outliveCaller(deadline time.Time) {
	a.claimed = true
	if w, ok := a.w.(*boundedWriter); ok {
		share := deadline.Sub(a.server.opts.Now()) / slowCallerShare
		w.limit = min(w.limit, max(share, leastWriteBound))
	}
}

func (a *answerer) writeToken(offset int, token string) error {
	var err error
	if a.data, err = appendToken(a.data[:0], token); err != nil {
		return err
	}
	return a.event(sse.Event{Name: callerapi.EventToken, ID: strconv.Itoa(offset), Data: string(a.data)})
}

// event writes one event and flushes it.
func (a *answerer) event(e sse.Event) error {
	if !a.started {
		a.started = true
		a.events = sse.NewEncoder(a.w)
		a.w.Header().Set("Content-Type", callerapi.MediaStream)
		a.w.Header().Set("Cache-Control", "no-store")
		a.w.Header().Set(callerapi.HeaderRequestID, a.id)
		a.w.WriteHeader(http.StatusOK)
	}
	if err := a.events.Encode(e); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

func (a *answerer) write(status int, media string, body []byte) {
	h := a.w.Header()
	h.Set("Content-Type", media)
	h.Set(callerapi.HeaderRequestID, a.id)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	a.w.WriteHeader(status)
	_, _ = a.w.Write(body) // the caller is gone if this fails
}
