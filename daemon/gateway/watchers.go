package gateway

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/watching"
	"github.com/ivyhollow/ivyhollow/daemon/follow"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

const (
	// methodReport requests an instance's report on the age of its data from the store.
	methodReport = "follow.word"
	// methodFresh asks an instance whether its data from the store is fresh. It serves
	// instances whose version doesn't have methodReport.
	methodFresh = "follow.hears"
	// methodConfirm requests the newest revision of the configuration from the first
	// watcher.
	methodConfirm = "follow.confirm"
	// watchersKey is the key whose owners watch the store.
	watchersKey = "store-watchers"
	// maxWatchers is the number of instances that watch the store for the others. If
	// the store refuses 35 % of the instances, the probability that no watcher receives
	// the store's changes is 0.2 % (0.35 to the sixth).
	maxWatchers = 6
	// allWatchLimit is the fleet size up to which all instances watch the store. For a
	// dozen instances the additional calls cost less than the delay of gossip.
	allWatchLimit = 12
)

// fleet implements follow.Fleet, the follower's view of the other instances.
type fleet struct{ g *Gateway }

// WatcherCount implements follow.Fleet.
func (f fleet) WatcherCount() int { return len(f.watchers()) }

// watchers returns the watchers by rank: if one fails, the next one replaces it.
func (f fleet) watchers() []membership.Member {
	return f.g.cluster.Owners(watchersKey, maxWatchers)
}

// Rank implements follow.Fleet. Where all instances watch, the others rank behind the
// owners of the key.
func (f fleet) Rank() int {
	watchers := f.watchers()
	for rank, m := range watchers {
		if m.Name == f.g.self.Name {
			return rank
		}
	}
	if f.AllWatch() {
		return len(watchers)
	}
	return watching.NoRank
}

// AllWatch implements follow.Fleet.
func (f fleet) AllWatch() bool { return len(f.g.cluster.View().Live()) <= allWatchLimit }

// AwaitJoin implements follow.Fleet. An instance of a small fleet doesn't wait, since
// it watches the store itself.
func (f fleet) AwaitJoin(ctx context.Context) {
	if f.g.cluster.ListedCount(ctx) > allWatchLimit {
		f.g.cluster.AwaitJoin(ctx)
	}
}

// PollWatcher implements follow.Fleet.
func (f fleet) PollWatcher(ctx context.Context, index int) watching.Report {
	watchers := f.watchers()
	if index >= len(watchers) {
		return watching.Report{}
	}
	var report watching.Report
	response, err := f.g.cluster.Call(ctx, watchers[index].Address, methodReport, nil)
	if err != nil {
		return watching.Report{} // an unreachable watcher is of no use, whatever data it has
	}
	if err := msgpack.Unmarshal(response, &report); err != nil {
		klog.ErrorS(err, "Answer of a peer could not be read", "peer", watchers[index].Name, "step", methodReport)
		return watching.Report{}
	}
	return report
}

// confirmResponse is the response of methodConfirm. Its fields are sent by name.
type confirmResponse struct {
	Revision uint64
	Known    bool
	Bytes    int `msgpack:"Bytes,omitempty"`
}

// askConfirmer requests from the first watcher the newest version that the store reports. If
// Known is false, the caller has to ask the store: this instance is the first watcher, or the
// first watcher doesn't respond or doesn't know it.
func (g *Gateway) askConfirmer(ctx context.Context) follow.Newest {
	watchers := g.cluster.Owners(watchersKey, 1)
	if len(watchers) == 0 || watchers[0].Name == g.self.Name {
		return follow.Newest{}
	}
	response, err := g.cluster.Call(ctx, watchers[0].Address, methodConfirm, nil)
	if err != nil {
		return follow.Newest{}
	}
	var c confirmResponse
	if err := msgpack.Unmarshal(response, &c); err != nil {
		klog.ErrorS(err, "Answer of a peer could not be read", "peer", watchers[0].Name, "step", methodConfirm)
		return follow.Newest{}
	}
	return follow.Newest{Revision: c.Revision, Bytes: c.Bytes, Known: c.Known}
}

// handleConfirm handles methodConfirm.
func (g *Gateway) handleConfirm(ctx context.Context, _ peer.Peer, _ []byte) ([]byte, error) {
	newest := g.follower.Newest(ctx)
	return msgpack.Marshal(confirmResponse{Revision: newest.Revision, Known: newest.Known, Bytes: newest.Bytes})
}
