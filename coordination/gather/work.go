package gather

import (
	"slices"
	"time"
)

// heldRequest is one admitted request.
type heldRequest struct {
	Request
	stages    []*heldStage
	completed bool
	// started is true once a piece was sent.
	started bool
	// crashes counts the calls with its pieces under which the target crashed.
	crashes int
	// boosted is true if its kind was underserved at its admission.
	boosted bool
	// held is true once it was admitted, yields if it was admitted behind the requests that can meet their objectives.
	held, yields bool
	// deadlineShortened is true if its requester stops and gave it an earlier deadline.
	deadlineShortened bool
	// retryOf is the expected return that a submitted request is. returned is true once it has the
	// position that was reserved; its objective is then that of the position, and attainBy its
	// own.
	retryOf  *retryReservation
	returned bool
	attainBy time.Time
	// yieldsPlace is true once it has been displaced from the position of its retry by a request that
	// can still meet its objective.
	yieldsPlace bool
	admittedAt  time.Time
	// predicted is the time its stages were predicted to take at its admission.
	predicted time.Duration
	// latestStart is the latest time at which the remaining stages must start for the
	// request to meet its objective.
	latestStart time.Time
	// predictions are recorded by stage for a request that is only asked about; otherwise nil.
	predictions []StagePrediction
	// flowControl is Config.ResultFlowControl.
	flowControl bool
}

// priorityBoost is how much higher requests of an underserved kind rank: ahead of all
// others of their priority, behind all of the next higher one.
const priorityBoost = 0.5

// baseRank orders requests that can meet their objectives; the lowest goes first.
func (req *heldRequest) baseRank() float64 {
	if req.boosted {
		return float64(req.Priority) - priorityBoost
	}
	return float64(req.Priority)
}

// rank is baseRank with a penalty for requests that can't meet their objectives any more.
func (req *heldRequest) rank(now time.Time) float64 {
	if req.yieldsPlace || now.After(req.latestStart) && !req.returned && !req.keepsRank() {
		return req.baseRank() + missedObjectivePenalty
	}
	return req.baseRank()
}

// heldStage is one stage of a held request.
type heldStage struct {
	request *heldRequest
	service *service
	index   int
	// timeFactor is the learned time of its pieces as a multiple of the configured one.
	timeFactor *float64
	Stage
	// height is the number of stages on the longest path from this one to the request's own
	// target, itself included.
	height int
	// pending has the pieces without a result that are in no call.
	pending []int
	// inCall counts the pieces in calls.
	inCall int
	// results has an entry for each piece, nil until its result exists.
	results  []*result
	produced int
	// readySince is when the stage could first be sent; zero before.
	readySince time.Time
	// resends counts the calls that carried pieces again.
	resends int
	// inputsReadAt is when the latest call with pieces of it has read their inputs.
	inputsReadAt time.Time
	// backlogEntry is how its pending pieces are counted in the service's backlog.
	backlogEntry backlogEntry
	// keyDelay is what the stage's order key adds to the objective. It is fixed at admission.
	keyDelay time.Duration
	// releasedPieces is how many of its pieces are counted in the service's releaseFlow.
	releasedPieces int
	// sentAt and endedAt are when the latest call with pieces of it started and ended.
	sentAt, endedAt time.Time
}

// result is a piece's result at the target that produced it.
type result struct {
	handle    string
	target    *target
	bytes     int64
	expiresAt time.Time
	freed     bool
}

