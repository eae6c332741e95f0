package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxPrioritySeeds bounds the seeds that are contacted first.
	maxPrioritySeeds = 16
	// prioritySeedInterval is the time between two attempts to contact a priority seed,
	// maxPrioritySeedAttempts the number of attempts. Together they cover the time for
	// which instances that start at the same time aren't reachable yet.
	prioritySeedInterval    = 150 * time.Millisecond
	maxPrioritySeedAttempts = 8
	// joinTimeout bounds the time after its start for which an instance counts as joining.
	joinTimeout = 1500 * time.Millisecond
)

// prioritySeeds are the listed instances with the highest capacity. Each singleton duty,
// one that a single instance performs for the whole cluster, is held by one of them.
//
// They are contacted first for the case that hundreds of instances start at the same time.
// By probes and gossip it takes seconds until each knows all others, and until then each
// would assign the duty to a different instance or perform it itself.
type prioritySeeds struct {
	// listComplete is set once the platform's whole list has been received.
	listComplete bool
	// count is the number of priority seeds that were chosen.
	count int
	// attempts counts, by address, the contacts of seeds that aren't known members yet.
	attempts     map[string]int
	nextContact  time.Time
	joiningSince time.Time
}

// choosePrioritySeeds picks the priority seeds from the first list that has any.
func (m *Membership) choosePrioritySeeds(seeds []Member) {
	ps := &m.candidates.priority
	if ps.count > 0 {
		return
	}
	others := slices.DeleteFunc(slices.Clone(seeds), func(s Member) bool {
		return s.Address == "" || s.Capacity == 0 || s.Name == m.self.Name
	})
	slices.SortFunc(others, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
	})
	ps.attempts = make(map[string]int, maxPrioritySeeds)
	for _, s := range others {
		if len(ps.attempts) < maxPrioritySeeds && s.Capacity == others[0].Capacity {
			ps.attempts[s.Address] = 0
		}
	}
	ps.count = len(ps.attempts)
}

// MarkSeedsComplete records that the seeds given so far include the platform's whole list.
func (m *Membership) MarkSeedsComplete() { m.candidates.priority.listComplete = true }

// contactPrioritySeeds pings the priority seeds that aren't known members yet.
func (m *Membership) contactPrioritySeeds(now time.Time) {
	ps := &m.candidates.priority
	if len(ps.attempts) == 0 || now.Before(ps.nextContact) {
		return
	}
	ps.nextContact = now.Add(prioritySeedInterval)
	for _, address := range sortedKeys(ps.attempts) {
		if _, known := m.byAddress[address]; known || ps.attempts[address] >= maxPrioritySeedAttempts {
			delete(ps.attempts, address)
			continue
		}
		ps.attempts[address]++
		m.send(Send{To: address, Message: m.ping(&entry{}, m.probes.nextSeq()), NewConnection: ps.attempts[address] > 1})
	}
}

// Joining reports whether the instance has just started and can't know yet which instances
// hold the singleton duties: it has no list of instances, or knows fewer than half of the
// priority seeds.
func (m *Membership) Joining(now time.Time) bool {
	ps := &m.candidates.priority
	if ps.joiningSince.IsZero() {
		ps.joiningSince = now
	}
	if now.Sub(ps.joiningSince) >= joinTimeout {
		return false
	}
	if !ps.listComplete {
		return true
	}
	unknown := 0
	for address := range ps.attempts {
		if _, known := m.byAddress[address]; !known {
			unknown++
		}
	}
	return 2*unknown > ps.count
}
