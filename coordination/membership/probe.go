package membership

import (
	"slices"
	"time"
)

const (
	// maxRelays bounds the outstanding probes on behalf of others.
	maxRelays = 256
	// maxDisputed bounds the members on whose state two instances disagree and
	// that wait to be probed.
	maxDisputed = 64
)

// probeState is the state of the failure detector's probes.
type probeState struct {
	seq uint64
	// remaining holds the names still to be probed in this round.
	remaining []string
	nextProbe time.Time
	// target is the member being probed, empty when there is none.
	target    string
	targetSeq uint64
	// directDeadline is when the direct probe counts as failed, zero once it has failed.
	directDeadline time.Time
	relays         map[uint64]relayedProbe
	// disputed holds, by name, states of members on which another instance and
	// this one disagree; see reconcile.
	disputed map[string]Member
	// leaveSeqs holds the sequence numbers of the departure announcements that
	// were not acknowledged yet.
	leaveSeqs map[uint64]struct{}
}

// relayedProbe is a probe on behalf of another member.
type relayedProbe struct {
	requester    string
	requesterSeq uint64
	expires      time.Time
}

func newProbeState() probeState {
	return probeState{
		relays:    make(map[uint64]relayedProbe),
		disputed:  make(map[string]Member),
		leaveSeqs: make(map[uint64]struct{}),
	}
}

// nextSeq returns a new sequence number.
func (p *probeState) nextSeq() uint64 {
	p.seq++
	return p.seq
}

// abandon cancels the outstanding probe without suspecting its target.
func (p *probeState) abandon(now time.Time) {
	p.target = ""
	p.nextProbe = now
}

// tickProbe advances the outstanding probe or starts the next one.
func (m *Membership) tickProbe(now time.Time) {
	p := &m.probes
	if p.target != "" && !p.directDeadline.IsZero() && !now.Before(p.directDeadline) {
		p.directDeadline = time.Time{}
		m.probeOtherPaths()
	}
	if now.Before(p.nextProbe) {
		return
	}
	if p.target != "" {
		m.suspect(now, p.target)
		p.target = ""
	}
	p.nextProbe = now.Add(m.cfg.Period)
	m.expireRelays(now)
	if e := m.nextProbeTarget(); e != nil {
		m.probe(now, e)
	}
}

// probe sends a direct probe. A live member that doesn't acknowledge by the end
// of the period becomes suspect.
func (m *Membership) probe(now time.Time, e *entry) {
	p := &m.probes
	seq := p.nextSeq()
	if e.Live() {
		p.target, p.targetSeq = e.Name, seq
		p.directDeadline = now.Add(m.cfg.ProbeTimeout)
	}
	m.send(Send{To: e.Address, Message: m.ping(e, seq), NewConnection: !e.Live()})
	delete(p.disputed, e.Name)
}

// probeOtherPaths probes the target over a new connection and through other
// members. While the target is healthy, the connection in use may be silent or
// the path from here may be broken; one of the two then still gets an Ack.
func (m *Membership) probeOtherPaths() {
	p := &m.probes
	e := m.table[p.target]
	if e == nil {
		p.target = ""
		return
	}
	m.send(Send{To: e.Address, Message: m.ping(e, p.targetSeq), NewConnection: true})
	for _, helper := range m.sampleLive(m.cfg.IndirectProbes, e.Name) {
		req := &PingReq{Seq: p.targetSeq, Target: e.Name, Address: e.Address}
		req.Updates = m.piggyback(helper.Name)
		m.send(Send{To: helper.Address, Message: req})
	}
}

// nextProbeTarget returns the next member to probe: a disputed one first, then
// the next of the round, nil if there is none.
func (m *Membership) nextProbeTarget() *entry {
	p := &m.probes
	for _, name := range sortedKeys(p.disputed) {
		if e := m.table[name]; e != nil && e.State != Left {
			return e
		}
		delete(p.disputed, name)
	}
	if len(p.remaining) == 0 {
		p.remaining = names(Successors(m.view, m.cfg.Rings))
		m.rng.Shuffle(len(p.remaining), func(i, j int) { p.remaining[i], p.remaining[j] = p.remaining[j], p.remaining[i] })
	}
	for len(p.remaining) > 0 {
		e := m.table[p.remaining[0]]
		p.remaining = p.remaining[1:]
		if e != nil && e.Live() {
			return e
		}
	}
	return nil
}

