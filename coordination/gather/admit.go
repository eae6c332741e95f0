package gather

import "time"

// Bounds of the time after which a refused request may come back.
const (
	// minRetryAfter is about one call: earlier nothing has changed.
	minRetryAfter = 250 * time.Millisecond
	// maxRetryAfter is beyond what callers wait for.
	maxRetryAfter = 5 * time.Second
)

// admit decides whether a request can be answered by its deadline, with the work
// that goes before it counted. The load it answers: bursts of two and a half
// times the usual rate against targets of which a quarter is lost, where work
// that ends past its deadline takes the place of work that would not. It returns
// nil for a request that is taken in.
func (p *Planner) admit(now time.Time, w *heldRequest) *Refused {
	timely := queuePosition{rank: w.baseRank(), objective: w.Objective}
	predicted, ok := p.predict(now, w, timely)
	if !ok {
		return &Refused{Request: w.ID, Reason: ReasonNoTarget, RetryAfter: time.Second}
	}
	w.predicted = predicted - w.Remaining
	if end := now.Add(predicted); !end.After(w.Objective) && !end.After(w.Deadline) {
		return nil
	}
	// Late already or soon, it goes behind what can be on time, also behind what
	// is still to come.
	late := queuePosition{rank: timely.rank + missedObjectivePenalty, objective: w.Objective, yields: true}
	predicted, _ = p.predict(now, w, late)
	w.predicted = predicted - w.Remaining
	end := now.Add(predicted)
	if !end.After(w.Deadline) {
		return nil
	}
	return &Refused{
		Request: w.ID, Reason: ReasonQueueTooLong,
		RetryAfter: min(max(end.Sub(w.Deadline), minRetryAfter), maxRetryAfter),
		Needed:     predicted, TimeToDeadline: w.Deadline.Sub(now),
	}
}

// position is where a request stands in the queues.
type queuePosition struct {
	rank      float64
	objective time.Time
	// yields tells that work still to come goes first.
	yields bool
}

// predict is how long the rest of a request takes at a position in the queues as
// they are; false if a service has no target.
func (p *Planner) predict(now time.Time, w *heldRequest, at queuePosition) (time.Duration, bool) {
	w.leaveBacklog()
	defer p.updateBacklog(now, w)
	var ends [maxStages]time.Duration
	var longest time.Duration
	for i, s := range w.stages {
		var start time.Duration
		for _, after := range s.After {
			start = max(start, ends[after])
		}
		if !s.done() {
			spent, ok := s.waitAndRunTime(now, at)
			if !ok {
				return 0, false
			}
			start += spent
		}
		ends[i] = start
		longest = max(longest, start)
	}
	return longest + w.Remaining, true
}

// leastShare is what is left at least, in predictions, to work that yields.
const minYieldingShare = 0.4

// timeBehind is the wait for the work ahead and the call itself; false if the
// service has no target.
func (s *heldStage) waitAndRunTime(now time.Time, at queuePosition) (time.Duration, bool) {
	if s.Pieces == 0 {
		return 0, true
	}
	sv := s.service
	capacity := sv.capacity(now)
	if capacity == 0 {
		return 0, false
	}
	ahead := sv.backlog.ahead(at)
	calls := float64(ahead.pieces) / float64(max(sv.config.MaxPieces, 1))
	wait := (calls*float64(sv.callTime()) + float64(ahead.pieceTime)) / capacity
	if at.yields {
		wait /= max(1-sv.loadAbove(now, at.rank, capacity), minYieldingShare)
	}
	own := sv.expected(time.Duration(s.Pieces) * s.pieceTime())
	return time.Duration(wait) + sv.timeUntilFree(now) + own, true
}

// residual is the time until a target is free.
func (s *service) timeUntilFree(now time.Time) time.Duration {
	first := time.Duration(-1)
	for _, t := range s.targets {
		if t.unlisted {
			continue
		}
		free := max(t.downUntil.Sub(now), 0)
		if t.calls >= max(s.config.Slots, 1) {
			free = max(free, t.busyUntil.Sub(now), 0)
		}
		if first < 0 || free < first {
			first = free
		}
	}
	return max(first, 0)
}

// least is the time that a request takes even if nothing is ahead of it.
func (p *Planner) minRemaining(w *heldRequest) time.Duration {
	var ends [maxStages]time.Duration
	var longest time.Duration
	for i, s := range w.stages {
		var start time.Duration
		for _, after := range s.After {
			start = max(start, ends[after])
		}
		if !s.done() && s.inCall == 0 {
			start += s.service.expected(time.Duration(len(s.pending)) * s.pieceTime())
		}
		ends[i] = start
		longest = max(longest, start)
	}
	return longest + w.Remaining
}

// maxStages bounds the stages of a request; none with more is taken in.
const maxStages = 64
