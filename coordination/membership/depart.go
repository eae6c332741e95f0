package membership

import "time"

// hearsayFor is how long a departure is remembered that was over when it was heard of:
// longer than older word of the same run is on its way.
const unknownDepartureRetention = time.Minute

// hear remembers the departure of a member that isn't known here.
//
// The failure it guards against: an instance that starts while another leaves hears of
// the departure first, then from a third that the other is alive, and counts it as live
// until that is gone. It holds since a departure is final for an incarnation: older word
// doesn't supersede it. What is heard so is not passed on, and not kept for the
// retention, or departures would go from instance to instance for ever.
func (m *Membership) storeUnknownDeparture(now time.Time, u Member) {
	if u.State != Left || len(m.deadOrLeft) >= m.cfg.MaxDeadOrLeft {
		return
	}
	m.store(now, u)
	e := m.table[u.Name]
	e.departureOnly = true
	e.stateSince = now.Add(min(unknownDepartureRetention, m.cfg.Retention) - m.cfg.Retention)
}

// correct puts a departure into the next message if the sender of an update still
// counts the member as live: its own word was passed on often enough before that one
// started.
func (m *Membership) queueCorrection(u Member) {
	e := m.table[u.Name]
	if e != nil && e.State == Left && u.Live() && e.Incarnation == u.Incarnation {
		m.updates.put(e.Member)
	}
}

// tickLeaving asks one member a period for its news, without a verdict if no answer
// comes. One that leaves is probed by nobody, and runs on for seconds to end what is in
// flight: without news it would go on asking members that left after it.
func (m *Membership) tickLeaving(now time.Time) {
	p := &m.probes
	p.target = ""
	if now.Before(p.nextProbe) {
		return
	}
	p.nextProbe = now.Add(m.cfg.Period)
	m.expireRelays(now)
	if e := m.nextProbeTarget(); e != nil {
		m.send(Send{To: e.Address, Message: m.ping(e, p.nextSeq())})
		delete(p.disputed, e.Name)
	}
}
