package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/rendezvous"
)

// Membership is the membership state machine of one instance.
type Membership struct {
	cfg  Config
	self Member
	rng  *rand.Rand

	table map[string]*entry
	// sortedNames holds the names in the table, sorted.
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
	// eagerUpdates holds the starts and departures learned in the current step,
	// which are sent to a few members without waiting for a probe.
	eagerUpdates []Member
	// eagerTokens is how many copies of eager updates may be sent now.
	eagerTokens float64
	actions     []Action
}

// entry is the state held for one member other than self.
type entry struct {
	Member
	// stateSince is when the state last changed. The suspicion timeout and the
	// retention are measured from it.
	stateSince time.Time
	// departureOnly marks a member that was unknown when its departure arrived.
	departureOnly bool
}

// New returns the state machine of an instance that knows only itself. Self
// starts as Alive; its incarnation must be higher than that of any earlier run
// under its name.
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

// View returns the current view.
func (m *Membership) View() *View { return m.view }

// Members returns all known members, sorted by name.
func (m *Membership) Members() []Member { return m.view.Members }

// Self returns the member record that this instance announces.
func (m *Membership) Self() Member { return m.self }

// Tick runs the periodic work that is due. Call it several times a period.
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

// adjustForPause compensates for a pause of this process, during which it could
// not receive any Ack. Without it, the process would suspect or declare dead
// other members as soon as it resumes. The outstanding probe is cancelled and
// suspicions are extended by the length of the pause. (Compare A. Dadgar, J. Phillips and J. Currey,
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

// Receive handles a message. From is the sender as identified by the handshake
// of its connection.
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

// observeSender records a message's sender as alive. It returns false if the
// message must be ignored because it comes from a run that has ended.
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

// Leave announces the planned departure of this instance. The driver keeps
// calling Tick and Receive until LeaveProgress reports that all notified members
// have acknowledged, or until its own timeout.
func (m *Membership) Leave(now time.Time) []Action {
	if m.leaving {
		return nil
	}
	m.leaving = true
	m.self.State = Left
	m.updates.remove(m.self.Name) // piggyback puts self first on every message from now on
	m.viewStale = true
	for _, e := range m.sampleLive(m.cfg.LeaveFanout, "") {
		seq := m.probes.nextSeq()
		m.probes.leaveSeqs[seq] = struct{}{}
		m.send(Send{To: e.Address, Message: m.ping(e, seq)})
	}
	return m.flush()
}

// LeaveProgress returns how many members have acknowledged the departure and
// how many were notified directly.
func (m *Membership) LeaveProgress() (acked, notified int) {
	return m.leaveAcks, m.leaveAcks + len(m.probes.leaveSeqs)
}

// send adds a message to the actions.
func (m *Membership) send(s Send) { m.actions = append(m.actions, s) }

// flush returns the pending actions, including the new view if the membership
// changed.
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

// rebuild recomputes the view and the digest.
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

// digestOf returns a hash of a set of live members that does not depend on
// their order.
func digestOf(live []Member) uint64 {
	var sum uint64
	for i := range live {
		h := rendezvous.Score(live[i].Name, live[i].Address)
		sum ^= (h ^ live[i].Incarnation) * 0x9e3779b97f4a7c15
	}
	return sum
}

// logSize returns the base-10 logarithm of the cluster's size, at least 1.
func (m *Membership) logSize() float64 {
	return max(1, math.Log10(float64(len(m.view.live)+1)))
}

// suspicionTimeout returns how long a suspect has to refute.
func (m *Membership) suspicionTimeout() time.Duration {
	return time.Duration(float64(m.cfg.SuspicionPeriods) * m.logSize() * float64(m.cfg.Period))
}
