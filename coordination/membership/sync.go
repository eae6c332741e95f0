package membership

import (
	"slices"
	"time"
)

const (
	// maxCandidates bounds the seeds that wait to be contacted.
	maxCandidates = 1024
	// candidateTries is how often a seed is contacted before it is dropped
	// until it is named again.
	candidateTries = 3
	// firstContacts is how many seeds are contacted at once.
	firstContacts = 3
	// settleFactor, in periods, is how long two digests may differ before it
	// counts: updates on their way make them differ for a while.
	settleFactor = 5
)

// candidates are addresses that may be instances. They are no members until
// they are heard of: a platform's list lags, and what it names may be long
// gone.
type candidates struct {
	tries map[string]int
	next  time.Time
	leads leads
}

// syncState is the state of the full exchange.
type syncState struct {
	joined bool
	// again is when the full exchange is next tried a second time, zero once it was
	// done; trying says that it was asked for.
	again  time.Time
	trying bool
	// differs is since when the digests differ, zero if they do not.
	differs time.Time
	next    time.Time
}

// Seed names possible instances, from the settings or the platform's list.
// Only the address is needed.
func (m *Membership) Seed(now time.Time, seeds []Member) []Action {
	c := &m.candidates
	if c.tries == nil {
		c.tries = make(map[string]int)
	}
	for _, s := range seeds {
		_, known := m.byAddress[s.Address]
		if s.Address == "" || s.Address == m.self.Address || known || len(c.tries) >= maxCandidates {
			continue
		}
		c.tries[s.Address] = 0
	}
	if !m.leaving {
		m.nameLeads(seeds)
		m.contactLeads(now)
		m.contact(firstContacts)
		c.next = now.Add(m.cfg.Period)
	}
	return m.flush()
}

// tickCandidates contacts one seed a period.
func (m *Membership) tickCandidates(now time.Time) {
	if len(m.candidates.tries) == 0 || now.Before(m.candidates.next) {
		return
	}
	m.candidates.next = now.Add(m.cfg.Period)
	m.contact(1)
}

// contact sends to random seeds and drops those that have become members or
// were tried often enough.
func (m *Membership) contact(n int) {
	c := &m.candidates
	addresses := sortedKeys(c.tries)
	m.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses {
		if _, known := m.byAddress[address]; known || c.tries[address] >= candidateTries {
			delete(c.tries, address)
			continue
		}
		if n == 0 {
			return
		}
		n--
		c.tries[address]++
		m.send(Send{To: address, Message: m.contactMessage(), Fresh: c.tries[address] > 1})
	}
}

// contactMessage asks for everything until this instance has joined, and then
// only for a sign of life.
func (m *Membership) contactMessage() Message {
	if m.sync.joined {
		return m.ping(&entry{}, m.probes.nextSeq())
	}
	return &SyncRequest{}
}

// tickSync keeps asking for the full exchange until it was done once, and does it once
// more a period later.
//
// The failure the second one guards against: an instance starts in the moment in which
// another leaves, and the word goes round before any member knows the new one and
// after its first exchange; it counts the other as live for seconds. A period later
// the member asked knows.
func (m *Membership) tickSync(now time.Time) {
	switch {
	case !m.sync.joined && !now.Before(m.sync.next):
		m.sync.next = now.Add(m.cfg.Period)
	case m.sync.joined && !m.sync.again.IsZero() && !now.Before(m.sync.again):
		m.sync.again, m.sync.trying = now.Add(m.cfg.Period), true
	default:
		return
	}
	for _, e := range m.pick(1, "") {
		m.send(Send{To: e.Address, Message: &SyncRequest{}})
	}
}

// noteDigest compares the sets of live members. If they differ for longer than
// updates take to arrive, the two exchange all they know: an update can die
// out before it has reached everyone.
func (m *Membership) noteDigest(now time.Time, from Member, digest uint64) {
	if digest == m.digest {
		m.sync.differs = time.Time{}
		return
	}
	if m.sync.differs.IsZero() {
		m.sync.differs = now
	}
	if m.leaving || now.Sub(m.sync.differs) < settleFactor*m.cfg.Period || now.Before(m.sync.next) {
		return
	}
	m.sync.next = now.Add(m.cfg.SyncEvery)
	m.send(Send{To: from.Address, Reply: true, Message: &SyncRequest{}})
}

// page returns the members that follow a name. One that leaves adds itself to each.
func (m *Membership) page(after string) *SyncAnswer {
	members, size := m.known(), m.cfg.SyncPage
	if m.leaving {
		size--
	}
	i, found := slices.BinarySearchFunc(members, after, func(x Member, name string) int {
		switch {
		case x.Name < name:
			return -1
		case x.Name > name:
			return 1
		}
		return 0
	})
	if found {
		i++
	}
	end := min(i+size, len(members))
	answer := &SyncAnswer{Members: slices.Clone(members[i:end])}
	if end < len(members) {
		answer.Next = members[end-1].Name
	}
	if m.leaving && !slices.Contains(answer.Members, m.self) {
		answer.Members = append(answer.Members, m.self)
	}
	return answer
}

// known returns the members that are told of in a full exchange.
func (m *Membership) known() []Member {
	return slices.DeleteFunc(slices.Clone(m.view.Members), func(x Member) bool {
		e := m.table[x.Name]
		return e != nil && e.hearsay
	})
}

// applyPage takes a page over and asks for the next one.
func (m *Membership) applyPage(now time.Time, from Member, a *SyncAnswer) {
	if len(a.Members) > m.cfg.SyncPage {
		return
	}
	for _, u := range a.Members {
		m.reconcile(now, u)
	}
	if a.Next == "" {
		m.exchanged(now)
		return
	}
	if m.leaving {
		return
	}
	m.send(Send{To: from.Address, Reply: true, Message: &SyncRequest{After: a.Next}})
}

// exchanged notes that the last page of a full exchange has come.
func (m *Membership) exchanged(now time.Time) {
	switch {
	case !m.sync.joined:
		m.sync.joined, m.sync.again = true, now.Add(m.cfg.Period)
	case m.sync.trying:
		m.sync.again, m.sync.trying = time.Time{}, false
	}
}

// reconcile compares one member of a page with what is known here. Where the
// two disagree on whether the same run lives, neither is believed: the member
// is asked, and told what is said of it, so that it can refute. Otherwise the
// first exchange after a partition would carry each side's verdict of death to
// the members of the other side, who are well.
func (m *Membership) reconcile(now time.Time, u Member) {
	e := m.table[u.Name]
	sameRun := e != nil && e.Incarnation == u.Incarnation
	if !sameRun || u.State == Left || e.State == Left || u.Live() == e.Live() {
		m.apply(now, u)
		return
	}
	if u.Live() && supersedes(u, e.Member) {
		m.apply(now, u)
		return
	}
	doubt := u
	if e.State == Dead {
		doubt = e.Member
	}
	if len(m.probes.doubts) < maxDoubts {
		m.probes.doubts[u.Name] = doubt
	}
}
