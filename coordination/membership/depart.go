package membership

import "time"

// unknownDepartureRetention is how long the departure of a member that was never live
// here is remembered. It exceeds the time for which older updates about the same run are
// still in flight.
const unknownDepartureRetention = time.Minute

// storeUnknownDeparture remembers the departure of a member that isn't known here.
//
// It prevents a stale live entry: an instance that starts while another leaves may learn
// of the departure first, then receive from a third instance that the other is alive, and
// would count it as live until its process has ended. A departure is final for an
// incarnation, so a stored one isn't superseded by older updates. It is neither gossiped
// nor kept for the full retention; otherwise departures would circulate between instances
// forever.
func (m *Membership) storeUnknownDeparture(now time.Time, u Member) {
	if u.State != Left || len(m.deadOrLeft) >= m.cfg.MaxDeadOrLeft {
		return
	}
	m.store(now, u)
	e := m.table[u.Name]
	e.departureOnly = true
	e.stateSince = now.Add(min(unknownDepartureRetention, m.cfg.Retention) - m.cfg.Retention)
}

// queueCorrection queues a departure for the next message if an update shows that its
// sender still counts the member as live. The departure may have been transmitted for the
// last time before that sender started.
func (m *Membership) queueCorrection(u Member) {
	e := m.table[u.Name]
	if e != nil && e.State == Left && u.Live() && e.Incarnation == u.Incarnation {
		m.updates.put(e.Member)
	}
}

// tickLeaving pings one member a period to receive updates, and doesn't suspect it if no
// Ack comes. A leaving instance isn't probed by others but runs for seconds more to finish
// the requests in flight; without updates it would keep sending requests to members that
// left after it.
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
