package membership

import (
	"slices"
	"time"
)

const (
	// maxCandidates bounds the seeds waiting to be contacted.
	maxCandidates = 1024
	// maxCandidateAttempts is how often a seed is contacted before it is dropped
	// until Seed is called with it again.
	maxCandidateAttempts = 3
	// initialContacts is how many seeds a call of Seed contacts at once.
	initialContacts = 3
	// digestSettlePeriods is how many periods two digests may differ before a
	// full exchange starts: updates in flight make them differ for a while.
	digestSettlePeriods = 5
)

// seedCandidates are addresses that may belong to instances. They are not members
// until a message or an update shows that they are alive: a platform's list lags,
// and its entries may be long outdated.
type seedCandidates struct {
	attempts    map[string]int
	nextContact time.Time
	priority    prioritySeeds
}

// syncState is the state of the full exchange.
type syncState struct {
	// joined is set once a full exchange has completed.
	joined bool
	// repeatAt is when the repeated full exchange is next requested, zero once it has
	// completed. repeatPending is set once the repetition has been requested.
	repeatAt      time.Time
	repeatPending bool
	// differsSince is when the digests began to differ, zero if they are equal.
	differsSince time.Time
	nextRequest  time.Time
}

// Seed adds the addresses of possible instances, from the settings or the
// platform's list, and contacts some of them. Only the address is required;
// priority seeds are chosen among those with a capacity.
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

// tickCandidates contacts one seed per period.
func (m *Membership) tickCandidates(now time.Time) {
	if len(m.candidates.attempts) == 0 || now.Before(m.candidates.nextContact) {
		return
	}
	m.candidates.nextContact = now.Add(m.cfg.Period)
	m.contact(1)
}

// contact sends a message to up to n random seeds and drops those that have
// become members or have used up their attempts.
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

// contactMessage returns a request for all members until this instance has
// joined, and a Ping after that.
func (m *Membership) contactMessage() Message {
	if m.sync.joined {
		return m.ping(&entry{}, m.probes.nextSeq())
	}
	return &SyncRequest{}
}

// tickSync requests the full exchange until it has completed once, and repeats it a
// period later.
//
// The repetition covers an instance that starts at the moment in which another leaves:
// the departure may be disseminated after the first exchange but before any member knows
// the new instance, which would then count the other as live for seconds. A period later
// the member that receives the request knows of the departure.
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

// compareDigest compares the sender's set of live members with this instance's.
// If they differ for longer than updates take to arrive, a full exchange is
// requested: an update may use up its transmissions before it has reached all
// members.
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

// syncPage returns the page of members after a name. A leaving instance adds itself to
// each page.
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
	response := &SyncResponse{Members: slices.Clone(members[i:end])}
	if end < len(members) {
		response.Next = members[end-1].Name
	}
	if m.leaving && !slices.Contains(response.Members, m.self) {
		response.Members = append(response.Members, m.self)
	}
	return response
}

// syncMembers returns the members that are sent in a full exchange: all known ones except
// those of which only the departure is known.
func (m *Membership) syncMembers() []Member {
	return slices.DeleteFunc(slices.Clone(m.view.Members), func(x Member) bool {
		e := m.table[x.Name]
		return e != nil && e.departureOnly
	})
}

// applyPage applies a page of members and requests the next one.
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

// completeSync records that the last page of a full exchange has arrived.
func (m *Membership) completeSync(now time.Time) {
	switch {
	case !m.sync.joined:
		m.sync.joined, m.sync.repeatAt = true, now.Add(m.cfg.Period)
	case m.sync.repeatPending:
		m.sync.repeatAt, m.sync.repeatPending = time.Time{}, false
	}
}

// reconcile compares one member of a page with its known state. Where the two
// disagree on whether the same run is alive, neither is accepted: the member is
// probed, and the probe carries the claim of its death, so that it can refute it.
// Otherwise the first exchange after a partition would make each side declare
// dead the healthy members of the other side.
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
	deadClaim := u
	if e.State == Dead {
		deadClaim = e.Member
	}
	if len(m.probes.disputed) < maxDisputed {
		m.probes.disputed[u.Name] = deadClaim
	}
}
