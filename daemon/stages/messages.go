package stages

import (
	"bytes"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
)

// runRequest is the body of methodRun. Times are remaining times, since the clocks of two
// instances differ.
type runRequest struct {
	ID         string
	Route      string
	Key        string
	Priority   int
	Stages     []stageRequest
	Objective  time.Duration
	Deadline   time.Duration
	Remaining  time.Duration
	DataCentre string
	// KindPriority is the priority of the kind of request.
	KindPriority int
}

// redirectableRequest is the body of methodRedirectable, sent by requesters that follow
// redirects to the holder of the queue. Messages are arrays whose lengths both ends have to
// agree on, so that a new field needs a new method.
type redirectableRequest struct {
	Run runRequest
	// DeadlineShortened is true if the requester is stopping and has shortened the deadline.
	DeadlineShortened bool
	// Redirected is true if another instance redirected the requester to this one. Avoided
	// lists the addresses of the instances that the requester avoids because they didn't
	// respond.
	Redirected bool
	Avoided    []string
}

// redirectableResponse is the response of methodRedirectable.
type redirectableResponse struct {
	Run runResponse
	// MovedTo is the address of the instance that now has the queue and the request, or to
	// which the requester is redirected.
	MovedTo string
}

// assignRequest is the body of methodAssign, sent by requesters that have the engine chosen
// as well.
type assignRequest struct {
	Redirectable redirectableRequest
	Prompt       placing.Prompt
}

// assignResponse is the response of methodAssign.
type assignResponse struct {
	Redirectable redirectableResponse
	// Engine is the incarnation of the engine that is to serve the request. It is empty if
	// the requester is to choose.
	Engine string
}

// pacedResponse is the response of methodAssignPaced.
type pacedResponse struct {
	Assign assignResponse
	// SendAfter is how long the requester has to wait before it sends the request to the
	// engine.
	SendAfter time.Duration
}

// scheduleRequest is the body of methodSchedule, sent where requests are scheduled by more than
// their priority and their deadline.
type scheduleRequest struct {
	Assign assignRequest
	// Account, Fingerprint and MaxRetryDelay are as in gather.Request.
	Account       string
	Fingerprint   string
	MaxRetryDelay time.Duration
}

// outputEstimate is a second value in the body of methodSchedule, where engines are chosen by cost. A
// decoder of an earlier version reads the first value and ignores what follows.
type outputEstimate struct {
	// Hint and MaxOutput are as in placing.Prompt.
	Hint, MaxOutput int
}

// scheduleResponse is the response of methodSchedule.
type scheduleResponse struct {
	Paced pacedResponse
	// Reserved is true if capacity is reserved for the retry of a refused request's caller.
	Reserved bool
}

type stageRequest struct {
	Service     string
	After       []int
	Pieces      int
	ResultBytes int64
}

// runResponse is the response of methodRun.
type runResponse struct {
	Handles    []string
	Reason     string
	RetryAfter time.Duration
}

// errMoved is returned to requesters that don't follow redirects; they ask the next instance.
var errMoved = errors.New("the queue has moved")

// encode encodes a message without the names of its fields, which would be a third of it.
func encode(message any) ([]byte, error) {
	var b bytes.Buffer
	encoder := msgpack.NewEncoder(&b)
	encoder.UseArrayEncodedStructs(true)
	err := encoder.Encode(message)
	return b.Bytes(), err
}

func newRunRequest(now time.Time, r gather.Request) *runRequest {
	request := &runRequest{
		ID: r.ID, Route: r.Route, Key: r.Key, Priority: r.Priority, KindPriority: r.KindPriority,
		Objective: r.Objective.Sub(now), Deadline: r.Deadline.Sub(now),
		Remaining: r.Remaining, DataCentre: r.DataCentre,
	}
	for _, st := range r.Stages {
		request.Stages = append(request.Stages, stageRequest{Service: st.Service, After: st.After, Pieces: st.Pieces, ResultBytes: st.ResultBytes})
	}
	return request
}

func (a *runRequest) request(now time.Time) gather.Request {
	r := gather.Request{
		ID: a.ID, Route: a.Route, Key: a.Key, Priority: a.Priority, KindPriority: a.KindPriority,
		Objective: now.Add(a.Objective), Deadline: now.Add(a.Deadline),
		Remaining: a.Remaining, DataCentre: a.DataCentre,
	}
	for _, st := range a.Stages {
		r.Stages = append(r.Stages, gather.Stage{Service: st.Service, After: st.After, Pieces: st.Pieces, ResultBytes: st.ResultBytes})
	}
	return r
}

func newScheduleRequest(assign *assignRequest, r gather.Request) *scheduleRequest {
	return &scheduleRequest{Assign: *assign, Account: r.Account, Fingerprint: r.Fingerprint, MaxRetryDelay: r.MaxRetryDelay}
}

// encodeSchedule encodes the body of methodSchedule, with an outputEstimate if there is one.
func encodeSchedule(s *scheduleRequest, output outputEstimate) ([]byte, error) {
	body, err := encode(s)
	if err != nil || output == (outputEstimate{}) {
		return body, err
	}
	more, err := encode(&output)
	return append(body, more...), err
}

// decodeSchedule decodes the body of methodSchedule.
func decodeSchedule(body []byte) (*scheduleRequest, error) {
	var s scheduleRequest
	var output outputEstimate
	decoder := msgpack.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&s); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	if err := decoder.Decode(&output); err != nil && !errors.Is(err, io.EOF) {
		return nil, errors.Wrap(err, "decode output estimate")
	}
	s.Assign.Prompt.Hint, s.Assign.Prompt.MaxOutput = output.Hint, output.MaxOutput
	return &s, nil
}

func (s *scheduleRequest) request(now time.Time) gather.Request {
	r := s.Assign.Redirectable.Run.request(now)
	r.Account, r.Fingerprint, r.MaxRetryDelay = s.Account, s.Fingerprint, s.MaxRetryDelay
	return r
}
