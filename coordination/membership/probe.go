package membership

import (
	"slices"
	"time"
)

const (
	// maxRelays bounds the probes made on behalf of others.
	maxRelays = 256
	// maxDoubts bounds the members of which two instances disagree and that
	// wait to be asked.
	maxDoubts = 64
)

// prober is the state of the probes.
type prober struct {
	seq uint64
	// round holds the names still to be probed in this round.
	round []string
	next  time.Time
	// target is the member under probe, empty when there is none.
	target    string
	targetSeq uint64
	// direct is when the direct probe counts as failed, zero once it did.
	direct time.Time
	relays map[uint64]relay
	// doubts holds, by name, what others believe and we do not.
	doubts map[string]Member
	leaves map[uint64]struct{}
}

// relay is a probe made for another member.
type relay struct {
	to      string
	seq     uint64
	expires time.Time
}

func newProber() prober {
	return prober{
		relays: make(map[uint64]relay),
		doubts: make(map[string]Member),
		leaves: make(map[uint64]struct{}),
	}
}

// nextSeq returns a new sequence number.
func (p *prober) nextSeq() uint64 {
	p.seq++
	return p.seq
}

// abandon gives up the outstanding probe without a verdict.
func (p *prober) abandon(now time.Time) {
	p.target = ""
	p.next = now
}

// tickProbe goes on with the outstanding probe or begins the next one.
func (m *Membership) tickProbe(now time.Time) {
	p := &m.probes
	if p.target != "" && !p.direct.IsZero() && !now.Before(p.direct) {
		p.direct = time.Time{}
		m.probeOtherPaths()
	}
	if now.Before(p.next) {
		return
	}
	if p.target != "" {
		m.suspect(now, p.target)
		p.target = ""
	}
	p.next = now.Add(m.cfg.Period)
	m.expireRelays(now)
	if e := m.nextTarget(); e != nil {
		m.probe(now, e)
	}
}

// probe sends a direct probe. Without an Ack by the end of the period, a live
// member becomes suspect.
func (m *Membership) probe(now time.Time, e *entry) {
	p := &m.probes
	seq := p.nextSeq()
	if e.Live() {
		p.target, p.targetSeq = e.Name, seq
		p.direct = now.Add(m.cfg.ProbeTimeout)
	}
	m.send(Send{To: e.Address, Message: m.ping(e, seq), Fresh: !e.Live()})
	delete(p.doubts, e.Name)
}

// probeOtherPaths tries the target by a new connection and by other members.
// The connection in use may have gone silent and the path from here may be
// cut while the target is well; either of the two then still gets its Ack.
func (m *Membership) probeOtherPaths() {
	p := &m.probes
	e := m.table[p.target]
	if e == nil {
		p.target = ""
		return
	}
	m.send(Send{To: e.Address, Message: m.ping(e, p.targetSeq), Fresh: true})
	for _, helper := range m.pick(m.cfg.IndirectProbes, e.Name) {
		req := &PingReq{Seq: p.targetSeq, Target: e.Name, Address: e.Address}
		req.Updates = m.piggyback(helper.Name)
		m.send(Send{To: helper.Address, Message: req})
	}
}

// nextTarget returns the member to probe: one in doubt, or the next of the
// round, nil if there is none.
func (m *Membership) nextTarget() *entry {
	p := &m.probes
	for _, name := range sortedKeys(p.doubts) {
		if e := m.table[name]; e != nil && e.State != Left {
			return e
		}
		delete(p.doubts, name)
	}
	if len(p.round) == 0 {
		p.round = names(Successors(m.view, m.cfg.Rings))
		m.rng.Shuffle(len(p.round), func(i, j int) { p.round[i], p.round[j] = p.round[j], p.round[i] })
	}
	for len(p.round) > 0 {
		e := m.table[p.round[0]]
		p.round = p.round[1:]
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

// pick returns up to n random live members, alive ones before suspects and
// spread over the data centres, because what cuts one path often cuts all
// paths between two data centres.
func (m *Membership) pick(n int, except string) []*entry {
	list := m.view.others(except)
	m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b Member) int { return int(a.State) - int(b.State) })
	var first, rest []*entry
	centres := make(map[string]struct{})
	for _, x := range list {
		e := m.table[x.Name]
		if e == nil {
			continue
		}
		if _, seen := centres[x.DataCentre]; seen {
			rest = append(rest, e)
			continue
		}
		centres[x.DataCentre] = struct{}{}
		first = append(first, e)
	}
	picked := append(first, rest...)
	return picked[:min(n, len(picked))]
}

// relay probes a member on behalf of another.
func (m *Membership) relay(now time.Time, from Member, req *PingReq) {
	p := &m.probes
	if len(p.relays) >= maxRelays || req.Target == m.self.Name {
		return
	}
	seq := p.nextSeq()
	p.relays[seq] = relay{to: from.Address, seq: req.Seq, expires: now.Add(m.cfg.Period)}
	target := &entry{Member: Member{Name: req.Target, Address: req.Address}}
	m.send(Send{To: req.Address, Message: m.ping(target, seq)})
}

// expireRelays drops the probes for others that got no answer.
func (m *Membership) expireRelays(now time.Time) {
	for seq, r := range m.probes.relays {
		if !now.Before(r.expires) {
			delete(m.probes.relays, seq)
		}
	}
}

// acknowledged matches an Ack with what it answers.
func (m *Membership) acknowledged(now time.Time, seq uint64) {
	p := &m.probes
	if p.target != "" && seq == p.targetSeq {
		p.target = ""
	}
	if _, ok := p.leaves[seq]; ok {
		delete(p.leaves, seq)
		m.leftAcks++
	}
	if r, ok := p.relays[seq]; ok {
		delete(p.relays, seq)
		if now.Before(r.expires) {
			m.send(Send{To: r.to, Message: m.ack("", r.seq)})
		}
	}
}

// ping makes a Ping for a member.
func (m *Membership) ping(e *entry, seq uint64) *Ping {
	return &Ping{Seq: seq, Digest: m.digest, Updates: m.piggyback(e.Name)}
}

// ack makes an Ack for a member.
func (m *Membership) ack(to string, seq uint64) *Ack {
	return &Ack{Seq: seq, Digest: m.digest, Updates: m.piggyback(to)}
}

// tickDead tries one dead member at a low fixed rate. Two parts of a cluster
// that lost each other hold each other dead and would otherwise stay apart
// after the cut has healed.
func (m *Membership) tickDead(now time.Time) {
	if now.Before(m.nextDead) {
		return
	}
	m.nextDead = now.Add(m.cfg.DeadRetry)
	var dead []string
	for _, name := range sortedKeys(m.gone) {
		if m.table[name].State == Dead {
			dead = append(dead, name)
		}
	}
	if len(dead) == 0 {
		return
	}
	e := m.table[dead[m.rng.IntN(len(dead))]]
	m.send(Send{To: e.Address, Message: m.ping(e, m.probes.nextSeq()), Fresh: true})
}
