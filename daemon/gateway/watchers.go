package gateway

import (
	"context"
	"math/rand/v2"

	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/transport/peer"
)

const (
	// methodHears asks an instance whether it hears the store.
	methodHears = "follow.hears"
	// methodConfirm asks the first watcher for the newest revision of the
	// configuration.
	methodConfirm = "follow.confirm"
	// watchersKey is the key whose owners watch the store.
	watchersKey = "store-watchers"
	// watchers is how many instances watch the store for the others: enough that a
	// store which refuses a third of the instances is still heard by one in all but
	// two of a thousand cases (0.35 to the sixth).
	watchers = 6
	// allWatch is the size of a fleet up to which all instances watch. The calls of
	// a dozen cost less than the time that a change takes by way of others.
	allWatch = 12
)

// watches tells whether this instance watches the store.
func (g *Gateway) watches() bool {
	if len(g.cluster.View().Live()) <= allWatch {
		return true
	}
	for _, m := range g.cluster.Owners(watchersKey, watchers) {
		if m.Name == g.self.Name {
			return true
		}
	}
	return false
}

// askWatcher asks one of the watchers whether it hears the store.
func (g *Gateway) askWatcher(ctx context.Context) bool {
	owners := g.cluster.Owners(watchersKey, watchers)
	if len(owners) == 0 {
		return false
	}
	m := owners[rand.IntN(len(owners))]
	answer, err := g.cluster.Call(ctx, m.Address, methodHears, nil)
	if err != nil {
		return false // a watcher that can't be asked is no help, whatever it hears
	}
	var hears bool
	return msgpack.Unmarshal(answer, &hears) == nil && hears
}

// confirmed is the answer of methodConfirm.
type confirmed struct {
	Revision uint64
	Known    bool
}

// askConfirmer asks the first watcher for the newest revision that the store tells
// it. An instance that is the first watcher asks the store itself.
func (g *Gateway) askConfirmer(ctx context.Context) (revision uint64, known bool) {
	owners := g.cluster.Owners(watchersKey, 1)
	if len(owners) == 0 || owners[0].Name == g.self.Name {
		return 0, false
	}
	answer, err := g.cluster.Call(ctx, owners[0].Address, methodConfirm, nil)
	if err != nil {
		return 0, false // the store is asked instead
	}
	var c confirmed
	if err := msgpack.Unmarshal(answer, &c); err != nil {
		klog.ErrorS(err, "Answer of a peer could not be read", "peer", owners[0].Name, "step", methodConfirm)
		return 0, false
	}
	return c.Revision, c.Known
}

// handleConfirm answers methodConfirm.
func (g *Gateway) handleConfirm(ctx context.Context, _ peer.Peer, _ []byte) ([]byte, error) {
	revision, known := g.follower.ConfirmFor(ctx)
	return msgpack.Marshal(confirmed{Revision: revision, Known: known})
}
