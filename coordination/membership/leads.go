package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxLeads bounds the members that are contacted first.
	maxPrioritySeeds = 16
	// leadEvery is the time between two tries to contact them, leadTries how many there
	// are: as long as instances take that start at the same time.
	prioritySeedInterval    = 150 * time.Millisecond
	maxPrioritySeedAttempts = 8
	// joinWithin is how long after its start an instance counts as joining at most.
	joinTimeout = 1500 * time.Millisecond
)

// leads are the listed instances of the most capacity, of which one holds each duty that
// one instance has for all.
//
// The load they answer: hundreds of instances that start at the same time. By probes and
// rumours it takes seconds until each knows all, and until then each gives the duty to
// another, or takes it itself.
type prioritySeeds struct {
	// named tells that the platform's list has come.
	listComplete bool
	count        int
	// tries is how often those were contacted that aren't known yet, by address.
	attempts     map[string]int
	nextContact  time.Time
	joiningSince time.Time
}

// nameLeads takes those of the first list that names any.
func (m *Membership) choosePrioritySeeds(seeds []Member) {
	l := &m.candidates.priority
	if l.count > 0 {
		return
	}
	others := slices.DeleteFunc(slices.Clone(seeds), func(s Member) bool {
		return s.Address == "" || s.Capacity == 0 || s.Name == m.self.Name
	})
	slices.SortFunc(others, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
	})
	l.attempts = make(map[string]int, maxPrioritySeeds)
	for _, s := range others {
		if len(l.attempts) < maxPrioritySeeds && s.Capacity == others[0].Capacity {
			l.attempts[s.Address] = 0
		}
	}
	l.count = len(l.attempts)
}

// Listed notes that the seeds named so far hold the whole list of the platform.
func (m *Membership) MarkSeedsComplete() { m.candidates.priority.listComplete = true }

// contactLeads asks those for a sign of life that aren't known yet.
func (m *Membership) contactPrioritySeeds(now time.Time) {
	l := &m.candidates.priority
	if len(l.attempts) == 0 || now.Before(l.nextContact) {
		return
	}
	l.nextContact = now.Add(prioritySeedInterval)
	for _, address := range sortedKeys(l.attempts) {
		if _, known := m.byAddress[address]; known || l.attempts[address] >= maxPrioritySeedAttempts {
			delete(l.attempts, address)
			continue
		}
		l.attempts[address]++
		m.send(Send{To: address, Message: m.ping(&entry{}, m.probes.nextSeq()), NewConnection: l.attempts[address] > 1})
	}
}

// Joining tells whether the instance has just started and doesn't know who holds the
// duties that one instance has for all: it has no list of instances, or has heard of no
// more than half of those of the most capacity.
func (m *Membership) Joining(now time.Time) bool {
	l := &m.candidates.priority
	if l.joiningSince.IsZero() {
		l.joiningSince = now
	}
	if now.Sub(l.joiningSince) >= joinTimeout {
		return false
	}
	if !l.listComplete {
		return true
	}
	unknown := 0
	for address := range l.attempts {
		if _, known := m.byAddress[address]; !known {
			unknown++
		}
	}
	return 2*unknown > l.count
}
