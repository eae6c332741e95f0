package follow

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/dcdrain"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/state/routes"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

// Drains returns the drains of data centres that are in force on this instance.
func (f *Follower) Drains() []dcdrain.Drain {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.drains.Drains()
}

// drainsKnown reports whether the drains are known. Targets that were published before would
// get requests in a data centre that is drained already.
func (f *Follower) drainsKnown() bool {
	return f.options.Source.DrainKind == "" || f.drainsListed.Load()
}

// applyDrainList applies a complete list of the drains' records. Only their names matter: a
// record with any content is a request to drain.
func (f *Follower) applyDrainList(l platformapi.List) {
	entries := make([]dcdrain.Entry, 0, len(l.Items))
	for _, o := range l.Items {
		entries = append(entries, dcdrain.Entry{DataCentre: o.Metadata.Name, Revision: o.Metadata.Revision})
	}
	f.mu.Lock()
	now := time.Now()
	started, ended := f.drains.ApplyList(now, entries, l.Revision, l.Unreadable)
	first := !f.drainsListed.Swap(true)
	if first || len(started)+len(ended) > 0 {
		f.publishTargets(now)
	}
	f.mu.Unlock()
	for _, name := range started {
		logDrain(name, l.Revision, sourceStore)
	}
	for _, name := range ended {
		logDrainEnd(name, l.Revision, sourceStore)
		f.options.Gossip(spread.Record{Kind: recordDrain, Name: name, Revision: l.Revision, Deleted: true})
	}
	for _, e := range entries {
		f.options.Gossip(spread.Record{Kind: recordDrain, Name: e.DataCentre, Revision: e.Revision})
	}
}

func (f *Follower) applyDrainEvent(e platformapi.Event) {
	r := spread.Record{Kind: recordDrain, Name: e.Object.Metadata.Name, Revision: e.Object.Metadata.Revision, Deleted: e.Deleted}
	f.applyDrain(r, sourceStore)
	f.options.Gossip(r)
}

// applyDrain applies the appearance or the removal of a drain's record.
func (f *Follower) applyDrain(r spread.Record, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	switch {
	case r.Deleted && f.drains.End(r.Name, r.Revision):
		logDrainEnd(r.Name, r.Revision, source)
	case !r.Deleted && f.drains.Start(now, r.Name, r.Revision):
		logDrain(r.Name, r.Revision, source)
	default:
		return
	}
	f.publishTargets(now)
}

func logDrain(dataCentre string, revision uint64, source string) {
	telemetry.InfoS("Data centre drained", telemetry.Event{DataCentre: dataCentre, Revision: revision, Reason: source})
}

func logDrainEnd(dataCentre string, revision uint64, source string) {
	telemetry.InfoS("Drain of a data centre ended", telemetry.Event{DataCentre: dataCentre, Revision: revision, Reason: source})
}

// undrained returns the targets outside drained data centres; mu is held.
func (f *Follower) undrained(usable map[string][]routes.Target) map[string][]routes.Target {
	for service, list := range usable {
		kept := list[:0]
		for _, t := range list {
			if !f.drains.Contains(t.DataCentre) {
				kept = append(kept, t)
			}
		}
		usable[service] = kept
	}
	return usable
}

// Usable reports whether an incarnation may receive new work.
func (f *Follower) Usable(incarnation string) bool {
	usable := f.usable.Load()
	return usable != nil && (*usable)[incarnation]
}

// incarnations returns the set of the targets' incarnations.
func incarnations(usable map[string][]routes.Target) map[string]bool {
	set := map[string]bool{}
	for _, list := range usable {
		for _, t := range list {
			set[t.Incarnation()] = true
		}
	}
	return set
}
