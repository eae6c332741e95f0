package capacity

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/lease"
)

// orderedPools is the number of pools whose engines receive orders.
const orderedPools = 6

// leaseStore holds the record of one lease and counts the calls.
type leaseStore struct {
	record        lease.Record
	revision      uint64
	reads, writes int
}

// measureLeases simulates instances that all compete for the leases of the pools.
func measureLeases(o Options) ([]Series, error) {
	reads := Series{Quantity: "reads, six pools, if all instances compete", Unit: "1/s in all", SizeUnit: "node", DesignSize: designNodes, Budget: storeReads}
	writes := Series{Quantity: "writes, six pools", Unit: "1/s in all", SizeUnit: "node", DesignSize: designNodes, Budget: storeWrites}
	for _, n := range o.sizes(3, 64, 440) {
		store := simulateLease(n)
		reads.add(n, orderedPools*float64(store.reads)/fleetLength.Seconds())
		writes.add(n, orderedPools*float64(store.writes)/fleetLength.Seconds())
	}
	return []Series{reads, writes}, nil
}

// simulateLease simulates n instances that compete for one pool's lease. The
// calls of the second half are counted, in which the lease is held already.
func simulateLease(n int) *leaseStore {
	now := time.Unix(1_000_000, 0)
	store := &leaseStore{}
	holders := make([]*lease.Lease, n)
	for i := range holders {
		holders[i] = lease.New(instanceName(i), lease.DefaultTiming)
	}
	for end := now.Add(2 * fleetLength); now.Before(end); now = now.Add(tickInterval) {
		if now.Equal(end.Add(-fleetLength)) {
			store.reads, store.writes = 0, 0
		}
		for _, l := range holders {
			store.runLease(now, l)
		}
	}
	return store
}

// runLease executes the actions of a lease until it waits.
func (s *leaseStore) runLease(now time.Time, l *lease.Lease) {
	for range 4 {
		switch a := l.Next(now).(type) {
		case lease.Wait:
			return
		case lease.Read:
			s.reads++
			if s.revision == 0 {
				l.ObservedAbsent(now)
				continue
			}
			l.Observed(now, s.record, s.revision)
		case lease.Write:
			s.writes++
			if a.Revision != s.revision {
				l.Observed(now, s.record, s.revision)
				continue
			}
			s.record = a.Record
			s.revision++
			l.Written(now, s.revision)
		}
	}
}
