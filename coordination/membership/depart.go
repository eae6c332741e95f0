package membership

import "time"

// hearsayFor is how long a departure is remembered that was over when it was heard of:
// longer than older word of the same run is on its way.
const hearsayFor = time.Minute

// hear remembers the departure of a member that isn't known here.
//
// The failure it guards against: an instance that starts while another leaves hears of
// the departure first, then from a third that the other is alive, and counts it as live
// until that is gone. It holds since a departure is final for an incarnation: older word
// doesn't supersede it. What is heard so is not passed on, and not kept for the
// retention, or departures would go from instance to instance for ever.
func (m *Membership) hear(now time.Time, u Member) {
	if u.State != Left || len(m.gone) >= m.cfg.MaxGone {
		return
	}
	m.store(now, u)
	e := m.table[u.Name]
	e.hearsay = true
	e.changed = now.Add(min(hearsayFor, m.cfg.Retention) - m.cfg.Retention)
}

// correct puts a departure into the next message if the sender of an update still
// counts the member as live: its own word was passed on often enough before that one
// started.
func (m *Membership) correct(u Member) {
	e := m.table[u.Name]
	if e != nil && e.State == Left && u.Live() && e.Incarnation == u.Incarnation {
		m.updates.put(e.Member)
	}
}

// passDeparturesOn tells a few members at once of the departures heard of in this step.
// Whoever knows them already passes nothing on, so each instance sends this once for
// each departure.
//
// The failure it guards against: by probes alone the word takes a few periods, and until
// then some ask the one that leaves for what others ask its successor for. It holds
// since those probed by rings reach all members in a few steps; who is missed hears of
// it from its probes as before.
func (m *Membership) passDeparturesOn() {
	if len(m.departed) == 0 {
		return
	}
	told := m.departed[:min(len(m.departed), m.cfg.MaxUpdates)]
	m.departed = nil
	receivers := Successors(m.view, m.cfg.Rings)
	m.rng.Shuffle(len(receivers), func(i, j int) { receivers[i], receivers[j] = receivers[j], receivers[i] })
	n := min(len(receivers), m.cfg.LeaveRelays, int(m.words)/len(told))
	m.words -= float64(n * len(told))
	for _, r := range receivers[:n] {
		m.send(Send{To: r.Address, Message: &Ack{Digest: m.digest, Updates: told}})
	}
}

// allowWords lets as many words be passed on as the time since the last tick allows.
func (m *Membership) allowWords(now time.Time) {
	if m.lastTick.IsZero() {
		return
	}
	earned := now.Sub(m.lastTick).Seconds() * float64(m.cfg.RelayRate)
	m.words = min(float64(m.cfg.RelayBurst), m.words+earned)
}

// tickLeaving asks one member a period for its news, without a verdict if no answer
// comes. One that leaves is probed by nobody, and runs on for seconds to end what is in
// flight: without news it would go on asking members that left after it.
func (m *Membership) tickLeaving(now time.Time) {
	p := &m.probes
	p.target = ""
	if now.Before(p.next) {
		return
	}
	p.next = now.Add(m.cfg.Period)
	m.expireRelays(now)
	if e := m.nextTarget(); e != nil {
		m.send(Send{To: e.Address, Message: m.ping(e, p.nextSeq())})
		delete(p.doubts, e.Name)
	}
}
