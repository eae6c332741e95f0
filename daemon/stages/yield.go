package stages

import (
	"context"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/daemon/orders/boottime"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

// enter takes mu, and freezes a queue whose instance has stood still: its askers have
// gone to another holder meanwhile, whose calls those of this one would meet at the
// targets.
func (o *Owner) enter() {
	o.mu.Lock()
	if !o.stall.Look(time.Now(), boottime.Now) || o.frozen || o.movedTo != "" || !o.holdsWork() {
		return
	}
	o.export()
	go o.stalled()
}

// holdsWork tells whether requests or calls are held here; mu is held.
func (o *Owner) holdsWork() bool { return o.planner.Held() > 0 || o.planner.Calls() > 0 }

// Yield gives the queue to the next holder while this instance goes on. Without one
// it keeps the queue.
func (s *Stages) Yield() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if !s.tryHandOver(ctx) {
		s.owner.thawFrozen()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner.mayTakeBack(!s.stopping)
}

// mayTakeBack says whether a queue that was given away may come back.
func (o *Owner) mayTakeBack(may bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.yielded = may && o.movedTo != ""
}

// hasMoved tells whether another instance has the queue.
func (o *Owner) hasMoved() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.movedTo != ""
}

// thawFrozen goes on with a queue for which there is no other instance.
func (o *Owner) thawFrozen() {
	o.mu.Lock()
	frozen, state := o.frozen, o.exported
	o.mu.Unlock()
	if frozen {
		o.thaw(state)
	}
}

// takeBack ends a yield to an instance that is gone.
func (o *Owner) takeBack(view *membership.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.yielded {
		return
	}
	for _, m := range view.Live() {
		if m.Address == o.movedTo {
			return
		}
	}
	telemetry.InfoS("Stage queue taken back", telemetry.Event{Address: o.movedTo})
	o.movedTo, o.yielded = "", false
}
