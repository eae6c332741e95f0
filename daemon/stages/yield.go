package stages

import (
	"context"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

// lockAndCheckStall locks mu, and freezes the queue if this instance was stalled. The requesters
// have turned to another holder meanwhile, and both holders would send calls to the same targets.
func (q *queue) lockAndCheckStall() {
	q.mu.Lock()
	if !q.stall.Check(time.Now(), q.bootClock) || q.frozen || q.movedTo != "" || !q.hasWork() {
		return
	}
	q.freezeLocked()
	go q.onStall()
}

// hasWork reports whether requests or calls are held here. mu must be held.
func (q *queue) hasWork() bool { return q.planner.RequestCount() > 0 || q.planner.CallCount() > 0 }

// Yield hands the queue over to the next holder while this instance keeps running. Without
// another instance it keeps the queue.
func (s *Stages) Yield() {
	s.awaitHandover(context.Background(), handoverLimits{handoverTimeout, maxCandidates})
}

// setYielded sets whether a queue that was handed over may come back.
func (q *queue) setYielded(yielded bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.yielded = yielded && q.movedTo != ""
}

// hasMoved reports whether another instance has the queue.
func (q *queue) hasMoved() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.movedTo != ""
}

// unfreezeExported continues with a frozen queue for which there is no other instance.
func (q *queue) unfreezeExported() {
	q.mu.Lock()
	frozen, state := q.frozen, q.exported
	q.mu.Unlock()
	if frozen {
		q.unfreeze(state)
	}
}

// probeTimeout limits the check whether the instance that has the queue responds.
const probeTimeout = 300 * time.Millisecond

// relaysToYielded handles a request whose requester can't reach the instance that has this
// one's queue since a yield. If that instance responds here, it reports whether to relay the
// request to it. Otherwise the queue is taken back.
//
// Without the check of that instance, nobody would serve some requests: until all instances
// know of a failed holder, requesters would be redirected to it.
func (s *Stages) relaysToYielded(ctx context.Context, request *redirectableRequest) (relay bool) {
	to := s.queue.yieldedTo()
	if to == "" || !slices.Contains(request.Avoided, to) {
		return false
	}
	if s.isReachable(ctx, to) {
		return !request.Redirected
	}
	s.queue.takeBack(to)
	return false
}

// isReachable reports whether an instance responds within probeTimeout.
func (s *Stages) isReachable(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return s.reportEnds(ctx, address, nil) == nil
}

// takeBackAvoided takes the queue back from an instance that this one avoids, unless it
// responds: then it has lost only connections, and continues with the queue.
func (s *Stages) takeBackAvoided(ctx context.Context, now time.Time) {
	to := s.queue.yieldedTo()
	if to == "" {
		return
	}
	name := s.memberAt(to).Name
	s.mu.Lock()
	avoided := s.isAvoided(now, name)
	s.mu.Unlock()
	switch {
	case !avoided:
	case s.isReachable(ctx, to):
		s.mu.Lock()
		delete(s.avoidedUntil, name)
		s.mu.Unlock()
	default:
		s.queue.takeBack(to)
	}
}

// yieldedTo returns the address of the instance that has the queue since a yield, or "".
func (q *queue) yieldedTo() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.yielded {
		return ""
	}
	return q.movedTo
}

// takeBackFromDead ends a yield to an instance that isn't live.
func (q *queue) takeBackFromDead(view *membership.View) {
	to := q.yieldedTo()
	isThere := func(m membership.Member) bool { return m.Address == to }
	if to != "" && !slices.ContainsFunc(view.Live(), isThere) {
		q.takeBack(to)
	}
}

// takeBack ends a yield to an instance.
func (q *queue) takeBack(from string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.yielded && q.movedTo == from {
		telemetry.InfoS("Stage queue taken back", telemetry.Event{Address: from})
		q.movedTo, q.yielded = "", false
	}
}
