package gather

import (
	"slices"
	"time"
)

// Flow control between stages (Config.ResultFlowControl) shortens the time that results occupy
// their targets, and with it the room that keeps calls of the stage that binds from being full.
const (
	// fillShare is the share of MaxPieces from which a call isn't delayed to be filled: large
	// results may not fit exactly.
	fillShare = 0.9
	// maxFillWait bounds the delay of a call to be filled: half the fixed time of a usual call,
	// which the call saves if two become one.
	maxFillWait = 100 * time.Millisecond
	// releaseMargin is the work that may wait at a stage beyond what it does until a call of the
	// stage before it ends: the fixed time of a usual call, so that it doesn't run idle between
	// two of them.
	releaseMargin = 200 * time.Millisecond
	// nearlyFullShare is the share of its capacity from which results are freed at once: the
	// results of a call and those of the call before it share the capacity.
	nearlyFullShare = 0.5
	// smallResultBytes is the capacity that large results leave to small ones: about thirty of
	// 8 KB, more than one call produces.
	smallResultBytes = largeResultBytes
)

// releaseFlow is a service's part in the flow control.
type releaseFlow struct {
	// pieces counts the waiting pieces whose inputs exist or are in calls, by priority.
	pieces map[int]int
	// rate is the throughput with full calls, in pieces a second, as of rateAt.
	rate   float64
	rateAt time.Time
}

// fullCall returns the duration of a call with the maximum number of pieces.
func (s *service) fullCall() time.Duration {
	return s.expected(time.Duration(s.config.MaxPieces) * s.config.PieceTime)
}

// fullRate returns the pieces a second that the service's targets do in full calls.
func (s *service) fullRate(now time.Time) float64 {
	if !s.flow.rateAt.Equal(now) {
		pieces := float64(max(s.config.Slots, 1) * s.config.MaxPieces)
		s.flow.rate, s.flow.rateAt = s.capacity(now)*pieces/max(s.fullCall(), time.Millisecond).Seconds(), now
	}
	return s.flow.rate
}

// binds reports whether the work that waits for the service, ready or not, takes it longer than a
// full call.
func (s *service) binds(now time.Time) bool {
	pieces := 0
	for _, r := range s.backlog.ranks {
		pieces += r.total.pieces
	}
	return pieces > 0 && float64(pieces) >= s.fullRate(now)*s.fullCall().Seconds()
}

// BindingServices returns for each service whether it binds: whether the work that waits for it
// takes its targets longer than a full call. It returns nothing without flow control.
func (p *Planner) BindingServices(now time.Time) map[string]bool {
	if !p.config.ResultFlowControl {
		return nil
	}
	binding := make(map[string]bool, len(p.services))
	for name, s := range p.services {
		binding[name] = s.binds(now)
	}
	return binding
}

// MaxPieces returns the maximum number of pieces of a call to a service. It is 0 if that isn't known
// or without flow control.
func (p *Planner) MaxPieces(name string) int {
	if s := p.services[name]; s != nil && p.config.ResultFlowControl {
		return s.config.MaxPieces
	}
	return 0
}

// inputsReleased reports whether all inputs of a stage exist or are in calls.
func (s *heldStage) inputsReleased() bool {
	for _, i := range s.After {
		if input := s.request.stages[i]; len(input.pending) > 0 || !input.inputsReady() {
			return false
		}
	}
	return true
}

// updateReleased counts the stage's waiting pieces at its service if its inputs are released.
func (s *heldStage) updateReleased() {
	n := 0
	if len(s.pending) > 0 && s.inputsReleased() {
		n = len(s.pending)
	}
	s.countReleased(n)
}

// countReleased sets how many pieces of the stage are counted at its service.
func (s *heldStage) countReleased(n int) {
	if n == s.releasedPieces {
		return
	}
	flow, priority := &s.service.flow, s.request.Priority
	if flow.pieces == nil {
		flow.pieces = map[int]int{}
	}
	flow.pieces[priority] += n - s.releasedPieces
	if flow.pieces[priority] == 0 {
		delete(flow.pieces, priority)
	}
	s.releasedPieces = n
}

