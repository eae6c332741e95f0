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

// applyTargetList applies a complete list of entries. An entry that names no target is treated
// as absent, so an earlier entry of the same name is removed. The other entries are applied.
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
	// Gossip passes each record back to Receive. The list has been applied before, so that the
	// records change nothing there; otherwise each of them would publish all targets.
	for _, r := range records {
		f.options.Gossip(r)
	}
	f.gossipRemovals()
}

// applyTargets applies the targets of a complete list.
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

// errStartMissing reports an entry without a start, though an earlier entry of the name had one.
var errStartMissing = errors.New("the start of the target is missing")

// decodeTarget decodes an entry. If an earlier entry of the name had a start, an entry without
// one was not written by the target itself.
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
	// Gossip passes the record to Receive unless a peer has sent it before.
	f.options.Gossip(r)
	f.putEntry(r, t)
}

// applyPeerTarget applies an entry that another instance has sent.
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

// rejectEntry handles an entry of the store that names no target. The earlier target of its name
// accepts no new work from now on, as after a removal that has taken effect; a later entry can
// undo it. The entry is gossiped to the other instances as such a removal, which they understand
// regardless of which entries they can decode.
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
		telemetry.InfoS("Entry of a target", telemetry.Event{Target: t.Incarnation(), Version: t.Version, Revision: r.Revision, Reason: targetState(t)})
	}
	f.publishIfChanged(now)
}

// removeEntry applies a removal. A settled removal takes effect at once: either it has already
// taken effect at another instance, or the entry names no target. Any other removal was just seen
// in the store and may take effect only after a grace period.
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

// Leaving records that an incarnation is leaving, as reported at its own address, and gossips it.
// It applies to that incarnation alone, not to one that starts later under its name.
func (f *Follower) Leaving(incarnation string) {
	f.mu.Lock()
	changed := f.roster.MarkLeaving(incarnation)
	if changed {
		now := time.Now()
		f.options.OnLeaving(now, incarnation)
		f.publishIfChanged(now)
	}
	f.mu.Unlock()
	if changed {
		f.options.Gossip(spread.Record{Kind: recordLeaving, Name: incarnation, Revision: 1})
	}
}

// Ended records that the process of an incarnation has ended, as found at its address, and gossips it.
func (f *Follower) Ended(incarnation string) {
	if f.applyEnded(incarnation) {
		f.options.Gossip(spread.Record{Kind: recordEnded, Name: incarnation, Revision: 1})
	}
}

// applyEnded reports whether that is new.
func (f *Follower) applyEnded(incarnation string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.roster.MarkEnded(incarnation)
	if changed {
		telemetry.InfoS("Process of a target has ended", telemetry.Event{Target: incarnation})
		f.publishIfChanged(time.Now())
	}
	return changed
}

// Receive applies a record of another instance.
func (f *Follower) Receive(r spread.Record) {
	switch r.Kind {
	case recordConfig:
		f.applyConfig(r.Revision, r.Body, false)
	case recordTarget:
		f.applyPeerTarget(r)
	case recordDrain:
		f.applyDrain(r, sourcePeer)
	case recordEnded:
		f.applyEnded(r.Name)
	case recordLeaving:
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.roster.MarkLeaving(r.Name) {
			f.options.OnLeaving(time.Now(), r.Name)
			f.publishIfChanged(time.Now())
		}
	}
}

// tickRoster removes entries whose grace period is over.
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

// gossipRemovals sends the removals that took effect here to the other instances. They are not
// sent earlier, since an entry may have vanished because the store was unavailable.
func (f *Follower) gossipRemovals() {
	f.mu.Lock()
	removals := f.roster.TakeRemovals()
	f.mu.Unlock()
	for _, removal := range removals {
		f.options.Gossip(spread.Record{Kind: recordTarget, Name: removal.Name, Revision: removal.Revision, Deleted: true})
	}
}

// publishIfChanged publishes the targets if they have changed; mu is held.
func (f *Follower) publishIfChanged(now time.Time) {
	f.roster.Tick(now)
	if f.roster.TakeChanged() {
		f.publishTargets(now)
	}
}
