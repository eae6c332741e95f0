package stages

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
)

// makeAsk is the body of methodMake. Times are what is left, since the clocks of
// two instances differ.
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
	// Kind is the priority of the kind of request.
	KindPriority int
}

// followAsk is the body of methodFollow, of askers that follow a queue that moves.
// Messages are arrays whose lengths both ends have to agree on: what a new field is
// to tell needs a new method.
type redirectableRequest struct {
	Run runRequest
	// Bounded tells that the asker stops, and has brought the deadline forward.
	DeadlineShortened bool
	// Sent tells that the asker was sent here by another instance, Passed lists the
	// addresses of those that it passes over since they didn't answer.
	Redirected bool
	Avoided    []string
}

// followAnswer is the answer of methodFollow.
type redirectableResponse struct {
	Run runResponse
	// Moved is the address of the instance that has the queue and the request now.
	MovedTo string
}

// placeAsk is the body of methodPlace: of askers that have the engine chosen as well.
type assignRequest struct {
	Redirectable redirectableRequest
	Prompt       placing.Prompt
}

// placeAnswer is the answer of methodPlace.
type assignResponse struct {
	Redirectable redirectableResponse
	// Engine is the incarnation of the engine that is to serve the request; empty if
	// the asker is to choose.
	Engine string
}

type stageRequest struct {
	Service     string
	After       []int
	Pieces      int
	ResultBytes int64
}

// makeAnswer is the answer of methodMake.
type runResponse struct {
	Handles    []string
	Reason     string
	RetryAfter time.Duration
}

// errMoved answers askers that don't follow a queue: they ask the next instance.
var errMoved = errors.New("the queue has moved")

// encode writes a message without the names of its fields, which would be a third
// of it.
func encode(message any) ([]byte, error) {
	var b bytes.Buffer
	encoder := msgpack.NewEncoder(&b)
	encoder.UseArrayEncodedStructs(true)
	err := encoder.Encode(message)
	return b.Bytes(), err
}

func newRunRequest(now time.Time, r gather.Request) *runRequest {
	ask := &runRequest{
		ID: r.ID, Route: r.Route, Key: r.Key, Priority: r.Priority, KindPriority: r.KindPriority,
		Objective: r.Objective.Sub(now), Deadline: r.Deadline.Sub(now),
		Remaining: r.Remaining, DataCentre: r.DataCentre,
	}
	for _, st := range r.Stages {
		ask.Stages = append(ask.Stages, stageRequest{Service: st.Service, After: st.After, Pieces: st.Pieces, ResultBytes: st.ResultBytes})
	}
	return ask
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
