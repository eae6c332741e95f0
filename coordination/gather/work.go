package gather

import (
	"slices"
	"time"
)

// work is one admitted request.
type heldRequest struct {
	Request
	stages    []*heldStage
	completed bool
	// begun tells that some piece was sent.
	started bool
	// crashes counts the calls with pieces of it under which the target ended.
	crashes int
	// lifted tells that its kind got less than it should when it came.
	boosted bool
	// bounded tells that its asker stops and gave it an earlier deadline.
	deadlineShortened bool
	admittedAt        time.Time
	// predicted is how long its stages were predicted to take at its admission.
	predicted time.Duration
	// lateAt is from when on the answer can't be on time any more.
	latestStart time.Time
}

// liftedBy is how much better a request ranks whose kind gets less than it should:
// before all others of its priority, behind all of the next.
const priorityBoost = 0.5

// ownRank orders requests whose answers can be on time.
func (w *heldRequest) baseRank() float64 {
	if w.boosted {
		return float64(w.Priority) - priorityBoost
	}
	return float64(w.Priority)
}

// rank is ownRank, lower for an answer that can't be on time.
func (w *heldRequest) rank(now time.Time) float64 {
	if now.After(w.latestStart) {
		return w.baseRank() + missedObjectivePenalty
	}
	return w.baseRank()
}

// stageWork is one stage of a request.
type heldStage struct {
	request *heldRequest
	service *service
	index   int
	// factor is how many times the configured time its pieces take.
	timeFactor *float64
	Stage
	// height is the number of stages on the longest way from this one to the
	// request's own target, itself included.
	height int
	// todo are the pieces without a result that are in no call.
	pending []int
	// inCall counts the pieces in calls.
	inCall int
	// results has an entry for each piece; nil before its result.
	results  []*result
	produced int
	// readySince is when the stage could first be sent; zero before.
	readySince time.Time
	// resends counts the calls that carried pieces again.
	resends int
	// readBy is when the latest call with pieces of it has read their inputs.
	inputsReadAt time.Time
	// counted is how its pieces to send are counted in the service's backlog.
	backlogEntry backlogEntry
	// sent and ended are when the latest call with pieces of it began and ended.
	sentAt, endedAt time.Time
}

// result is a piece's result at its maker.
type result struct {
	handle    string
	target    *target
	bytes     int64
	expiresAt time.Time
	freed     bool
}

// newWork lays a request out in its stages; nothing waits yet.
func (p *Planner) newHeldRequest(r Request) *heldRequest {
	w := &heldRequest{Request: r}
	for i, s := range r.Stages {
		sv := p.service(s.Service)
		sw := &heldStage{request: w, service: sv, index: i, timeFactor: sv.times.pieceFactor(pieceKind{r.Route, i}), Stage: s, results: make([]*result, s.Pieces)}
		sw.pending = make([]int, s.Pieces)
		for n := range sw.pending {
			sw.pending[n] = n
		}
		w.stages = append(w.stages, sw)
	}
	// A stage only names earlier ones, so heights settle from the last back.
	for i := len(w.stages) - 1; i >= 0; i-- {
		s := w.stages[i]
		if s.Pieces == 0 {
			continue
		}
		s.height = 1
		for _, later := range w.stages[i+1:] {
			if later.Pieces > 0 && slices.Contains(later.After, i) {
				s.height = max(s.height, later.height+1)
			}
		}
	}
	return w
}

func (s *heldStage) done() bool { return s.produced == s.Pieces }

// inputsReady tells whether all results that the stage reads are there.
func (s *heldStage) inputsReady() bool {
	for _, i := range s.After {
		if !s.request.stages[i].done() {
			return false
		}
	}
	return true
}

// heldResultBytes is the size of a result from which on it is made as late as
// possible. A target has room for a dozen results of 1.5 MB; made first, they
// would lie there while the other stages of their request run, and calls of
// other requests would find no room.
const largeResultBytes = 256 << 10

// due tells whether the stage should run now: large results that only the
// request's own target reads are made beside the last stage of the longest way.
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

// final tells whether no other stage reads the results.
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

// crossing is the bytes that cross data centres if one piece of the stage runs
// in the given one.
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

// finalBytes are the sizes of the final results by data centre.
func (w *heldRequest) finalBytes() map[string]int64 {
	bytes := map[string]int64{}
	for _, s := range w.stages {
		if !s.final() {
			continue
		}
		for _, r := range s.results {
			bytes[r.target.DataCentre] += r.bytes
		}
	}
	return bytes
}

// times tells how long each stage waited and took.
func (w *heldRequest) stageTimes() []StageTimes {
	times := make([]StageTimes, len(w.stages))
	for i, s := range w.stages {
		if s.Pieces > 0 {
			times[i] = StageTimes{s.readySince.Sub(w.admittedAt), s.sentAt.Sub(w.admittedAt), s.endedAt.Sub(w.admittedAt)}
		}
	}
	return times
}

// allDone tells whether all final stages are done.
func (w *heldRequest) allDone() bool {
	for _, s := range w.stages {
		if s.final() && !s.done() {
			return false
		}
	}
	return true
}

// handles returns the results of the final stages in order.
func (w *heldRequest) handles() []string {
	var handles []string
	for _, s := range w.stages {
		if !s.final() {
			continue
		}
		for _, r := range s.results {
			handles = append(handles, r.handle)
		}
	}
	return handles
}
