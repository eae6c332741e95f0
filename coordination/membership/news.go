package membership

import "time"

// hearOf applies one update, and notes it to be passed on at once if it is news of a
// start or of a departure. One that joins learns of all others: that is no news.
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

// stateOf returns what is known of another member.
func (m *Membership) lookup(name string) (Member, bool) {
	e := m.table[name]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// passNewsOn tells a few members at once of the starts and departures heard of in this
// step. Whoever knows them already passes nothing on, so each instance sends this once
// for each of them. Starts leave half of the bound to departures.
//
// The failure it guards against: by probes alone the word takes a few periods, and until
// then some ask the one that leaves for what others ask its successor for, or give a
// duty to another than all others pick. It holds since those probed by rings reach all
// members in a few steps; who is missed hears of it from its probes as before.
func (m *Membership) pushEagerUpdates() {
	if len(m.eagerUpdates) == 0 {
		return
	}
	told := m.eagerUpdates[:min(len(m.eagerUpdates), m.cfg.MaxUpdates)]
	m.eagerUpdates = nil
	receivers := Successors(m.view, m.cfg.Rings)
	m.rng.Shuffle(len(receivers), func(i, j int) { receivers[i], receivers[j] = receivers[j], receivers[i] })
	n := min(len(receivers), m.cfg.EagerFanout, int(m.eagerTokens)/len(told))
	m.eagerTokens -= float64(n * len(told))
	for _, r := range receivers[:n] {
		m.send(Send{To: r.Address, Message: &Ack{Digest: m.digest, Updates: told}})
	}
}

// allowWords lets as many words be passed on as the time since the last tick allows.
func (m *Membership) refillEagerTokens(now time.Time) {
	if m.lastTick.IsZero() {
		return
	}
	earned := now.Sub(m.lastTick).Seconds() * float64(m.cfg.EagerRate)
	m.eagerTokens = min(float64(m.cfg.EagerBurst), m.eagerTokens+earned)
}
