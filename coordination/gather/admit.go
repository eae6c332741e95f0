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
// that ends past its deadline takes the place of work that would not.
func (p *Planner) admit(now time.Time, w *work) (Reason, time.Duration) {
	predicted, ok := p.predict(now, w)
	if !ok {
		return ReasonNoTarget, time.Second
	}
	end := now.Add(predicted)
	if !end.After(w.Deadline) {
		return "", 0
	}
	after := end.Sub(w.Deadline)
	return ReasonQueue, min(max(after, minRetryAfter), maxRetryAfter)
}

// predict is how long the rest of a request takes with the queues as they are;
// false if a service has no target.
func (p *Planner) predict(now time.Time, w *work) (time.Duration, bool) {
	ends := make([]time.Duration, len(w.stages))
	var longest time.Duration
	for i, s := range w.stages {
		var start time.Duration
		for _, after := range s.After {
			start = max(start, ends[after])
		}
		if !s.done() {
			spent, ok := p.stageTime(now, s)
			if !ok {
				return 0, false
			}
			start += spent
		}
		ends[i] = start
		longest = max(longest, start)
	}
	return longest + w.Rest, true
}

// stageTime is the wait for the work ahead and the call itself.
func (p *Planner) stageTime(now time.Time, s *stageWork) (time.Duration, bool) {
	sv := p.service(s.Service)
	capacity := sv.capacity(now)
	if capacity == 0 {
		return 0, false
	}
	ahead, aheadTime := p.ahead(s)
	calls := float64(ahead) / float64(max(sv.shape.MaxPieces, 1))
	wait := (calls*float64(sv.shape.CallTime) + float64(aheadTime)) / capacity
	own := sv.expected(time.Duration(s.Pieces) * sv.pieceTime(s))
	return time.Duration(wait) + sv.residual(now) + own, true
}

// ahead counts the pieces at a service that go before those of a stage, also of
// stages that are not yet due, and the time that they add to calls.
func (p *Planner) ahead(s *stageWork) (pieces int, spent time.Duration) {
	sv := p.service(s.Service)
	for _, w := range p.works {
		if w == s.work || w.completed || w.Priority > s.work.Priority {
			continue
		}
		for _, other := range w.stages {
			if other.Service != s.Service || len(other.todo) == 0 {
				continue
			}
			pieces += len(other.todo)
			spent += time.Duration(len(other.todo)) * sv.pieceTime(other)
		}
	}
	return pieces, spent
}

// residual is the time until a target is free.
func (s *service) residual(now time.Time) time.Duration {
	first := time.Duration(-1)
	for _, t := range s.targets {
		if t.leaving {
			continue
		}
		free := max(t.downUntil.Sub(now), 0)
		if t.calls >= max(s.shape.Slots, 1) {
			free = max(free, t.busyUntil.Sub(now), 0)
		}
		if first < 0 || free < first {
			first = free
		}
	}
	return max(first, 0)
}

// least is the time that a request takes even if nothing is ahead of it.
func (p *Planner) least(w *work) time.Duration {
	var ends [maxStages]time.Duration
	var longest time.Duration
	for i, s := range w.stages {
		var start time.Duration
		for _, after := range s.After {
			start = max(start, ends[after])
		}
		if !s.done() && s.inCall == 0 {
			sv := p.service(s.Service)
			start += sv.expected(time.Duration(len(s.todo)) * sv.pieceTime(s))
		}
		ends[i] = start
		longest = max(longest, start)
	}
	return longest + w.Rest
}

// maxStages bounds the stages of a request.
const maxStages = 64
