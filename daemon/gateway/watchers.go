package gateway

import (
	"context"
	"math/rand/v2"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// methodHears asks an instance whether it hears the store.
	methodHears = "follow.hears"
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
