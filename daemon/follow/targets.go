package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

// targetList takes in a whole list of entries. One that names no target is none of
// the list, so what stood under its name is removed; the others hold.
func (f *Follower) applyTargetList(l platformapi.List) {
	targets := make([]routes.Target, 0, len(l.Items))
	records := make([]spread.Record, 0, len(l.Items))
	for _, o := range l.Items {
		r := spread.Record{Kind: recordTarget, Name: o.Metadata.Name, Revision: o.Metadata.Revision, Body: o.Spec}
		t, err := f.decodeTarget(r.Name, r.Body)
		if err != nil {
			f.rejectEntry(r, err)
			continue
		}
		targets, records = append(targets, t), append(records, r)
	}
	f.applyTargets(targets, l.Revision)
	// Spread tells them back one by one: as those in the list they are no changes any
	// more, which would each have all targets handed on.
	for _, r := range records {
		f.options.Gossip(r)
	}
	f.gossipRemovals()
}

// takeList puts the targets of a whole list in force.
func (f *Follower) applyTargets(targets []routes.Target, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.roster.ApplyList(now, targets, revision)
	f.targetsListed.Store(true)
	telemetry.InfoS("Targets listed", telemetry.Event{Revision: revision, Count: len(targets)})
	f.roster.Tick(now)
	f.roster.TakeChanged()
	f.publishTargets(now)
}

// errNoStart tells of an entry without the start that its target told before.
var errStartMissing = errors.New("the start of the target is missing")

// decodeTarget reads an entry. Where a start was told under its name, one without is
// from another writer than the target.
func (f *Follower) decodeTarget(name string, spec []byte) (routes.Target, error) {
	t, err := f.options.Source.DecodeTarget(name, spec)
	if err != nil || t.StartedMillis != 0 {
		return t, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.roster.KnowsStart(name) {
		return routes.Target{}, errors.Wrapf(errStartMissing, "entry of target %.40q", name)
	}
	return t, nil
}

func (f *Follower) applyTargetEvent(e platformapi.Event) {
	r := spread.Record{
		Kind: recordTarget, Name: e.Object.Metadata.Name, Revision: e.Object.Metadata.Revision,
		Deleted: e.Deleted, Body: e.Object.Spec,
	}
	if r.Deleted {
		f.removeEntry(r, false)
		return
	}
	t, err := f.decodeTarget(r.Name, r.Body)
	if err != nil {
		f.rejectEntry(r, err)
		return
	}
	// The record comes back by Receive if no peer told it before.
	f.options.Gossip(r)
	f.putEntry(r, t)
}

// targetReceived takes in what another instance told of an entry.
func (f *Follower) applyPeerTarget(r spread.Record) {
	if r.Deleted {
		f.removeEntry(r, true)
		return
	}
	t, err := f.decodeTarget(r.Name, r.Body)
	if err != nil {
		f.logRejection(err)
		f.removeEntry(r, true)
		return
	}
	f.putEntry(r, t)
}

// refuseEntry takes in an entry of the store that names no target. What stood under
// its name takes nothing new from now on, as after a removal that has taken effect: a
// later entry brings it back. The other instances are told it as that removal, which
// they understand whatever entries they can read.
func (f *Follower) rejectEntry(r spread.Record, err error) {
	f.logRejection(err)
	r.Deleted, r.Body = true, nil
	f.options.Gossip(r)
	f.removeEntry(r, true)
}

func (f *Follower) putEntry(r spread.Record, t routes.Target) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.roster.Put(t, r.Revision) {
		if t.Leaving {
			f.options.OnLeaving(now, t.Incarnation())
		}
		telemetry.InfoS("Entry of a target", telemetry.Event{Target: t.Incarnation(), Revision: r.Revision, Reason: targetState(t)})
	}
	f.publishIfChanged(now)
}

// removeEntry takes in a removal, one that has taken effect or one that was just seen.
func (f *Follower) removeEntry(r spread.Record, settled bool) {
	defer f.gossipRemovals()
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	remove := f.roster.Remove
	if settled {
		remove = f.roster.RemoveNow
	}
	if remove(now, r.Name, r.Revision) {
		telemetry.InfoS("Entry of a target removed", telemetry.Event{Target: r.Name, Revision: r.Revision})
	}
	f.publishIfChanged(now)
}

func targetState(t routes.Target) string {
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
	news := f.roster.MarkLeaving(incarnation)
	if news {
		now := time.Now()
		f.options.OnLeaving(now, incarnation)
		f.publishIfChanged(now)
	}
	f.mu.Unlock()
	if news {
		f.options.Gossip(spread.Record{Kind: recordLeaving, Name: incarnation, Revision: 1})
	}
}

// Receive takes in what another instance learned.
func (f *Follower) Receive(r spread.Record) {
	switch r.Kind {
	case recordConfig:
		f.applyConfig(r.Revision, r.Body, false)
	case recordTarget:
		f.applyPeerTarget(r)
	case recordLeaving:
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.roster.MarkLeaving(r.Name) {
			f.options.OnLeaving(time.Now(), r.Name)
			f.publishIfChanged(time.Now())
		}
	}
}

// tick drops entries whose grace is over.
func (f *Follower) tickRoster(ctx context.Context) {
	ticker := time.NewTicker(rosterInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.mu.Lock()
			f.roster.Tick(now)
			f.publishIfChanged(now)
			f.recordAges(now)
			f.mu.Unlock()
			f.gossipRemovals()
		}
	}
}

// spreadGone tells the other instances the removals that took effect here. They
// are not told before: an entry may be missing because the store was away.
func (f *Follower) gossipRemovals() {
	f.mu.Lock()
	gone := f.roster.TakeRemovals()
	f.mu.Unlock()
	for _, g := range gone {
		f.options.Gossip(spread.Record{Kind: recordTarget, Name: g.Name, Revision: g.Revision, Deleted: true})
	}
}

// rosterChanged publishes the targets if they changed; mu is held.
func (f *Follower) publishIfChanged(now time.Time) {
	f.roster.Tick(now)
	if f.roster.TakeChanged() {
		f.publishTargets(now)
	}
}