// names returns the names of members.
func names(members []Member) []string {
	out := make([]string, len(members))
	for i := range members {
		out[i] = members[i].Name
	}
	return out
}

// sampleLive returns up to n random live members, alive ones before suspects and
// from as many data centres as possible, because a fault on one path often
// affects all paths between two data centres.
func (m *Membership) sampleLive(n int, except string) []*entry {
	list := m.view.others(except)
	m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b Member) int { return int(a.State) - int(b.State) })
	var firstPerCentre, others []*entry
	centres := make(map[string]struct{})
	for _, x := range list {
		e := m.table[x.Name]
		if e == nil {
			continue
		}
		if _, seen := centres[x.DataCentre]; seen {
			others = append(others, e)
			continue
		}
		centres[x.DataCentre] = struct{}{}
		firstPerCentre = append(firstPerCentre, e)
	}
	picked := append(firstPerCentre, others...)
	return picked[:min(n, len(picked))]
}

// relayProbe probes a member on behalf of another.
func (m *Membership) relayProbe(now time.Time, from Member, req *PingReq) {
	p := &m.probes
	if len(p.relays) >= maxRelays || req.Target == m.self.Name {
		return
	}
	seq := p.nextSeq()
	p.relays[seq] = relayedProbe{requester: from.Address, requesterSeq: req.Seq, expires: now.Add(m.cfg.Period)}
	target := &entry{Member: Member{Name: req.Target, Address: req.Address}}
	m.send(Send{To: req.Address, Message: m.ping(target, seq)})
}

// expireRelays removes the probes on behalf of others that got no Ack in time.
func (m *Membership) expireRelays(now time.Time) {
	for seq, r := range m.probes.relays {
		if !now.Before(r.expires) {
			delete(m.probes.relays, seq)
		}
	}
}

// handleAck matches an Ack with the probe, departure announcement or relayed
// probe that it responds to.
func (m *Membership) handleAck(now time.Time, seq uint64) {
	p := &m.probes
	if p.target != "" && seq == p.targetSeq {
		p.target = ""
	}
	if _, ok := p.leaveSeqs[seq]; ok {
		delete(p.leaveSeqs, seq)
		m.leaveAcks++
	}
	if r, ok := p.relays[seq]; ok {
		delete(p.relays, seq)
		if now.Before(r.expires) {
			m.send(Send{To: r.requester, Message: m.ack("", r.requesterSeq)})
		}
	}
}

// ping returns a Ping for a member.
func (m *Membership) ping(e *entry, seq uint64) *Ping {
	return &Ping{Seq: seq, Digest: m.digest, Updates: m.piggyback(e.Name)}
}

// ack returns an Ack for a member.
func (m *Membership) ack(to string, seq uint64) *Ack {
	return &Ack{Seq: seq, Digest: m.digest, Updates: m.piggyback(to)}
}

// tickDeadProbe pings one dead member at a low fixed rate. The two sides of a
// partition consider each other dead and would otherwise stay separate after the
// partition has healed.
func (m *Membership) tickDeadProbe(now time.Time) {
	if now.Before(m.nextDeadProbe) {
		return
	}
	m.nextDeadProbe = now.Add(m.cfg.DeadProbeInterval)
	var dead []string
	for _, name := range sortedKeys(m.deadOrLeft) {
		if m.table[name].State == Dead {
			dead = append(dead, name)
		}
	}
	if len(dead) == 0 {
		return
	}
	e := m.table[dead[m.rng.IntN(len(dead))]]
	m.send(Send{To: e.Address, Message: m.ping(e, m.probes.nextSeq()), NewConnection: true})
}
