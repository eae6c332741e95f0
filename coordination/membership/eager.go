package membership

import "time"

// processUpdate applies an update and queues it for eager dissemination if it reveals a
// start or a departure. Members that this instance learns of while it joins aren't queued:
// they did not start just now.
func (m *Membership) processUpdate(now time.Time, u Member) {
	before, known := m.lookup(u.Name)
	m.apply(now, u)
	after, ok := m.lookup(u.Name)
	if !ok || known && before == after {
		return
	}
	started := m.sync.joined && after.Live() && (!known || after.Incarnation > before.Incarnation)
	left := after.State == Left && known
	if left || started && m.eagerTokens >= float64(m.cfg.EagerBurst)/2 {
		m.eagerUpdates = append(m.eagerUpdates, after)
	}
}

// lookup returns the known state of another member.
func (m *Membership) lookup(name string) (Member, bool) {
	e := m.table[name]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// pushEagerUpdates sends the starts and departures learned in this step to a few members
// immediately. A receiver that knows them already forwards nothing, so each instance sends
// each of them once. Starts may use only half of the burst; the rest is reserved for
// departures.
//
// By probes alone an update takes a few periods. Until then some instances would send
// requests to the leaving member while others send them to its successor, or would assign
// a duty to a different instance than all others. The ring successors reach all members in
// a few hops; a member that is missed learns of the update from its probes.
func (m *Membership) pushEagerUpdates() {
	if len(m.eagerUpdates) == 0 {
		return
	}
	batch := m.eagerUpdates[:min(len(m.eagerUpdates), m.cfg.MaxUpdates)]
	m.eagerUpdates = nil
	receivers := Successors(m.view, m.cfg.Rings)
	m.rng.Shuffle(len(receivers), func(i, j int) { receivers[i], receivers[j] = receivers[j], receivers[i] })
	n := min(len(receivers), m.cfg.EagerFanout, int(m.eagerTokens)/len(batch))
	m.eagerTokens -= float64(n * len(batch))
	for _, r := range receivers[:n] {
		m.send(Send{To: r.Address, Message: &Ack{Digest: m.digest, Updates: batch}})
	}
}

// refillEagerTokens adds the tokens earned since the last tick, up to the burst.
func (m *Membership) refillEagerTokens(now time.Time) {
	if m.lastTick.IsZero() {
		return
	}
	earned := now.Sub(m.lastTick).Seconds() * float64(m.cfg.EagerRate)
	m.eagerTokens = min(float64(m.cfg.EagerBurst), m.eagerTokens+earned)
}
