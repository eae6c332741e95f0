package stages

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/holder"
	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// methodExplain asks the holder of the queue what it would decide about a request. Its body is that of
// methodSchedule. Instances of earlier versions don't know it.
const methodExplain = "stages.explain"

// explainTimeout limits the wait for the holder: operators wait for the answer.
const explainTimeout = time.Second

// Errors of Explain.
var (
	// ErrEarlierVersion means that the holder is of a version that doesn't explain decisions.
	ErrEarlierVersion = errors.New("it runs an earlier version")
	// ErrHandover means that the queue is being handed over.
	ErrHandover = errors.New("it is handing the queue over")
)

// Explanation is what the holder of the queue would decide about a request.
type Explanation struct {
	// Holder is the name of the instance that would decide.
	Holder string
	Stages []gather.StagePrediction
	// Refused is nil if the stages would be admitted.
	Refused *RefusedError
	// Engines are those of the prompt's pool, in the order of their costs; Omitted counts further ones.
	Engines []placing.Explained
	Omitted int
	// Engine is the incarnation that would be chosen; empty if there is none, or no grant in time.
	// SendAfter is how long the request would wait for its grant.
	Engine    string
	SendAfter time.Duration
}

// explainResponse is the response of methodExplain. It is sent with the names of its fields, so that
// later versions may add some.
type explainResponse struct {
	// MovedTo is the address of the instance that has the queue now.
	MovedTo    string
	HandsOver  bool
	Stages     []gather.StagePrediction
	Reason     string
	RetryAfter time.Duration
	Reserved   bool
	Engines    []placing.Explained
	Omitted    int
	Engine     string
	SendAfter  time.Duration
}

// Explain returns what the holder of the queue would decide about a request now. Nothing is recorded, here
// or there. With an error, only Holder is known.
func (s *Stages) Explain(ctx context.Context, r gather.Request, prompt placing.Prompt) (Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	m := s.expectedHolder(time.Now())
	for range maxCandidates {
		response, err := s.explainAt(ctx, m, r, prompt)
		switch {
		case errors.Is(err, peer.ErrNoMethod):
			return Explanation{Holder: m.Name}, ErrEarlierVersion
		case err != nil:
			return Explanation{Holder: m.Name}, errors.Wrap(err, "it didn't answer")
		case response.HandsOver:
			return Explanation{Holder: m.Name}, ErrHandover
		case response.MovedTo == "":
			return s.newExplanation(m.Name, response), nil
		}
		m = s.memberAt(response.MovedTo)
	}
	return Explanation{Holder: m.Name}, errors.Newf("the queue moved %d times", maxCandidates)
}

func (s *Stages) explainAt(ctx context.Context, m membership.Member, r gather.Request, prompt placing.Prompt) (*explainResponse, error) {
	if m.Name == s.cluster.View().Self {
		return s.queue.explain(time.Now(), r, prompt), nil
	}
	var response explainResponse
	request := newScheduleRequest(&assignRequest{redirectableRequest{Run: *newRunRequest(time.Now(), r)}, prompt}, r)
	err := s.callSchedule(ctx, m.Address, methodExplain, request, &response)
	return &response, err
}

func (s *Stages) newExplanation(holder string, response *explainResponse) Explanation {
	e := Explanation{
		Holder: holder, Stages: response.Stages, Engines: response.Engines, Omitted: response.Omitted,
		Engine: response.Engine, SendAfter: response.SendAfter,
	}
	if response.Reason != "" {
		e.Refused = s.refusedError(gather.Reason(response.Reason), response.RetryAfter, response.Reserved, holder)
	}
	return e
}

// expectedHolder is pickHolder without a trace.
func (s *Stages) expectedHolder(now time.Time) membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.cluster.View()
	if self, ok := view.Find(view.Self); ok && s.queue.isRecentHolder(now) {
		return self
	}
	chosen := holder.Pick(view, func(name string) bool { return s.avoids(now, name) })
	if to, ok := s.validRedirect(now, view, chosen.Name); ok {
		return to
	}
	return chosen
}

func (s *Stages) handleExplain(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	request, err := decodeSchedule(body)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return msgpack.Marshal(s.queue.explain(now, request.request(now), request.Assign.Prompt))
}

// explain returns what this queue would decide about a request.
func (q *queue) explain(now time.Time, r gather.Request, prompt placing.Prompt) *explainResponse {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.movedTo != "" || q.frozen {
		return &explainResponse{MovedTo: q.movedTo, HandsOver: q.frozen}
	}
	var response explainResponse
	if prompt.Pool != "" {
		r = q.explainEngine(now, r, prompt, &response)
	}
	e := q.planner.Explain(now, r)
	response.Stages = e.Stages
	if e.Refused != nil {
		response.Reason, response.RetryAfter, response.Reserved = string(e.Refused.Reason), e.Refused.RetryAfter, e.Refused.Reserved
	}
	return &response
}

// explainEngine sets the engines of a response. It returns the request as predictEngine does. mu must be
// held.
func (q *queue) explainEngine(now time.Time, r gather.Request, prompt placing.Prompt, response *explainResponse) gather.Request {
	var grants func(engine string) bool
	if q.isPaced(prompt.Pool) {
		grants = holder.Grants(q.view())
	}
	prompt.Route, prompt.Account = r.Route, r.Account
	held := heldPrompt{prompt, r.Deadline, r.Priority}
	e := q.engines.Explain(now, &prompt, held.longestWait(now), q.planner.ReadCosts(now, &r), grants)
	response.Engines, response.Omitted = e.Engines, e.Omitted
	if !e.Found {
		return r
	}
	response.SendAfter = e.Choice.SendAfter
	if held.mayWait(now, e.Choice) {
		response.Engine = e.Choice.Engine.Incarnation
	}
	return servedBy(now, r, e.Choice)
}
