package gateway

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/watching"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

const (
	// methodWord asks an instance how old its knowledge of the store is.
	methodReport = "follow.word"
	// methodHears asks an instance whether it hears the store: the question of instances
	// that don't know methodWord.
	methodFresh = "follow.hears"
	// methodConfirm asks the first watcher for the newest revision of the
	// configuration.
	methodConfirm = "follow.confirm"
	// watchersKey is the key whose owners watch the store.
	watchersKey = "store-watchers"
	// watchers is how many instances watch the store for the others: enough that a
	// store which refuses a third of the instances is still heard by one in all but
	// two of a thousand cases (0.35 to the sixth).
	maxWatchers = 6
	// allWatch is the size of a fleet up to which all instances watch. The calls of
	// a dozen cost less than the time that a change takes by way of others.
	allWatchLimit = 12
)

// fleet is the follower's view of the other instances.
type fleet struct{ g *Gateway }

// Watchers implements follow.Fleet.
func (f fleet) WatcherCount() int { return len(f.watchers()) }

// owners are the watchers, in the order in which one takes another's place.
func (f fleet) watchers() []membership.Member {
	return f.g.cluster.Owners(watchersKey, maxWatchers)
}

// Place implements follow.Fleet. Where all watch, those beyond the owners stand behind
// them.
func (f fleet) Rank() int {
	owners := f.watchers()
	for place, m := range owners {
		if m.Name == f.g.self.Name {
			return place
		}
	}
	if f.AllWatch() {
		return len(owners)
	}
	return watching.NoRank
}

// AllWatch implements follow.Fleet.
func (f fleet) AllWatch() bool { return len(f.g.cluster.View().Live()) <= allWatchLimit }

// AwaitJoin implements follow.Fleet. An instance of a small fleet watches at once: it
// leaves nothing to others.
func (f fleet) AwaitJoin(ctx context.Context) {
	if f.g.cluster.ListedCount(ctx) > allWatchLimit {
		f.g.cluster.AwaitJoin(ctx)
	}
}

// AskWatcher implements follow.Fleet.
func (f fleet) PollWatcher(ctx context.Context, place int) watching.Report {
	owners := f.watchers()
	if place >= len(owners) {
		return watching.Report{}
	}
	var word watching.Report
	answer, err := f.g.cluster.Call(ctx, owners[place].Address, methodReport, nil)
	if err != nil {
		return watching.Report{} // a watcher that can't be asked is no help, whatever it knows
	}
	if err := msgpack.Unmarshal(answer, &word); err != nil {
		klog.ErrorS(err, "Answer of a peer could not be read", "peer", owners[place].Name, "step", methodReport)
		return watching.Report{}
	}
	return word
}

// confirmed is the answer of methodConfirm.
type confirmResponse struct {
	Revision uint64
	Known    bool
}

// askConfirmer asks the first watcher for the newest revision that the store tells
// it. An instance that is the first watcher asks the store itself.
func (g *Gateway) requestConfirmation(ctx context.Context) (revision uint64, known bool) {
	owners := g.cluster.Owners(watchersKey, 1)
	if len(owners) == 0 || owners[0].Name == g.self.Name {
		return 0, false
	}
	answer, err := g.cluster.Call(ctx, owners[0].Address, methodConfirm, nil)
	if err != nil {
		return 0, false // the store is asked instead
	}
	var c confirmResponse
	if err := msgpack.Unmarshal(answer, &c); err != nil {
		klog.ErrorS(err, "Answer of a peer could not be read", "peer", owners[0].Name, "step", methodConfirm)
		return 0, false
	}
	return c.Revision, c.Known
}

// handleConfirm answers methodConfirm.
func (g *Gateway) handleConfirm(ctx context.Context, _ peer.Peer, _ []byte) ([]byte, error) {
	revision, known := g.follower.NewestRevision(ctx)
	return msgpack.Marshal(confirmResponse{Revision: revision, Known: known})
}
