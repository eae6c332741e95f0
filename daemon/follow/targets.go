package follow

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

// targetList takes in a whole list of entries.
func (f *Follower) targetList(l platformapi.List) {
	targets := make([]routes.Target, 0, len(l.Items))
	for _, o := range l.Items {
		if t, ok := f.decodeTarget(o.Metadata.Name, o.Spec); ok {
			targets = append(targets, t)
			f.options.Spread(spread.Record{Kind: recordTarget, Name: t.Name, Revision: o.Metadata.Revision, Body: o.Spec})
		}
	}
	defer f.spreadGone()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.roster.Listed(now, targets, l.Revision)
	f.listed.Store(true)
	telemetry.InfoS("Targets listed", telemetry.Event{Revision: l.Revision, Count: len(targets)})
	f.roster.Tick(now)
	f.roster.TakeChanged()
	f.publish(now)
}

func (f *Follower) decodeTarget(name string, spec []byte) (routes.Target, bool) {
	t, err := f.options.Source.DecodeTarget(name, spec)
	if err != nil {
		klog.ErrorS(err, "Entry of a target refused", "target", name)
		return routes.Target{}, false
	}
	return t, true
}

func (f *Follower) targetEvent(e platformapi.Event) {
	f.targetRecord(spread.Record{
		Kind: recordTarget, Name: e.Object.Metadata.Name, Revision: e.Object.Metadata.Revision,
		Deleted: e.Deleted, Body: e.Object.Spec,
	}, true)
}

// targetRecord takes in one change of a target's entry.
func (f *Follower) targetRecord(r spread.Record, direct bool) {
	now := time.Now()
	var t routes.Target
	if !r.Deleted {
		var ok bool
		if t, ok = f.decodeTarget(r.Name, r.Body); !ok {
			return
		}
	}
	if direct && !r.Deleted {
		// The record comes back by Receive if no peer told it before.
		f.options.Spread(r)
	}
	defer f.spreadGone()
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Deleted {
		remove := f.roster.RemoveSettled
		if direct {
			remove = f.roster.Remove
		}
		if remove(now, r.Name, r.Revision) {
			telemetry.InfoS("Entry of a target removed", telemetry.Event{Target: r.Name, Revision: r.Revision})
		}
	} else if f.roster.Put(t, r.Revision) {
		if t.Leaving {
			f.options.OnLeaving(now, t.Incarnation())
		}
		telemetry.InfoS("Entry of a target", telemetry.Event{Target: t.Incarnation(), Revision: r.Revision, Reason: state(t)})
	}
	f.rosterChanged(now)
}

func state(t routes.Target) string {
	if t.Leaving {
		return "leaving"
	}
	return "ready"
}

// Leaving notes what was said at an incarnation's own address of its leaving, and
// tells the others. It holds for that incarnation alone: one that starts later under
// its name is another.
func (f *Follower) Leaving(incarnation string) {
	f.mu.Lock()
	news := f.roster.Leaving(incarnation)
	if news {
		now := time.Now()
		f.options.OnLeaving(now, incarnation)
		f.rosterChanged(now)
	}
	f.mu.Unlock()
	if news {
		f.options.Spread(spread.Record{Kind: recordLeaving, Name: incarnation, Revision: 1})
	}
}

// Receive takes in what another instance learned.
func (f *Follower) Receive(r spread.Record) {
	switch r.Kind {
	case recordConfig:
		f.accept(r.Revision, r.Body, false)
	case recordTarget:
		f.targetRecord(r, false)
	case recordLeaving:
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.roster.Leaving(r.Name) {
			f.options.OnLeaving(time.Now(), r.Name)
			f.rosterChanged(time.Now())
		}
	}
}

// tick drops entries whose grace is over.
func (f *Follower) tick(ctx context.Context) {
	ticker := time.NewTicker(rosterTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.mu.Lock()
			f.roster.Tick(now)
			f.rosterChanged(now)
			f.mu.Unlock()
			f.spreadGone()
		}
	}
}

// spreadGone tells the other instances the removals that took effect here. They
// are not told before: an entry may be missing because the store was away.
func (f *Follower) spreadGone() {
	f.mu.Lock()
	gone := f.roster.TakeGone()
	f.mu.Unlock()
	for _, g := range gone {
		f.options.Spread(spread.Record{Kind: recordTarget, Name: g.Name, Revision: g.Revision, Deleted: true})
	}
}

// rosterChanged publishes the targets if they changed; mu is held.
func (f *Follower) rosterChanged(now time.Time) {
	f.roster.Tick(now)
	if f.roster.TakeChanged() {
		f.publish(now)
	}
}
