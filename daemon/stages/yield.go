package stages

import (
	"context"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

// enter takes mu, and freezes a queue whose instance has stood still: its askers have
// gone to another holder meanwhile, whose calls those of this one would meet at the
// targets.
func (o *queue) lockAndCheckStall() {
	o.mu.Lock()
	if !o.stall.Check(time.Now(), o.bootClock) || o.frozen || o.movedTo != "" || !o.hasWork() {
		return
	}
	o.freezeLocked()
	go o.onStall()
}

// holdsWork tells whether requests or calls are held here; mu is held.
func (o *queue) hasWork() bool { return o.planner.RequestCount() > 0 || o.planner.CallCount() > 0 }

// Yield gives the queue to the next holder while this instance goes on. Without one
// it keeps the queue.
func (s *Stages) Yield() { s.awaitHandover(context.Background(), handoverTimeout) }

// mayTakeBack says whether a queue that was given away may come back.
func (o *queue) setYielded(may bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.yielded = may && o.movedTo != ""
}

// hasMoved tells whether another instance has the queue.
func (o *queue) hasMoved() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.movedTo != ""
}

// thawFrozen goes on with a queue for which there is no other instance.
func (o *queue) unfreezeExported() {
	o.mu.Lock()
	frozen, state := o.frozen, o.exported
	o.mu.Unlock()
	if frozen {
		o.unfreeze(state)
	}
}

// reachTimeout bounds the question whether the instance answers that has the queue.
const probeTimeout = 300 * time.Millisecond

// lostHolder deals with an asker that doesn't reach the instance which has this one's
// queue since a yield. It tells whether that instance answers here; else the queue is
// taken back.
//
// It guards against requests that nobody serves: until its death is known to all, askers
// are sent on to an instance that is gone.
func (s *Stages) relaysToYielded(ctx context.Context, ask *redirectableRequest) (passOn bool) {
	to := s.queue.yieldedTo()
	if to == "" || !slices.Contains(ask.Avoided, to) {
		return false
	}
	if s.isReachable(ctx, to) {
		return !ask.Redirected
	}
	s.queue.takeBack(to)
	return false
}

// reaches tells whether an instance answers at once.
func (s *Stages) isReachable(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return s.reportEnds(ctx, address, nil) == nil
}

// takeBackAvoided takes the queue back from an instance that this one passes over, unless it
// answers: then it has lost no more than connections, and goes on with the queue.
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

// yieldedTo is the address of the instance that has the queue since a yield, or "".
func (o *queue) yieldedTo() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.yielded {
		return ""
	}
	return o.movedTo
}

// takeBackGone ends a yield to an instance that isn't live.
func (o *queue) takeBackFromDead(view *membership.View) {
	to := o.yieldedTo()
	isThere := func(m membership.Member) bool { return m.Address == to }
	if to != "" && !slices.ContainsFunc(view.Live(), isThere) {
		o.takeBack(to)
	}
}

// takeBack ends a yield to an instance.
func (o *queue) takeBack(from string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.yielded && o.movedTo == from {
		telemetry.InfoS("Stage queue taken back", telemetry.Event{Address: from})
		o.movedTo, o.yielded = "", false
	}
}