// heldBack reports whether a stage's results would wait: a stage that reads them has more work of
// the same or a higher priority than it does until they exist. They would occupy capacity that the
// stage needs for other results.
func (p *Planner) heldBack(now time.Time, st *heldStage) bool {
	if !p.config.ResultFlowControl || st.withinShare(now) {
		return false
	}
	for _, reader := range st.request.stages {
		if len(reader.pending) == 0 || !slices.Contains(reader.After, st.index) {
			continue
		}
		released := 0
		for priority, n := range reader.service.flow.pieces {
			if priority <= st.request.Priority {
				released += n
			}
		}
		until := st.service.fullCall() + releaseMargin
		if float64(released) > reader.service.fullRate(now)*until.Seconds() {
			return true
		}
	}
	return false
}

// maySplit reports whether the pieces of a stage may be split to fill a call. The parts then read the
// same inputs, so only a service that binds does so.
func (p *Planner) maySplit(now time.Time, s *service) bool {
	return p.config.ResultFlowControl && s.binds(now)
}

// waitsToFill reports whether a call of a service that binds should wait to be filled: for results that
// are freed if capacity limits the call, else for pieces that calls in progress make ready, if the
// fuller call then does more pieces a second, the wait included.
func (p *Planner) waitsToFill(now time.Time, t *target, chosen []pieceRef) bool {
	s := t.service
	left := maxFillWait - now.Sub(t.idleSince)
	if !p.config.ResultFlowControl || left <= 0 || float64(len(chosen)) >= fillShare*float64(s.config.MaxPieces) ||
		chosen[0].stage.request.suspect() || !s.binds(now) {
		return false
	}
	if t.capacityShortAt.Equal(now) {
		return true
	}
	more := min(p.piecesReadyWithin(s, now.Add(left)), s.config.MaxPieces-len(chosen))
	return s.throughput(len(chosen)+more, left) > s.throughput(len(chosen), 0)
}

// throughput returns the pieces a second of calls of n pieces that start after a wait.
func (s *service) throughput(n int, wait time.Duration) float64 {
	return float64(n) / (wait + s.expected(time.Duration(n)*s.config.PieceTime)).Seconds()
}

// piecesReadyWithin returns how many waiting pieces of a service read results of calls that are predicted
// to end by a time.
func (p *Planner) piecesReadyWithin(s *service, by time.Time) int {
	n := 0
	counted := map[*heldStage]bool{}
	for _, c := range p.calls {
		if c.startedAt.Add(c.expectedDuration).After(by) {
			continue
		}
		for _, ref := range c.pieces {
			for _, reader := range ref.stage.request.stages {
				if reader.service == s && !counted[reader] && slices.Contains(reader.After, ref.stage.index) && reader.inputsReleased() {
					counted[reader] = true
					n += len(reader.pending)
				}
			}
		}
	}
	return n
}

// largeResultReserve returns the capacity of a target that large results leave to small ones.
func (p *Planner) largeResultReserve(s *service) int64 {
	share := int64(smallResultShare * float64(s.config.ResultCapacity))
	if p.config.ResultFlowControl {
		return min(share, smallResultBytes)
	}
	return share
}

// nearlyFull reports whether the capacity may be too small for the next call's results.
func (t *target) nearlyFull() bool {
	return float64(t.usedBytes) > nearlyFullShare*float64(t.service.config.ResultCapacity)
}

// keepsRank reports whether a request that has started keeps its rank although it can't meet its
// objective: ranked lower, its results would wait for their readers until they expire.
func (req *heldRequest) keepsRank() bool { return req.flowControl && req.started }

// afterStage returns when a stage ends that could start at start, where spent is the wait for the
// work ahead of it and its own time. Work that yields is held back until the stages after it have
// time: it waits for all stages at once.
func (p *Planner) afterStage(start, spent time.Duration, st *heldStage, at queuePosition) time.Duration {
	if !p.config.ResultFlowControl || !at.yields {
		return start + spent
	}
	own := st.service.expected(time.Duration(st.Pieces) * st.pieceTime())
	return max(start+own, spent)
}