// newHeldRequest sets up a request and its stages, none of them queued yet.
func (p *Planner) newHeldRequest(r Request) *heldRequest {
	req := &heldRequest{Request: r, flowControl: p.config.ResultFlowControl}
	for i, s := range r.Stages {
		sv := p.service(s.Service)
		st := &heldStage{request: req, service: sv, index: i, timeFactor: sv.times.pieceFactor(pieceKind{r.Route, i}), Stage: s, results: make([]*result, s.Pieces)}
		st.pending = make([]int, s.Pieces)
		for n := range st.pending {
			st.pending[n] = n
		}
		req.stages = append(req.stages, st)
	}
	// A stage only depends on earlier ones, so heights are final in reverse order.
	for i := len(req.stages) - 1; i >= 0; i-- {
		s := req.stages[i]
		if s.Pieces == 0 {
			continue
		}
		s.height = 1
		for _, later := range req.stages[i+1:] {
			if later.Pieces > 0 && slices.Contains(later.After, i) {
				s.height = max(s.height, later.height+1)
			}
		}
	}
	return req
}

// targetsListed reports whether the services of all stages that aren't done have targets, even if none
// of them answers.
func (req *heldRequest) targetsListed() bool {
	for _, s := range req.stages {
		if !s.done() && !s.service.hasListed() {
			return false
		}
	}
	return true
}

func (s *heldStage) done() bool { return s.produced == s.Pieces }

// inputsReady reports whether all results that the stage reads exist.
func (s *heldStage) inputsReady() bool {
	for _, i := range s.After {
		if !s.request.stages[i].done() {
			return false
		}
	}
	return true
}

// largeResultBytes is the size of a result from which on it is produced as late as
// possible. A target has capacity for a dozen results of 1.5 MB; produced first, they would
// occupy it while the other stages of their request run, and calls of other requests would
// find no capacity.
const largeResultBytes = 256 << 10

// runnable reports whether the stage should run now. Large results that only the request's
// own target reads are produced in parallel with the last stage of the longest path.
func (s *heldStage) runnable() bool {
	if !s.inputsReady() {
		return false
	}
	if s.ResultBytes < largeResultBytes {
		return true
	}
	for _, other := range s.request.stages {
		if !other.done() && other.height > s.height {
			return false
		}
	}
	return true
}

// final reports whether no other stage reads the results.
func (s *heldStage) final() bool {
	return s.Pieces > 0 && s.height == 1
}

// inputs returns the handles that each piece of the stage reads.
func (s *heldStage) inputs() []string {
	var handles []string
	for _, i := range s.After {
		for _, r := range s.request.stages[i].results {
			handles = append(handles, r.handle)
		}
	}
	return handles
}

// crossingBytes returns the bytes that cross data centres if one piece of the stage runs in
// the given one.
func (s *heldStage) crossingBytes(dataCentre string) int64 {
	var bytes int64
	for _, i := range s.After {
		for _, r := range s.request.stages[i].results {
			if r.target.DataCentre != dataCentre {
				bytes += r.bytes
			}
		}
	}
	if s.final() && s.request.DataCentre != "" && s.request.DataCentre != dataCentre {
		bytes += s.ResultBytes
	}
	return bytes
}

// finalBytes returns the total sizes of the final results by data centre.
func (req *heldRequest) finalBytes() map[string]int64 {
	bytes := map[string]int64{}
	for _, s := range req.stages {
		if !s.final() {
			continue
		}
		for _, r := range s.results {
			bytes[r.target.DataCentre] += r.bytes
		}
	}
	return bytes
}

// stageTimes returns the times of each stage relative to the admission.
func (req *heldRequest) stageTimes() []StageTimes {
	times := make([]StageTimes, len(req.stages))
	for i, s := range req.stages {
		if s.Pieces > 0 {
			times[i] = StageTimes{s.readySince.Sub(req.admittedAt), s.sentAt.Sub(req.admittedAt), s.endedAt.Sub(req.admittedAt)}
		}
	}
	return times
}

// allDone reports whether all final stages are done.
func (req *heldRequest) allDone() bool {
	for _, s := range req.stages {
		if s.final() && !s.done() {
			return false
		}
	}
	return true
}

// handles returns the results of the final stages in order.
func (req *heldRequest) handles() []string {
	var handles []string
	for _, s := range req.stages {
		if !s.final() {
			continue
		}
		for _, r := range s.results {
			handles = append(handles, r.handle)
		}
	}
	return handles
}
