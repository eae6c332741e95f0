package app

import (
	"context"
	"strconv"

	"github.com/ivyhollow/ivyhollow/coordination/lease"
	"github.com/ivyhollow/ivyhollow/daemon/orders"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

const (
	// leaseKeyPrefix followed by a pool's name is the key whose owners compete for
	// the pool's lease.
	leaseKeyPrefix = "orders/"
	// leaseCompetitors is the number of instances that compete for a lease: the holder
	// and one successor. The other instances don't have to read the lease.
	leaseCompetitors = 2
)

func (a *App) buildOrders() {
	terms := lease.DefaultTiming
	terms.LongestOrder = a.settings.Orders.LongestOrder
	a.orders = orders.NewGroup(orders.GroupOptions{
		Controller: orders.Options{
			Holder: a.self.Name + "-" + strconv.FormatUint(a.self.Incarnation, 10),
			Store:  a.store,
			Client: a.targets,
			Scope:  a.telemetry.Scope,
			Timing: terms,
		},
		Snapshot: a.sync.Snapshot,
		Members:  a.orderedTargets,
		Competes: func(pool string) bool { return a.isOwner(leaseKeyPrefix+pool, leaseCompetitors) },
	})
}

// isOwner reports whether this instance is among the first n owners of a key.
func (a *App) isOwner(key string, n int) bool {
	for _, owner := range a.cluster.Owners(key, n) {
		if owner.Name == a.self.Name {
			return true
		}
	}
	return false
}

// orderedTargets returns the targets of a pool to which orders go: its ready engines.
func (a *App) orderedTargets(pool string) []orders.Member {
	var members []orders.Member
	for _, t := range a.discovery.Engines(func(string) bool { return true }) {
		if t.Pool == pool && t.State == platformapi.TargetReady {
			members = append(members, orders.Member{Incarnation: t.Incarnation, Address: t.Address})
		}
	}
	return members
}

// handOverLeases releases the leases under which this instance issues orders.
func (a *App) handOverLeases() {
	runWithTimeout(leaveTimeout, "hand over leases", func(ctx context.Context) error { return a.orders.ReleaseLeases(ctx) })
}
