package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/rendezvous"
)

// Membership is the state machine of one instance.
type Membership struct {
	cfg  Config
	self Member
	rng  *rand.Rand

	table map[string]*entry
	// order are the names in the table, sorted.
	sortedNames []string
	byAddress   map[string]string
	suspects    map[string]struct{}
	deadOrLeft  map[string]struct{}
	updates     updateQueue
	probes      probeState
	candidates  seedCandidates
	sync        syncState

	view          *View
	viewStale     bool
	digest        uint64
	lastTick      time.Time
	nextDeadProbe time.Time
	leaving       bool
	leaveAcks     int
	// news holds the starts and departures heard of in the present step.
	eagerUpdates []Member
	// words is how many words of them may be passed on now.
	eagerTokens float64
	actions     []Action
}

// entry is what is known of one member other than self.
type entry struct {
	Member
	// changed is when the state last changed; the end of a suspicion and of
	// the retention are counted from it.
	stateSince time.Time
	// hearsay marks a departure that was over when it was heard of.
	departureOnly bool
}

// New returns the state machine of an instance that knows only itself. Self is
// alive; its incarnation is higher than that of any earlier run of its name.
func New(cfg Config, self Member, rng *rand.Rand) *Membership {
	self.State = Alive
	m := &Membership{
		cfg:        cfg.withDefaults(),
		self:       self,
		rng:        rng,
		table:      make(map[string]*entry),
		byAddress:  make(map[string]string),
		suspects:   make(map[string]struct{}),
		deadOrLeft: make(map[string]struct{}),
		updates:    newUpdateQueue(),
		probes:     newProbeState(),
		viewStale:  true,
	}
	m.eagerTokens = float64(m.cfg.EagerBurst)
	m.updates.put(self)
	m.rebuild()
	return m
}

// View returns the present view.
func (m *Membership) View() *View { return m.view }

// Members returns all known members in the order of their names.
func (m *Membership) Members() []Member { return m.view.Members }

// Self returns this instance as it announces itself.
func (m *Membership) Self() Member { return m.self }

// Tick does what is due. It is to be called several times a period.
func (m *Membership) Tick(now time.Time) []Action {
	m.adjustForPause(now)
	m.refillEagerTokens(now)
	m.lastTick = now
	m.expireSuspicions(now)
	m.expireDeadOrLeft(now)
	if m.leaving {
		m.tickLeaving(now)
		return m.flush()
	}
	m.tickProbe(now)
	m.tickDeadProbe(now)
	m.contactPrioritySeeds(now)
	m.tickCandidates(now)
	m.tickSync(now)
	return m.flush()
}

// afterPause guards against this process having been stopped for a while: to
// it, every other instance then seems silent, and it would accuse them all the
// moment it runs again. The outstanding probe is given up and suspicions get
// the lost time back. (Compare A. Dadgar, J. Phillips and J. Currey,
// "Lifeguard: Local Health Awareness for More Accurate Failure Detection",
// DSN-W 2018.)
func (m *Membership) adjustForPause(now time.Time) {
	if m.lastTick.IsZero() || now.Sub(m.lastTick) < m.cfg.Period {
		return
	}
	pause := now.Sub(m.lastTick)
	m.probes.abandon(now)
	for name := range m.suspects {
		e := m.table[name]
		e.stateSince = e.stateSince.Add(pause)
	}
}

// Receive handles a message. From is the sender as its connection's handshake
// named it.
func (m *Membership) Receive(now time.Time, from Member, msg Message) []Action {
	if !m.observeSender(now, from) {
		return m.flush()
	}
	switch msg := msg.(type) {
	case *Ping:
		m.applyAll(now, msg.Updates)
		m.compareDigest(now, from, msg.Digest)
		m.send(Send{To: from.Address, Reply: true, Message: m.ack(from.Name, msg.Seq)})
	case *PingReq:
		m.applyAll(now, msg.Updates)
		m.relayProbe(now, from, msg)
	case *Ack:
		m.applyAll(now, msg.Updates)
		m.handleAck(now, msg.Seq)
		m.compareDigest(now, from, msg.Digest)
	case *SyncRequest:
		m.send(Send{To: from.Address, Reply: true, Message: m.syncPage(msg.After)})
	case *SyncResponse:
		m.applyPage(now, from, msg)
	}
	return m.flush()
}

// observe takes a message's sender as a sign of life. It returns false if the
// message is to be ignored: it comes from a run that is over.
func (m *Membership) observeSender(now time.Time, from Member) bool {
	if from.Name == m.self.Name {
		if from.Incarnation != m.self.Incarnation {
			m.handleUpdateOfSelf(from)
		}
		return false
	}
	from.State, from.Refutation = Alive, 0
	m.processUpdate(now, from)
	e := m.table[from.Name]
	return e != nil && e.Incarnation == from.Incarnation
}

// Leave announces the planned departure of this instance. Its driver keeps
// ticking and receiving until LeaveAcked is satisfied or its time is over.
func (m *Membership) Leave(now time.Time) []Action {
	if m.leaving {
		return nil
	}
	m.leaving = true
	m.self.State = Left
	m.updates.remove(m.self.Name) // it goes first on each message from now on
	m.viewStale = true
	for _, e := range m.sampleLive(m.cfg.LeaveFanout, "") {
		seq := m.probes.nextSeq()
		m.probes.leaveSeqs[seq] = struct{}{}
		m.send(Send{To: e.Address, Message: m.ping(e, seq)})
	}
	return m.flush()
}

// LeaveAcked returns how many members have acknowledged the departure, and how
// many were told directly.
func (m *Membership) LeaveProgress() (acked, told int) {
	return m.leaveAcks, m.leaveAcks + len(m.probes.leaveSeqs)
}

// send adds a message to the actions.
func (m *Membership) send(s Send) { m.actions = append(m.actions, s) }

// flush returns the actions, with the new view if something changed.
func (m *Membership) flush() []Action {
	if m.viewStale {
		m.rebuild()
		m.actions = append(m.actions, ViewChanged{View: m.view})
	}
	m.pushEagerUpdates()
	out := m.actions
	m.actions = nil
	return out
}

// rebuild makes a new view and digest.
func (m *Membership) rebuild() {
	m.viewStale = false
	members := make([]Member, 0, len(m.table)+1)
	for _, name := range m.sortedNames {
		members = append(members, m.table[name].Member)
	}
	i, _ := slices.BinarySearch(m.sortedNames, m.self.Name)
	members = slices.Insert(members, i, m.self)
	version := uint64(1)
	if m.view != nil {
		version = m.view.Version + 1
	}
	m.view = newView(version, m.self.Name, members)
	m.digest = digestOf(m.view.live)
}

// digestOf summarises a set of live members, whatever their order.
func digestOf(live []Member) uint64 {
	var sum uint64
	for i := range live {
		h := rendezvous.Score(live[i].Name, live[i].Address)
		sum ^= (h ^ live[i].Incarnation) * 0x9e3779b97f4a7c15
	}
	return sum
}

// logSize is the logarithm to the base 10 of the cluster's size, at least 1.
func (m *Membership) logSize() float64 {
	return max(1, math.Log10(float64(len(m.view.live)+1)))
}

// suspicion is how long a suspect has to refute.
func (m *Membership) suspicionTimeout() time.Duration {
	return time.Duration(float64(m.cfg.SuspicionPeriods) * m.logSize() * float64(m.cfg.Period))
}
