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
	maxCandidateAttempts = 3
	// firstContacts is how many seeds are contacted at once.
	initialContacts = 3
	// settleFactor, in periods, is how long two digests may differ before it
	// counts: updates on their way make them differ for a while.
	digestSettlePeriods = 5
)

// candidates are addresses that may be instances. They are no members until
// they are heard of: a platform's list lags, and what it names may be long
// gone.
type seedCandidates struct {
	attempts    map[string]int
	nextContact time.Time
	priority    prioritySeeds
}

// syncState is the state of the full exchange.
type syncState struct {
	joined bool
	// again is when the full exchange is next tried a second time, zero once it was
	// done; trying says that it was asked for.
	repeatAt      time.Time
	repeatPending bool
	// differs is since when the digests differ, zero if they do not.
	differsSince time.Time
	nextRequest  time.Time
}

// Seed names possible instances, from the settings or the platform's list.
// Only the address is needed.
func (m *Membership) Seed(now time.Time, seeds []Member) []Action {
	c := &m.candidates
	if c.attempts == nil {
		c.attempts = make(map[string]int)
	}
	for _, s := range seeds {
		_, known := m.byAddress[s.Address]
		if s.Address == "" || s.Address == m.self.Address || known || len(c.attempts) >= maxCandidates {
			continue
		}
		c.attempts[s.Address] = 0
	}
	if !m.leaving {
		m.choosePrioritySeeds(seeds)
		m.contactPrioritySeeds(now)
		m.contact(initialContacts)
		c.nextContact = now.Add(m.cfg.Period)
	}
	return m.flush()
}

// tickCandidates contacts one seed a period.
func (m *Membership) tickCandidates(now time.Time) {
	if len(m.candidates.attempts) == 0 || now.Before(m.candidates.nextContact) {
		return
	}
	m.candidates.nextContact = now.Add(m.cfg.Period)
	m.contact(1)
}

// contact sends to random seeds and drops those that have become members or
// were tried often enough.
func (m *Membership) contact(n int) {
	c := &m.candidates
	addresses := sortedKeys(c.attempts)
	m.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses {
		if _, known := m.byAddress[address]; known || c.attempts[address] >= maxCandidateAttempts {
			delete(c.attempts, address)
			continue
		}
		if n == 0 {
			return
		}
		n--
		c.attempts[address]++
		m.send(Send{To: address, Message: m.contactMessage(), NewConnection: c.attempts[address] > 1})
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
	case !m.sync.joined && !now.Before(m.sync.nextRequest):
		m.sync.nextRequest = now.Add(m.cfg.Period)
	case m.sync.joined && !m.sync.repeatAt.IsZero() && !now.Before(m.sync.repeatAt):
		m.sync.repeatAt, m.sync.repeatPending = now.Add(m.cfg.Period), true
	default:
		return
	}
	for _, e := range m.sampleLive(1, "") {
		m.send(Send{To: e.Address, Message: &SyncRequest{}})
	}
}

// noteDigest compares the sets of live members. If they differ for longer than
// updates take to arrive, the two exchange all they know: an update can die
// out before it has reached everyone.
func (m *Membership) compareDigest(now time.Time, from Member, digest uint64) {
	if digest == m.digest {
		m.sync.differsSince = time.Time{}
		return
	}
	if m.sync.differsSince.IsZero() {
		m.sync.differsSince = now
	}
	if m.leaving || now.Sub(m.sync.differsSince) < digestSettlePeriods*m.cfg.Period || now.Before(m.sync.nextRequest) {
		return
	}
	m.sync.nextRequest = now.Add(m.cfg.SyncInterval)
	m.send(Send{To: from.Address, Reply: true, Message: &SyncRequest{}})
}

// page returns the members that follow a name. One that leaves adds itself to each.
func (m *Membership) syncPage(after string) *SyncResponse {
	members, size := m.syncMembers(), m.cfg.SyncPage
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
	answer := &SyncResponse{Members: slices.Clone(members[i:end])}
	if end < len(members) {
		answer.Next = members[end-1].Name
	}
	if m.leaving && !slices.Contains(answer.Members, m.self) {
		answer.Members = append(answer.Members, m.self)
	}
	return answer
}

// known returns the members that are told of in a full exchange.
func (m *Membership) syncMembers() []Member {
	return slices.DeleteFunc(slices.Clone(m.view.Members), func(x Member) bool {
		e := m.table[x.Name]
		return e != nil && e.departureOnly
	})
}

// applyPage takes a page over and asks for the next one.
func (m *Membership) applyPage(now time.Time, from Member, a *SyncResponse) {
	if len(a.Members) > m.cfg.SyncPage {
		return
	}
	for _, u := range a.Members {
		m.reconcile(now, u)
	}
	if a.Next == "" {
		m.completeSync(now)
		return
	}
	if m.leaving {
		return
	}
	m.send(Send{To: from.Address, Reply: true, Message: &SyncRequest{After: a.Next}})
}

// exchanged notes that the last page of a full exchange has come.
func (m *Membership) completeSync(now time.Time) {
	switch {
	case !m.sync.joined:
		m.sync.joined, m.sync.repeatAt = true, now.Add(m.cfg.Period)
	case m.sync.repeatPending:
		m.sync.repeatAt, m.sync.repeatPending = time.Time{}, false
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
	if len(m.probes.disputed) < maxDisputed {
		m.probes.disputed[u.Name] = doubt
	}
}
