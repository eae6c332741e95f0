package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxLeads bounds the members that are contacted first.
	maxLeads = 16
	// leadEvery is the time between two tries to contact them, leadTries how many there
	// are: as long as instances take that start at the same time.
	leadEvery = 150 * time.Millisecond
	leadTries = 8
	// joinWithin is how long after its start an instance counts as joining at most.
	joinWithin = 1500 * time.Millisecond
)

// leads are the listed instances of the most capacity, of which one holds each duty that
// one instance has for all.
//
// The load they answer: hundreds of instances that start at the same time. By probes and
// rumours it takes seconds until each knows all, and until then each gives the duty to
// another, or takes it itself.
type leads struct {
	// named tells that the platform's list has come.
	named bool
	count int
	// tries is how often those were contacted that aren't known yet, by address.
	tries map[string]int
	next  time.Time
	since time.Time
}

// nameLeads takes those of the first list that names any.
func (m *Membership) nameLeads(seeds []Member) {
	l := &m.candidates.leads
	if l.count > 0 {
		return
	}
	others := slices.DeleteFunc(slices.Clone(seeds), func(s Member) bool {
		return s.Address == "" || s.Capacity == 0 || s.Name == m.self.Name
	})
	slices.SortFunc(others, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
	})
	l.tries = make(map[string]int, maxLeads)
	for _, s := range others {
		if len(l.tries) < maxLeads && s.Capacity == others[0].Capacity {
			l.tries[s.Address] = 0
		}
	}
	l.count = len(l.tries)
}

// Listed notes that the seeds named so far hold the whole list of the platform.
func (m *Membership) Listed() { m.candidates.leads.named = true }

// contactLeads asks those for a sign of life that aren't known yet.
func (m *Membership) contactLeads(now time.Time) {
	l := &m.candidates.leads
	if len(l.tries) == 0 || now.Before(l.next) {
		return
	}
	l.next = now.Add(leadEvery)
	for _, address := range sortedKeys(l.tries) {
		if _, known := m.byAddress[address]; known || l.tries[address] >= leadTries {
			delete(l.tries, address)
			continue
		}
		l.tries[address]++
		m.send(Send{To: address, Message: m.ping(&entry{}, m.probes.nextSeq()), Fresh: l.tries[address] > 1})
	}
}

// Joining tells whether the instance has just started and doesn't know who holds the
// duties that one instance has for all: it has no list of instances, or has heard of no
// more than half of those of the most capacity.
func (m *Membership) Joining(now time.Time) bool {
	l := &m.candidates.leads
	if l.since.IsZero() {
		l.since = now
	}
	if now.Sub(l.since) >= joinWithin {
		return false
	}
	if !l.named {
		return true
	}
	unknown := 0
	for address := range l.tries {
		if _, known := m.byAddress[address]; !known {
			unknown++
		}
	}
	return 2*unknown > l.count
}
