package gather

import "time"

// Bounds of the retry delay that is returned with a refusal.
const (
	// minRetryAfter is about the duration of one call: nothing changes earlier.
	minRetryAfter = 250 * time.Millisecond
	// maxRetryAfter is longer than callers wait.
	maxRetryAfter = 5 * time.Second
)

// admit decides whether a request can be answered by its deadline, counting the work that
// is ahead of it. It returns nil for a request that is admitted.
//
// It is designed for bursts of two and a half times the usual rate while a quarter of the
// targets has failed: work that misses its deadline would then displace work that meets
// it.
func (p *Planner) admit(now time.Time, req *heldRequest) *Refused {
	if req.retryOf != nil {
		return p.admitRetry(now, req)
	}
	timely := queuePosition{rank: req.baseRank()}
	predicted, ok := p.predict(now, req, timely)
	if !ok {
		return &Refused{Request: req.ID, Reason: ReasonNoTarget, RetryAfter: time.Second}
	}
	req.predicted = predicted - req.Remaining
	if end := now.Add(predicted); !end.After(req.Objective) && !end.After(req.Deadline) {
		return nil
	}
	if p.displaceUnreserved(now, req, timely) {
		return nil
	}
	// A request that would miss its objective is queued behind those that can meet theirs,
	// including those still to arrive.
	yielding := queuePosition{rank: timely.rank + missedObjectivePenalty, yields: true}
	predicted, _ = p.predict(now, req, yielding)
	req.predicted = predicted - req.Remaining
	end := now.Add(predicted)
	if !end.After(req.Deadline) {
		return nil
	}
	return p.offerRetry(now, req, &Refused{
		Request: req.ID, Reason: ReasonQueueTooLong,
		RetryAfter: min(max(end.Sub(req.Deadline), minRetryAfter), maxRetryAfter),
		Needed:     predicted, TimeToDeadline: req.Deadline.Sub(now),
	})
}

// queuePosition is the position of a request in the queues.
type queuePosition struct {
	rank float64
	// key is the order key of the stage, its objective or later.
	key time.Time
	// yields is true if requests still to arrive go first.
	yields bool
	// due replaces the key at a place for a retry. It is promised while it is looked for: the
	// requests that arrive within arrivalsAhead go before it.
	due           time.Time
	promised      bool
	arrivalsAhead time.Duration
	// timely is true if due is the request's own objective.
	timely bool
	// delayed is true if the key at the place is later than due by the stage's delay.
	delayed bool
	// margin is the factor by which the work ahead of a promised place is overestimated.
	margin float64
}

// predict returns the time the rest of a request takes at a position in the current queues.
// It returns false if a service has no target.
func (p *Planner) predict(now time.Time, req *heldRequest, at queuePosition) (time.Duration, bool) {
	req.leaveBacklog()
	defer p.updateBacklog(now, req)
	var ends [maxStages]time.Duration
	var longest, longestWait time.Duration
	for i, s := range req.stages {
		var start time.Duration
		for _, after := range s.After {
			start = max(start, ends[after])
		}
		if !s.done() {
			wait, spent, ok := s.waitAndRunTime(now, at)
			if !ok {
				return 0, false
			}
			s.recordPrediction(at, wait, spent)
			switch {
			case at.due.IsZero():
				start = p.afterStage(start, wait+spent, s, at)
			case at.timely:
				// The work ahead of the place is done while its earlier stages wait and run.
				start = max(start, wait) + spent
			default:
				// The work ahead of the place waits at all its stages, which do it in parallel.
				longestWait = max(longestWait, wait)
				start += spent
			}
		}
		ends[i] = start
		longest = max(longest, start)
	}
	return longestWait + longest + req.Remaining, true
}

// minYieldingShare is the minimum share of a service's capacity that predictions leave to
// work that yields.
const minYieldingShare = 0.4

// waitAndRunTime returns the wait for the work ahead of the stage, and the time of its own call
// once a target is free. It returns false if the service has no target.
func (s *heldStage) waitAndRunTime(now time.Time, at queuePosition) (time.Duration, time.Duration, bool) {
	if s.Pieces == 0 {
		return 0, 0, true
	}
	sv := s.service
	capacity := sv.capacity(now)
	if capacity == 0 {
		return 0, 0, false
	}
	at.key = s.key()
	if !at.due.IsZero() {
		at.key = at.due
		if at.delayed {
			at.key = at.key.Add(s.keyDelay)
		}
	}
	ahead := sv.backlog.ahead(at)
	if at.yields {
		ahead.remove(sv.reservedBehind(at))
	}
	calls := float64(ahead.pieces) / float64(max(sv.config.MaxPieces, 1))
	wait := (calls*float64(sv.callTime()) + float64(ahead.pieceTime)) / capacity
	if at.promised {
		wait = s.waitOfPromised(now, at, wait, capacity)
	}
	wait = max(wait, s.ownWait(now, at, capacity))
	if at.yields {
		wait /= max(1-sv.loadAbove(now, at.rank, capacity), s.minYieldingShare(now))
	}
	own := sv.expected(time.Duration(s.Pieces) * s.pieceTime())
	return time.Duration(wait), sv.timeUntilFree(now) + own, true
}

// timeUntilFree returns the time until the first target is free.
func (s *service) timeUntilFree(now time.Time) time.Duration {
	first := time.Duration(-1)
	for _, t := range s.targets {
		if t.unlisted {
			continue
		}
		free := max(t.downUntil.Sub(now), s.grants.Wait(now, t.Name, s.config.Pace, t.limit))
		if t.calls >= max(s.config.Slots, 1) {
			free = max(free, t.busyUntil.Sub(now), 0)
		}
		if first < 0 || free < first {
			first = free
		}
	}
	return max(first, 0)
}

// minRemaining returns the time that a request still takes if nothing is ahead of it.
func (p *Planner) minRemaining(req *heldRequest) time.Duration {
	var ends [maxStages]time.Duration
	var longest time.Duration
	for i, s := range req.stages {
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
	return longest + req.Remaining
}

// maxStages bounds the stages of a request; a request with more is refused.
const maxStages = 64
